//! Workers of a pool that are being evacuated, and for what reason.

use crate::event::Event;
use primroseroute_cell::{EvacuationReason, Millis};
use primroseroute_domain::work::Name;
use primroseroute_platform::site::{Instance, InstanceState};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{mpsc::UnboundedSender, watch::Receiver},
    time::Instant,
};

/// Time after which batch tasks on a worker that is evacuated for a wave are stopped: most end by
/// themselves before, and a wave can't wait for one that hangs.
const STOP_BATCH_AFTER: Duration = Duration::from_secs(6);

/// What runs where, as the pool's loop publishes it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PoolStatus {
    /// Whether the cell has published it; nothing is known before.
    pub is_published: bool,
    /// Long-running tasks by worker.
    pub lasting: BTreeMap<Name, usize>,
    /// Runs by worker.
    pub runs: BTreeMap<Name, usize>,
    /// Workers on which nothing can run, and that get nothing new, as requested.
    pub evacuated: BTreeSet<Name>,
    /// Registered workers of the pool.
    pub registered: BTreeSet<Name>,
    /// Workers that don't respond, and on which something may run.
    pub unresponsive: BTreeSet<Name>,
    /// Those of them that new runs may have crashed.
    pub possibly_crashed: BTreeSet<Name>,
    /// Terminated workers whose runs may still begin if they come back.
    pub terminated: BTreeSet<Name>,
    /// Start times of the incarnations of unresponsive workers, and of those that are evacuated.
    pub incarnations: BTreeMap<Name, u64>,
    /// Number of the pool's workers below which none is switched off.
    pub scale_down_floor: u64,
}

/// The workers that are being evacuated.
#[derive(Debug)]
pub(crate) struct Evacuations {
    status: Receiver<Arc<PoolStatus>>,
    events: UnboundedSender<Event>,
    workers: BTreeMap<Name, (EvacuationReason, Instant)>,
    /// Workers whose instances were ordered away since the last list, or may have been, with the
    /// start times of their incarnations then.
    pending_orders: BTreeMap<Name, u64>,
}

impl Evacuations {
    pub(crate) fn new(status: Receiver<Arc<PoolStatus>>, events: UnboundedSender<Event>) -> Self {
        Self {
            status,
            events,
            workers: BTreeMap::new(),
            pending_orders: BTreeMap::new(),
        }
    }

    /// Waits until the cell has published for the first time what runs where.
    ///
    /// Before that every worker looks as if nothing ran on it, and a new owner would move instances
    /// away under the long-running tasks that it has just loaded.
    pub(crate) async fn wait_until_published(&mut self) {
        if self
            .status
            .wait_for(|status| status.is_published)
            .await
            .is_err()
        {
            log::debug!("the pool's loop has ended");
        }
    }

    pub(crate) fn status(&self) -> Arc<PoolStatus> {
        Arc::clone(&self.status.borrow())
    }

    /// Workers that are evacuated for `reason`.
    pub(crate) fn workers_for(&self, reason: EvacuationReason) -> BTreeSet<Name> {
        let own = self.workers.iter();
        let own = own.filter(|(_worker, (known, _since))| *known == reason);
        own.map(|(worker, _of)| Name::clone(worker)).collect()
    }

    /// Whether a worker that is being evacuated is empty: nothing runs on it, nor will.
    ///
    /// Only the cell knows. A worker that it doesn't know may be registered, and in use, before an
    /// order reaches its instance: the order would cut its tasks off.
    pub(crate) fn is_empty(&self, worker: &Name) -> bool {
        let status = self.status.borrow();
        self.workers.contains_key(worker) && status.evacuated.contains(worker)
    }

    /// Requests that a worker be evacuated; the newest reason counts. Instances that a wave waits
    /// for are never to move, so a wave takes a worker over from a move and not the other way
    /// round.
    pub(crate) fn begin(&mut self, worker: &Name, reason: EvacuationReason) {
        let known = self.workers.get(worker).map(|(known, _since)| *known);
        if known != Some(reason) {
            self.workers
                .insert(Name::clone(worker), (reason, Instant::now()));
        }
    }

    /// Sends all requests to the cell again: it may have learned of a worker since.
    pub(crate) fn resend(&self) {
        for (worker, (reason, _since)) in &self.workers {
            self.send(Event::SetEvacuating {
                worker: Name::clone(worker),
                reason: Some(*reason),
            });
        }
    }

    /// Cancels the evacuation of workers for `reason` that aren't in `wanted`: they take new tasks
    /// again.
    pub(crate) fn retain(&mut self, reason: EvacuationReason, wanted: &BTreeSet<Name>) {
        for worker in self.workers_for(reason) {
            if !wanted.contains(&worker) {
                self.workers.remove(&worker);
                self.send(Event::SetEvacuating {
                    worker,
                    reason: None,
                });
            }
        }
    }

    /// An order to the instance of a worker is about to be requested, and may end its incarnation.
    ///
    /// An accepted order doesn't prove that it did: one that was carried out before has no effect
    /// and is answered in the same way, also if a predecessor issued it. A worker that is wrongly
    /// taken for terminated works on, and its tasks would start elsewhere beside it. It gets
    /// nothing new until a list shows its state.
    pub(crate) fn record_order(&mut self, worker: &Name) {
        let incarnation = self.status().incarnations.get(worker).copied().unwrap_or(0);
        self.pending_orders.insert(Name::clone(worker), incarnation);
    }

    /// Whether orders may have terminated workers, and no list has shown it yet.
    pub(crate) fn has_pending_orders(&self) -> bool {
        !self.pending_orders.is_empty()
    }

    /// Applies a list that was requested after all orders so far, and reports which workers they
    /// have terminated: those that no instance in use has any more. Their registrations outlive
    /// them by seconds.
    pub(crate) fn apply_list(&mut self, instances: &[Instance], asked_at: Millis) {
        let ordered_away = |known: &&Instance| {
            matches!(
                known.state,
                InstanceState::Moving | InstanceState::Maintenance
            )
        };
        let in_use = instances.iter().filter(|known| !ordered_away(known));
        let in_use: BTreeSet<&Name> = in_use.filter_map(|known| known.worker.as_ref()).collect();
        for (worker, incarnation) in std::mem::take(&mut self.pending_orders) {
            if !in_use.contains(&worker) {
                self.workers.remove(&worker);
                self.send(Event::Terminated {
                    worker,
                    incarnation,
                    asked_at,
                });
            }
        }
    }

    /// Stops batch tasks on workers that a wave has waited for too long.
    pub(crate) fn stop_batch_tasks(&self) {
        for (worker, (reason, since)) in &self.workers {
            if *reason == EvacuationReason::Maintenance && since.elapsed() >= STOP_BATCH_AFTER {
                self.send(Event::StopBatchTasks(Name::clone(worker)));
            }
        }
    }

    fn send(&self, event: Event) {
        if self.events.send(event).is_err() {
            log::debug!("the pool's loop has ended");
        }
    }
}
