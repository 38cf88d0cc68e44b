//! Carries out moves of a pool's instances to other pools.

use crate::{
    emptying::{Emptying, Purpose},
    own::Context,
    share::{self, Move, Pool},
};
use bytes::Bytes;
use futures::future::join_all;
use log::{info, warn};
use primroseroute_cell::row::{self, Moves};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Commit, Txn, Version},
    site::{Holder, Instance, Ordered},
};
use std::collections::{BTreeMap, BTreeSet};

/// Most moves of one pool at a time: each is a call to a platform that takes a limited number of them
/// a second from all entries together.
const MOST: usize = 8;

/// A pool's moves.
#[derive(Debug, Default)]
pub(crate) struct Relocation {
    refused: BTreeSet<(Name, Name)>,
}

/// All pools, as far as this entry knows.
pub(crate) fn pools(context: &Context) -> BTreeMap<Name, Pool> {
    let configuration = context.watch.configuration.borrow().clone();
    let known = configuration.iter().flat_map(|known| &known.pools);
    let picture = context.picture.lock();
    let pools = known.map(|pool| {
        let known = Pool {
            wanted: picture.wanted.get(&pool.name).copied(),
            standby: pool.standby,
        };
        (Name::clone(&pool.name), known)
    });
    pools.collect()
}

/// Whether the registered workers leave anything to be moved: then the instances are listed.
pub(crate) fn is_due(context: &Context, pools: &BTreeMap<Name, Pool>) -> bool {
    let workers = context.watch.workers.borrow().clone();
    let has = |pool: &Name| {
        let own = workers.values().filter(|worker| worker.pool == *pool);
        own.count() as u64
    };
    let Some(own) = pools.get(&context.pool) else {
        return false;
    };
    if !own.standby {
        return own.wanted.is_some_and(|wanted| has(&context.pool) > wanted);
    }
    let mut others = pools.iter().filter(|(_name, pool)| !pool.standby);
    others.any(|(name, pool)| pool.wanted.is_some_and(|wanted| has(name) < wanted))
}

impl Relocation {
    /// What is to move.
    pub(crate) fn plan(
        &self,
        context: &Context,
        pools: &BTreeMap<Name, Pool>,
        instances: &[Instance],
        blocked: &BTreeSet<Name>,
        emptying: &Emptying,
    ) -> Vec<Move> {
        let status = emptying.status();
        share::moves(&share::Situation {
            pool: &context.pool,
            pools,
            instances,
            blocked,
            refused: &self.refused,
            emptying: &emptying.of(Purpose::Move),
            idle: &status.idle,
            lasting: &status.lasting,
            kept: status.kept,
        })
    }

    /// Orders the moves; gives out those that were taken.
    ///
    /// The row that is written before them is conditional on the ownership, and its version is their
    /// fencing token: an owner that was replaced orders nothing. An order without an answer isn't
    /// repeated here: a repetition that arrives after the next pool's owner has given an order would
    /// be a second holder.
    pub(crate) async fn order(
        &mut self,
        context: &Context,
        owner: Version,
        moves: &[Move],
    ) -> Result<Vec<Instance>, Error> {
        let moves = &moves[..moves.len().min(MOST)];
        let Some(token) = reserve(context, owner, moves).await? else {
            return Ok(Vec::new());
        };
        let holder = Holder {
            entry: Name::clone(&context.entry),
            token,
        };
        let orders = moves.iter().map(|wanted| {
            let order = context
                .site
                .relocate(&wanted.instance.name, &wanted.to, &holder);
            async move { (wanted, order.await) }
        });
        let mut going = Vec::new();
        for (wanted, result) in join_all(orders).await {
            if self.settle(wanted, token, result) {
                going.push(wanted.instance.clone());
            }
        }
        Ok(going)
    }

    /// Takes in what came of an order; whether it was taken.
    fn settle(&mut self, wanted: &Move, token: Version, result: Result<Ordered, Error>) -> bool {
        let instance = &*wanted.instance.name;
        let to = &*wanted.to;
        match result {
            Ok(Ordered::Taken) => {
                info!(instance, to, token; "instance moves");
                true
            }
            Ok(Ordered::Busy) => {
                info!(instance, to, token; "instance can't move now");
                false
            }
            Ok(Ordered::Refused) => {
                warn!(instance, to, token; "instance can't move to this pool");
                let pair = (Name::clone(&wanted.instance.name), Name::clone(&wanted.to));
                self.refused.insert(pair);
                false
            }
            Err(error) => {
                warn!(instance, to, token, error:% = error; "ordering a move failed");
                false
            }
        }
    }
}

/// Writes down what is about to move; the row's version, unless the pool is lost.
async fn reserve(
    context: &Context,
    owner: Version,
    moves: &[Move],
) -> Result<Option<Version>, Error> {
    let to = moves.iter().map(|wanted| {
        let instance = Name::clone(&wanted.instance.name);
        (instance, Name::clone(&wanted.to))
    });
    let row = Moves { to: to.collect() };
    let value = serde_json::to_vec(&row).expect("moves have text keys");
    let txn = Txn {
        conditions: vec![(row::owner(&context.pool), owner)],
        puts: vec![(row::moves(&context.pool), Bytes::from(value))],
        deletes: Vec::new(),
    };
    match context.rows.commit(txn).await? {
        Commit::Committed(version) => Ok(Some(version)),
        Commit::Conflict(_rows) => Ok(None),
    }
}
