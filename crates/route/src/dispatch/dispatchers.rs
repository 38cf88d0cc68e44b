//! The dispatchers of one entry.

use super::{PendingRequest, RequestHandle, dispatcher::Dispatcher};
use parking_lot::{Mutex, RwLock};
use primroseroute_domain::{change::Seq, id};
use primroseroute_flow::{
    limits::Limits,
    pool::{Pool, QueueDepth},
    report::Report,
    request::Arrival,
    view::{Member, View},
};
use primroseroute_view::Snapshot;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::{sync::oneshot, task::JoinHandle, time::Instant};

/// A dispatcher and the task that drives its timers.
#[derive(Debug)]
struct RunningDispatcher {
    dispatcher: Arc<Dispatcher>,
    timer: JoinHandle<()>,
}

impl Drop for RunningDispatcher {
    fn drop(&mut self) {
        self.timer.abort();
    }
}

/// The dispatchers of all pools of one entry.
#[derive(Debug)]
pub struct Dispatchers {
    entry: id::Entry,
    incarnation: u64,
    limits: Limits,
    seed: u64,
    started: Instant,
    next_number: AtomicU64,
    by_pool: RwLock<BTreeMap<id::Pool, RunningDispatcher>>,
    applied_seq: Mutex<Seq>,
}

impl Dispatchers {
    /// Creates the dispatchers of `entry`; there are no pools before the first call of
    /// [`Dispatchers::apply_view`].
    pub fn new(entry: id::Entry, incarnation: u64, limits: Limits, seed: u64) -> Self {
        Self {
            entry,
            incarnation,
            limits,
            seed,
            started: Instant::now(),
            next_number: AtomicU64::new(0),
            by_pool: RwLock::default(),
            applied_seq: Mutex::default(),
        }
    }

    /// Applies a view to every dispatcher, with the entries that share the workers.
    ///
    /// After this returns, no dispatcher sends new requests to an instance that is not serving
    /// according to `snapshot`.
    pub fn apply_view(&self, snapshot: &Snapshot, entries: &BTreeSet<id::Entry>) {
        // Two concurrent calls could leave a dispatcher with the older view; the lock serializes them
        // and the comparison drops an outdated one.
        let mut applied_seq = self.applied_seq.lock();
        if snapshot.seq() < *applied_seq {
            return;
        }
        let mut views = pool_views(snapshot, entries);
        for name in self.by_pool.read().keys() {
            views
                .entry(name.clone())
                .or_insert_with(|| empty_view(entries));
        }
        for (name, view) in views {
            self.dispatcher_or_start(&name).apply_view(view);
        }
        *applied_seq = snapshot.seq();
    }

    /// The newest change whose view has been applied to every dispatcher.
    pub fn applied_seq(&self) -> Seq {
        *self.applied_seq.lock()
    }

    fn dispatcher_or_start(&self, name: &id::Pool) -> Arc<Dispatcher> {
        if let Some(dispatcher) = self.find(name) {
            return dispatcher;
        }
        let mut dispatchers = self.by_pool.write();
        let running = dispatchers.entry(name.clone()).or_insert_with(|| {
            let seed = self.seed ^ name_hash(name);
            let pool = Pool::new(
                self.entry.clone(),
                self.incarnation,
                self.limits.clone(),
                seed,
            );
            let dispatcher = Arc::new(Dispatcher::new(pool, self.started));
            let timer = tokio::spawn(Arc::clone(&dispatcher).run_timer());
            RunningDispatcher { dispatcher, timer }
        });
        Arc::clone(&running.dispatcher)
    }

    fn find(&self, name: &id::Pool) -> Option<Arc<Dispatcher>> {
        self.by_pool
            .read()
            .get(name)
            .map(|running| Arc::clone(&running.dispatcher))
    }

    pub(crate) fn dispatch(
        &self,
        pool: &id::Pool,
        request: PendingRequest,
    ) -> Option<RequestHandle> {
        let dispatcher = self.find(pool)?;
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let arrival = Arrival {
            request: number,
            account: request.account,
            service: request.service,
            class: request.class,
            deadline: request.deadline.saturating_duration_since(self.started),
            idempotent: request.idempotent,
        };
        let handle = RequestHandle {
            dispatcher: Arc::clone(&dispatcher),
            number,
            decision: Some(receiver),
            ended: false,
        };
        let mut state = dispatcher.state.lock();
        state.waiters.insert(number, sender);
        dispatcher.handle_event_locked(&mut state, |pool, now| pool.arrive(now, arrival));
        drop(state);
        Some(handle)
    }

