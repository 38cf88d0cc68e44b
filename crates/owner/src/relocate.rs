//! Carries out moves of a pool's instances to other pools.

use crate::{
    emptying::Emptying,
    own::Context,
    request::Requests,
    share::{self, Move, Pool},
};
use log::{info, warn};
use primroseroute_cell::{
    EvacuationReason,
    row::{Order, OrderResult},
};
use primroseroute_domain::work::Name;
use primroseroute_platform::{Error, site::Instance};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Part of the orders that the platform takes which one owner's moves may use up: at most times one pool
/// lets go, and the rest is for waves and for a second pool. What is turned away is ordered again.
const RATE_PART: f64 = 0.75;

/// Time over which orders are counted.
const SECOND: Duration = Duration::from_secs(1);

/// A pool's moves.
#[derive(Debug, Default)]
pub(crate) struct Relocation {
    refused: BTreeSet<(Name, Name)>,
    /// When moves were ordered within the last second.
    ordered: VecDeque<Instant>,
}

/// All pools, as far as this entry knows.
pub(crate) fn pools(context: &Context) -> BTreeMap<Name, Pool> {
    let configuration = context.watch.configuration.borrow().clone();
    let known = configuration.iter().flat_map(|known| &known.pools);
    let picture = context.picture.lock();
    let pools = known.map(|pool| {
        let known = Pool {
            need: picture.wanted.get(&pool.name).copied(),
            standby: pool.standby,
        };
        (Name::clone(&pool.name), known)
    });
    pools.collect()
}

/// Whether the instances as last listed leave anything to be moved: then they are listed anew.
/// Registrations wouldn't do: they outlive by seconds the workers of instances that have moved.
pub(crate) fn is_due(
    context: &Context,
    pools: &BTreeMap<Name, Pool>,
    instances: &[Instance],
) -> bool {
    let counts = share::counts(instances);
    let has = |pool: &Name| counts.get(pool).copied().unwrap_or(0);
    let Some(own) = pools.get(&context.pool) else {
        return false;
    };
    let has_own = has(&context.pool);
    if !own.standby {
        // The sooner an instance that comes is seen, the sooner it may go on. And what the pool can
        // spare at this moment is enough to look: others may be short.
        return own.need.is_some_and(|need| {
            let lacks = has_own < need.workers.max(need.now + need.late);
            lacks || has_own > need.now
        });
    }
    let mut others = pools.iter().filter(|(_name, pool)| !pool.standby);
    let missed = others.any(|(name, pool)| {
        pool.need
            .is_some_and(|need| has(name) < need.workers.max(need.now + need.late))
    });
    missed && has_own > 0
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
            emptying: &emptying.of(EvacuationReason::Move),
            runs: &status.runs,
            lasting: &status.lasting,
            kept: status.kept,
        })
    }

    /// Orders the moves, as many as may be ordered now.
    pub(crate) async fn order(
        &mut self,
        context: &Context,
        (emptying, requests): (&mut Emptying, &mut Requests),
        moves: &[Move],
    ) -> Result<(), Error> {
        let moves = &moves[..moves.len().min(self.places(context.order_rate))];
        if moves.is_empty() {
            return Ok(());
        }
        let workers = moves
            .iter()
            .filter_map(|wanted| wanted.instance.worker.as_ref());
        for worker in workers {
            emptying.ordered(worker);
        }
        let written = moves.iter().map(|wanted| {
            let instance = Name::clone(&wanted.instance.name);
            (instance, Order::Move(Name::clone(&wanted.to)))
        });
        let now = Instant::now();
        self.ordered.extend(moves.iter().map(|_wanted| now));
        let results = requests.order(written.collect()).await?;
        for wanted in moves {
            let given = results.get(&wanted.instance.name).copied();
            self.settle(wanted, given.unwrap_or(OrderResult::Unknown));
        }
        Ok(())
    }

    /// How many moves may be ordered now.
    fn places(&mut self, rate: f64) -> usize {
        let recent = |at: &Instant| at.elapsed() < SECOND;
        while self.ordered.front().is_some_and(|at| !recent(at)) {
            self.ordered.pop_front();
        }
        // A rate is a small number, and a part of one counts as one.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "negative and huge rates are cut at the bounds of the type"
        )]
        let most = (rate * RATE_PART).ceil() as usize;
        most.saturating_sub(self.ordered.len())
    }

    /// Takes in what came of an order.
    fn settle(&mut self, wanted: &Move, given: OrderResult) {
        let instance = &*wanted.instance.name;
        let to = &*wanted.to;
        match given {
            OrderResult::Taken => info!(instance, to; "instance moves"),
            OrderResult::Busy => info!(instance, to; "instance can't move now"),
            OrderResult::Refused => {
                warn!(instance, to; "instance can't move to this pool");
                let pair = (Name::clone(&wanted.instance.name), Name::clone(&wanted.to));
                self.refused.insert(pair);
            }
            OrderResult::Unknown => info!(instance, to; "it isn't known whether an instance moves"),
        }
    }
}
