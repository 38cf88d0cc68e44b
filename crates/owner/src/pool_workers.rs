//! The workers of a pool: one poll loop for each, and orders to them.

use crate::{
    event::Event,
    fence::{Fence, Fences},
    order_delivery::{CommitTimes, OrderDelivery, QueuedStarts},
    ownership::Context,
    poll::{ClockReadings, ImmediatePoll, Poller},
};
use log::debug;
use primroseroute_cell::{EndsCursor, Millis, Order, Outcome};
use primroseroute_domain::work::{Name, TaskId};
use primroseroute_platform::{rows::Version, worker::Target};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use tokio::{
    sync::{Semaphore, mpsc::UnboundedSender, watch},
    task::{JoinHandle, JoinSet},
};

/// Maximum concurrent orders to one worker, each on a connection of its own.
const MAX_CONCURRENT_ORDERS: usize = 3;

/// Until when on its worker's clock a start may take effect; `None` if that clock isn't known.
///
/// What is left of the time since the watermark of the jobs' feed is counted on the worker's clock
/// too, if it was read before: a process that was suspended since knows too little of it by its own
/// clock.
fn start_deadline(
    readings: &ClockReadings,
    times: CommitTimes,
    cancel_window: Millis,
) -> Option<Millis> {
    let by_commit = readings.lower_bound(times.sent_at)? + times.start_window;
    let by_knowledge = readings
        .lower_bound(times.feed_watermark)
        .map(|clock| clock + cancel_window);
    Some(by_knowledge.map_or(by_commit, |known| known.min(by_commit)))
}

/// A worker that is polled.
#[derive(Debug)]
struct PolledWorker {
    target: Target,
    readings: Arc<ClockReadings>,
    fence: Arc<Fence>,
    concurrency: Arc<Semaphore>,
    queued: Arc<QueuedStarts>,
    task: JoinHandle<()>,
}

/// The workers that are polled, and the orders in flight.
#[derive(Debug)]
pub(crate) struct PoolWorkers {
    context: Context,
    events: UnboundedSender<Event>,
    /// When the store last confirmed the ownership.
    pub confirmed: watch::Sender<Millis>,
    /// Up to which run end of each worker the results are committed.
    pub ends_committed: watch::Sender<Arc<BTreeMap<Name, EndsCursor>>>,
    polled: BTreeMap<Name, PolledWorker>,
    fences: Fences,
    orders: JoinSet<()>,
}

impl PoolWorkers {
    pub(crate) fn new(context: Context, token: Version, events: UnboundedSender<Event>) -> Self {
        Self {
            confirmed: watch::Sender::new(context.clock.now()),
            ends_committed: watch::Sender::new(Arc::default()),
            fences: Fences::new(token, context.limits.late_order_window),
            context,
            events,
            polled: BTreeMap::new(),
            orders: JoinSet::new(),
        }
    }

    /// Polls these workers, and no others.
    pub(crate) fn poll(&mut self, targets: Vec<Target>) {
        let now = self.context.clock.now();
        let known: BTreeSet<&Name> = targets.iter().map(|target| &target.id).collect();
        let fences = &mut self.fences;
        self.polled.retain(|id, worker_state| {
            let keep = known.contains(id);
            if !keep {
                worker_state.task.abort();
                fences.release(id, now);
            }
            keep
        });
        fences.drop_idle(now);
        for target in targets {
            if !self.polled.contains_key(&target.id) {
                let worker_state = self.start_polling(target);
                self.polled
                    .insert(Name::clone(&worker_state.target.id), worker_state);
            }
        }
    }