    /// Requests in flight on `instance` from this entry, over all pools.
    pub fn in_flight(&self, instance: &id::Instance) -> u32 {
        let dispatchers = self.by_pool.read();
        dispatchers
            .values()
            .map(|running| running.dispatcher.state.lock().pool.in_flight(instance))
            .sum()
    }

    /// Requests in flight by instance; instances without any are omitted.
    ///
    /// A report needs all of them: [`Self::in_flight`] for each instance would take as many locks
    /// as there are instances times pools.
    pub fn loads(&self) -> BTreeMap<id::Instance, u32> {
        let dispatchers = self.by_pool.read();
        let mut loads = BTreeMap::new();
        for running in dispatchers.values() {
            for (instance, count) in running.dispatcher.state.lock().pool.loads() {
                *loads.entry(instance.clone()).or_default() += count;
            }
        }
        loads
    }

    /// Number of ejected instances, by pool.
    pub fn ejected_counts(&self) -> BTreeMap<id::Pool, u64> {
        let dispatchers = self.by_pool.read();
        let count = |running: &RunningDispatcher| {
            running.dispatcher.state.lock().pool.ejected().len() as u64
        };
        dispatchers
            .iter()
            .map(|(name, running)| (name.clone(), count(running)))
            .collect()
    }

    /// Queued requests by account and service; pairs without any are omitted.
    pub fn queue_depths(&self) -> Vec<QueueDepth> {
        let dispatchers = self.by_pool.read();
        let depths = dispatchers
            .values()
            .flat_map(|running| running.dispatcher.state.lock().pool.queue_depths());
        depths.collect()
    }

    /// Queued requests of all pools.
    pub fn waiting(&self) -> usize {
        let dispatchers = self.by_pool.read();
        dispatchers
            .values()
            .map(|running| running.dispatcher.state.lock().pool.waiting())
            .sum()
    }

    /// Reports for the peers, by pool; pools without changes are omitted.
    pub fn changed_reports(&self) -> BTreeMap<id::Pool, Report> {
        let dispatchers = self.by_pool.read();
        let reports = dispatchers.iter().filter_map(|(name, running)| {
            let report = running.dispatcher.changed_report()?;
            Some((name.clone(), report))
        });
        reports.collect()
    }

    /// Full reports for a peer that has just connected, by pool.
    pub fn reports(&self) -> BTreeMap<id::Pool, Report> {
        let dispatchers = self.by_pool.read();
        let reports = dispatchers.iter().map(|(name, running)| {
            let dispatcher = &running.dispatcher;
            let report = dispatcher.state.lock().pool.report(dispatcher.now());
            (name.clone(), report)
        });
        reports.collect()
    }

    /// Applies a peer's report about one pool.
    pub fn apply_report(&self, pool: &id::Pool, report: &Report) {
        if let Some(dispatcher) = self.find(pool) {
            dispatcher
                .handle_event(|pool, now| pool.apply_reports(now, std::slice::from_ref(report)));
        }
    }
}

fn empty_view(entries: &BTreeSet<id::Entry>) -> View {
    View {
        entries: entries.clone(),
        ..View::default()
    }
}

/// The view of each pool, with the shares of only those accounts that may call its services.
///
/// Copying every account's share into every pool's view took 10 ms per change at 140 accounts and
/// 270 pools.
fn pool_views(snapshot: &Snapshot, entries: &BTreeSet<id::Entry>) -> BTreeMap<id::Pool, View> {
    let all = snapshot.routes().shares();
    let share = |account: &id::Account| Some((account.clone(), *all.get(account)?));
    let mut views: BTreeMap<id::Pool, View> = snapshot
        .pools()
        .map(|(owner, pool)| {
            let callers = pool.services.iter().flat_map(|service| &service.callers);
            let shares = callers.chain([owner]).filter_map(share).collect();
            let view = View {
                shares,
                ..empty_view(entries)
            };
            (pool.name.clone(), view)
        })
        .collect();
    for (name, row) in snapshot.instances() {
        let row = &row.value;
        let view = row.pool.as_ref().and_then(|pool| views.get_mut(pool));
        if let Some(view) = view {
            view.members.insert(name.clone(), Member::from(row));
        }
    }
    views
}

/// Hash of a pool's name, so that the dispatchers of different pools make different random choices.
fn name_hash(name: &id::Pool) -> u64 {
    let bytes = name.as_str().bytes();
    bytes.fold(0_u64, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u64::from(byte))
    })
}
