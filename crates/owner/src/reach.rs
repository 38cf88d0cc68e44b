//! The workers of a pool as its owner reaches them: one loop of looks each, and orders to them.

use crate::{
    event::Event,
    fence::Fence,
    lease::{Glance, Readings, Watcher},
    own::Context,
    send::{Pending, Sending, Times},
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

/// Most orders to one worker at the same time, each on a connection of its own.
const ORDERS: usize = 3;

/// Until when on its worker's clock a start may take effect; `None` where that clock isn't known.
///
/// What is left of the time since `heard_at` is counted on the worker's clock too, where it was read before: a process that was
/// suspended since knows too little of it by its own.
fn deadline(readings: &Readings, times: Times, cancel_window: Millis) -> Option<Millis> {
    let by_commit = readings.at(times.sent_at)? + times.window;
    let by_knowledge = readings
        .at(times.heard_at)
        .map(|clock| clock + cancel_window);
    Some(by_knowledge.map_or(by_commit, |known| known.min(by_commit)))
}

/// A worker that is looked at.
#[derive(Debug)]
struct Watched {
    target: Target,
    readings: Arc<Readings>,
    fence: Arc<Fence>,
    slots: Arc<Semaphore>,
    pending: Arc<Pending>,
    task: JoinHandle<()>,
}

/// The workers that are looked at, and the orders on their way.
#[derive(Debug)]
pub(crate) struct Reach {
    context: Context,
    token: Version,
    events: UnboundedSender<Event>,
    /// When the store last confirmed the ownership.
    pub confirmed: watch::Sender<Millis>,
    /// Up to where each worker's ends are committed.
    pub seen: watch::Sender<Arc<BTreeMap<Name, EndsCursor>>>,
    watched: BTreeMap<Name, Watched>,
    /// Fences of the watched workers, and of those that were met before.
    fences: BTreeMap<Name, Arc<Fence>>,
    orders: JoinSet<()>,
}

impl Reach {
    pub(crate) fn new(context: Context, token: Version, events: UnboundedSender<Event>) -> Self {
        Self {
            confirmed: watch::Sender::new(context.clock.now()),
            seen: watch::Sender::new(Arc::default()),
            context,
            token,
            events,
            watched: BTreeMap::new(),
            fences: BTreeMap::new(),
            orders: JoinSet::new(),
        }
    }

    /// Looks at these workers, and at no others.
    pub(crate) fn look_at(&mut self, targets: Vec<Target>) {
        let known: BTreeSet<&Name> = targets.iter().map(|target| &target.id).collect();
        self.watched.retain(|id, watched| {
            let keep = known.contains(id);
            if !keep {
                watched.task.abort();
            }
            keep
        });
        self.fences
            .retain(|id, fence| fence.has_met() || known.contains(id));
        for target in targets {
            if !self.watched.contains_key(&target.id) {
                let watched = self.watch(target);
                self.watched
                    .insert(Name::clone(&watched.target.id), watched);
            }
        }
    }

    fn watch(&mut self, target: Target) -> Watched {
        let readings = Arc::new(Readings::default());
        let fence = self.fences.entry(Name::clone(&target.id));
        let fence = Arc::clone(fence.or_insert_with(|| Arc::new(Fence::open(self.token))));
        let watcher = Watcher {
            target: target.clone(),
            workers: Arc::clone(&self.context.workers),
            clock: self.context.clock,
            limits: self.context.limits,
            fence: Arc::clone(&fence),
            readings: Arc::clone(&readings),
            confirmed: self.confirmed.subscribe(),
            seen: self.seen.subscribe(),
            events: self.events.clone(),
            answered_at: None,
        };
        Watched {
            target,
            readings,
            fence,
            slots: Arc::new(Semaphore::new(ORDERS)),
            pending: Arc::default(),
            task: tokio::spawn(watcher.run()),
        }
    }

    /// Looks at a worker at once, beside the looks that wait for an end.
    pub(crate) fn glance(&mut self, worker: &Name) {
        if let Some(watched) = self.watched.get(worker) {
            let glance = Glance {
                target: watched.target.clone(),
                workers: Arc::clone(&self.context.workers),
                clock: self.context.clock,
                fence: Arc::clone(&watched.fence),
                events: self.events.clone(),
            };
            self.orders.spawn(glance.run());
        }
    }

    /// Sends orders; starts carry a deadline, the window after their commit's sending.
    ///
    /// A stop takes back a start that still waits for its turn: behind it, it would let the work begin first.
    pub(crate) fn send(&mut self, orders: Vec<Order>, times: Times) {
        let Times {
            decided,
            sent_at,
            window,
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
            let Some(watched) = self.watched.get(worker) else {
                self.unsent(&order);
                continue;
            };
            match &order {
                Order::Start { task, run, .. } => watched.pending.add(task, *run),
                Order::Stop { worker, task, run } if watched.pending.take(task, *run) => {
                    self.answered(worker, task, *run, Outcome::Withdrawn);
                    continue;
                }
                _ => {}
            }
            // First, so that the clock isn't of an older life than the token.
            let token = watched.fence.token();
            let sending = Sending {
                target: watched.target.clone(),
                workers: Arc::clone(&self.context.workers),
                fence: Arc::clone(&watched.fence),
                clock: self.context.clock,
                expires_at: sent_at + window,
                deadline_ms: deadline(&watched.readings, times, cancel_window),
                token,
                slots: Arc::clone(&watched.slots),
                pending: Arc::clone(&watched.pending),
                events: self.events.clone(),
                decided,
                observer: Arc::clone(&self.context.observer),
            };
            self.orders.spawn(sending.send(order));
        }
    }

    /// An order to a worker that can't be reached by any address.
    fn unsent(&self, order: &Order) {
        if let Order::Start {
            worker, task, run, ..
        } = order
        {
            self.answered(worker, task, *run, Outcome::Unsent);
        }
    }

    fn answered(&self, worker: &Name, task: &TaskId, run: u32, outcome: Outcome) {
        let event = Event::Answered {
            worker: Name::clone(worker),
            task: task.clone(),
            run,
            outcome,
        };
        if self.events.send(event).is_err() {
            debug!("the pool's loop has ended");
        }
    }

    /// Sends nothing more, and looks at no worker any more.
    pub(crate) fn end(&mut self) {
        for watched in self.watched.values() {
            watched.task.abort();
        }
        self.orders.abort_all();
    }
}