    fn start_polling(&mut self, target: Target) -> PolledWorker {
        let readings = Arc::new(ClockReadings::default());
        let fence = self.fences.acquire(&target.id);
        let poller = Poller {
            target: target.clone(),
            workers: Arc::clone(&self.context.workers),
            clock: self.context.clock,
            limits: self.context.limits,
            fence: Arc::clone(&fence),
            readings: Arc::clone(&readings),
            confirmed: self.confirmed.subscribe(),
            ends_committed: self.ends_committed.subscribe(),
            events: self.events.clone(),
            responded_at: None,
            pool: Name::clone(&self.context.pool),
            observer: Arc::clone(&self.context.observer),
        };
        PolledWorker {
            target,
            readings,
            fence,
            concurrency: Arc::new(Semaphore::new(MAX_CONCURRENT_ORDERS)),
            queued: Arc::default(),
            task: tokio::spawn(poller.run()),
        }
    }

    /// Polls a worker at once, beside the polls that wait for a run to end.
    pub(crate) fn poll_now(&mut self, worker: &Name) {
        if let Some(worker_state) = self.polled.get(worker) {
            let poll = ImmediatePoll {
                target: worker_state.target.clone(),
                workers: Arc::clone(&self.context.workers),
                clock: self.context.clock,
                fence: Arc::clone(&worker_state.fence),
                events: self.events.clone(),
            };
            self.orders.spawn(poll.run());
        }
    }

    /// Sends orders; starts carry a deadline, the window after their commit was sent.
    ///
    /// A stop removes a start that is still queued: if it was sent behind it, the work would begin
    /// first. `incarnation` tells for which incarnation of a worker the orders were decided.
    pub(crate) fn send(
        &mut self,
        orders: Vec<Order>,
        times: CommitTimes,
        incarnation: impl Fn(&Name) -> u64,
    ) {
        let CommitTimes {
            decided,
            sent_at,
            start_window,
            ..
        } = times;
        let cancel_window = self.context.limits.cancel_window;
        while self.orders.try_join_next().is_some() {}
        for order in orders {
            let worker = match &order {
                Order::Start { worker, .. }
                | Order::Stop { worker, .. }
                | Order::Throttle { worker, .. } => worker,
            };
            let Some(worker_state) = self.polled.get(worker) else {
                self.report_not_sent(&order);
                continue;
            };
            match &order {
                Order::Start { task, run, .. } => worker_state.queued.add(task, *run),
                Order::Stop { worker, task, run } if worker_state.queued.remove(task, *run) => {
                    self.report_start(worker, task, *run, Outcome::Withdrawn);
                    continue;
                }
                _ => {}
            }
            // First, so that the clock isn't of an older incarnation than the token.
            let token = worker_state.fence.token();
            let delivery = OrderDelivery {
                target: worker_state.target.clone(),
                workers: Arc::clone(&self.context.workers),
                fence: Arc::clone(&worker_state.fence),
                clock: self.context.clock,
                expires_at: sent_at + start_window,
                deadline_ms: start_deadline(&worker_state.readings, times, cancel_window),
                token,
                incarnation: incarnation(worker),
                concurrency: Arc::clone(&worker_state.concurrency),
                queued: Arc::clone(&worker_state.queued),
                events: self.events.clone(),
                decided,
                observer: Arc::clone(&self.context.observer),
            };
            self.orders.spawn(delivery.send(order));
        }
    }

    /// An order to a worker without a known address.
    fn report_not_sent(&self, order: &Order) {
        if let Order::Start {
            worker, task, run, ..
        } = order
        {
            self.report_start(worker, task, *run, Outcome::Unsent);
        }
    }

    fn report_start(&self, worker: &Name, task: &TaskId, run: u32, outcome: Outcome) {
        let event = Event::StartOutcome {
            worker: Name::clone(worker),
            task: task.clone(),
            run,
            outcome,
        };
        if self.events.send(event).is_err() {
            debug!("the pool's loop has ended");
        }
    }

    /// Stops all polls and orders.
    pub(crate) fn stop(&mut self) {
        for worker_state in self.polled.values() {
            worker_state.task.abort();
        }
        self.orders.abort_all();
    }
}
