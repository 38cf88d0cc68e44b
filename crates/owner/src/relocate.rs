//! Carries out moves of a pool's instances to other pools.

use crate::{
    evacuations::Evacuations,
    order_requests::OrderRequests,
    ownership::Context,
    rebalance::{self, Move, Pool},
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

/// Share of the orders that the platform accepts which one owner's moves may use: usually one pool
/// gives instances away at a time, and the rest is for waves and for a second pool. Rejected orders
/// are issued again.
const RATE_SHARE: f64 = 0.75;

/// Time window over which orders are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// A pool's moves.
#[derive(Debug, Default)]
pub(crate) struct Relocation {
    refused: BTreeSet<(Name, Name)>,
    /// When moves were ordered within the last second.
    recent_orders: VecDeque<Instant>,
}

/// All pools, as far as this entry knows.
pub(crate) fn pools(context: &Context) -> BTreeMap<Name, Pool> {
    let configuration = context.watch.configuration.borrow().clone();
    let known = configuration.iter().flat_map(|known| &known.pools);
    let view = context.view.lock();
    let pools = known.map(|pool| {
        let known = Pool {
            need: view.desired_workers.get(&pool.name).copied(),
            standby: pool.standby,
        };
        (Name::clone(&pool.name), known)
    });
    pools.collect()
}

/// Whether the instances as last listed leave anything to be moved: then they are listed again.
/// Registrations wouldn't do: they outlive by seconds the workers of instances that have moved.
pub(crate) fn is_due(
    context: &Context,
    pools: &BTreeMap<Name, Pool>,
    instances: &[Instance],
) -> bool {
    let counts = rebalance::counts(instances);
    let has = |pool: &Name| counts.get(pool).copied().unwrap_or(0);
    let Some(own) = pools.get(&context.pool) else {
        return false;
    };
    let has_own = has(&context.pool);
    if !own.standby {
        // The sooner an instance that joins is seen, the sooner it may move on. And a surplus at
        // this moment is enough to list the instances: others may be short.
        return own.need.is_some_and(|need| {
            let lacks = has_own < need.workers.max(need.with_late());
            lacks || has_own > need.now
        });
    }
    let mut others = pools.iter().filter(|(_name, pool)| !pool.standby);
    let missed = others.any(|(name, pool)| {
        pool.need
            .is_some_and(|need| has(name) < need.workers.max(need.with_late()))
    });
    missed && has_own > 0
}

impl Relocation {
    /// The moves to make.
    pub(crate) fn plan(
        &self,
        context: &Context,
        pools: &BTreeMap<Name, Pool>,
        instances: &[Instance],
        blocked: &BTreeSet<Name>,
        evacuations: &Evacuations,
    ) -> Vec<Move> {
        let status = evacuations.status();
        rebalance::moves(&rebalance::MoveInputs {
            pool: &context.pool,
            pools,
            instances,
            blocked,
            refused: &self.refused,
            evacuating: &evacuations.workers_for(EvacuationReason::Move),
            runs: &status.runs,
            lasting: &status.lasting,
            scale_down_floor: status.scale_down_floor,
        })
    }

    /// Orders the moves, as many as may be ordered now.
    pub(crate) async fn send(
        &mut self,
        context: &Context,
        (evacuations, requests): (&mut Evacuations, &mut OrderRequests),
        moves: &[Move],
    ) -> Result<(), Error> {
        let moves = &moves[..moves.len().min(self.allowed_orders(context.order_rate))];
        if moves.is_empty() {
            return Ok(());
        }
        let workers = moves
            .iter()
            .filter_map(|wanted| wanted.instance.worker.as_ref());
        for worker in workers {
            evacuations.record_order(worker);
        }
        let written = moves.iter().map(|wanted| {
            let instance = Name::clone(&wanted.instance.name);
            (instance, Order::Move(Name::clone(&wanted.to)))
        });
        let now = Instant::now();
        self.recent_orders.extend(moves.iter().map(|_wanted| now));
        let results = requests.send(written.collect()).await?;
        for wanted in moves {
            let result = results.get(&wanted.instance.name).copied();
            self.record_result(wanted, result.unwrap_or(OrderResult::Unknown));
        }
        Ok(())
    }

    /// How many moves may be ordered now.
    fn allowed_orders(&mut self, rate: f64) -> usize {
        let recent = |at: &Instant| at.elapsed() < RATE_WINDOW;
        while self.recent_orders.front().is_some_and(|at| !recent(at)) {
            self.recent_orders.pop_front();
        }
        // A rate is a small number, and a fraction of an order counts as one.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "negative and huge rates are cut at the bounds of the type"
        )]
        let max = (rate * RATE_SHARE).ceil() as usize;
        max.saturating_sub(self.recent_orders.len())
    }

    /// Records the result of an order.
    fn record_result(&mut self, wanted: &Move, result: OrderResult) {
        let instance = &*wanted.instance.name;
        let to = &*wanted.to;
        match result {
            OrderResult::Taken => info!(instance, to; "instance moves"),
            OrderResult::Busy => info!(instance, to; "move of instance refused for now"),
            OrderResult::Refused => {
                warn!(instance, to; "move of instance to this pool refused permanently");
                let pair = (Name::clone(&wanted.instance.name), Name::clone(&wanted.to));
                self.refused.insert(pair);
            }
            OrderResult::Unknown => info!(instance, to; "outcome of move order unknown"),
        }
    }
}
