//! Workers of a pool that are being emptied, and what for.

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

/// Time after which shorter tasks on a worker that is emptied for a wave are stopped: most end by
/// themselves before, and a wave can't wait for one that hangs.
const CLEAR_AFTER: Duration = Duration::from_secs(6);

/// What runs where.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Status {
    /// Whether the cell has told it; nothing is known before.
    pub told: bool,
    /// Lasting tasks by worker.
    pub lasting: BTreeMap<Name, usize>,
    /// Runs by worker.
    pub runs: BTreeMap<Name, usize>,
    /// Workers on which nothing can run, and that get nothing new, as was asked.
    pub emptied: BTreeSet<Name>,
    /// Registered workers of the pool.
    pub registered: BTreeSet<Name>,
    /// Workers that don't answer, and on which something may run.
    pub silent: BTreeSet<Name>,
    /// Those of them that new runs may have crashed.
    pub suspected: BTreeSet<Name>,
    /// When the lives of silent workers, and of those that are emptied, began.
    pub lives: BTreeMap<Name, u64>,
    /// Number of the pool's workers below which none is switched off.
    pub kept: u64,
}

/// The workers that are being emptied.
#[derive(Debug)]
pub(crate) struct Emptying {
    status: Receiver<Arc<Status>>,
    events: UnboundedSender<Event>,
    workers: BTreeMap<Name, (EvacuationReason, Instant)>,
    /// Workers whose instances were ordered away since the last list, or may have been, with the births of their lives then.
    ordered: BTreeMap<Name, u64>,
}

impl Emptying {
    pub(crate) fn new(status: Receiver<Arc<Status>>, events: UnboundedSender<Event>) -> Self {
        Self {
            status,
            events,
            workers: BTreeMap::new(),
            ordered: BTreeMap::new(),
        }
    }

    /// Waits until the cell has told for the first time what runs where.
    ///
    /// Before that every worker looks as if nothing ran on it, and a new owner would move instances away under
    /// the lasting tasks that it has just loaded.
    pub(crate) async fn told(&mut self) {
        if self.status.wait_for(|status| status.told).await.is_err() {
            log::debug!("the pool's loop has ended");
        }
    }

    pub(crate) fn status(&self) -> Arc<Status> {
        Arc::clone(&self.status.borrow())
    }

    /// Workers that are emptied for `purpose`.
    pub(crate) fn of(&self, purpose: EvacuationReason) -> BTreeSet<Name> {
        let own = self.workers.iter();
        let own = own.filter(|(_worker, (of, _since))| *of == purpose);
        own.map(|(worker, _of)| Name::clone(worker)).collect()
    }

    /// Whether nothing runs on a worker that is being emptied, nor will.
    ///
    /// Only the cell's word counts. A worker that it doesn't know may be registered, and at work, before an order
    /// reaches its instance: the order would cut its tasks off.
    pub(crate) fn is_over(&self, worker: &Name) -> bool {
        let status = self.status.borrow();
        self.workers.contains_key(worker) && status.emptied.contains(worker)
    }

    /// Asks for a worker to be emptied; the newest purpose counts. Instances that a wave waits for are
    /// never to move, so a wave takes a worker over from a move and not the other way round.
    pub(crate) fn begin(&mut self, worker: &Name, purpose: EvacuationReason) {
        let known = self.workers.get(worker).map(|(of, _since)| *of);
        if known != Some(purpose) {
            self.workers
                .insert(Name::clone(worker), (purpose, Instant::now()));
        }
    }

    /// Tells the cell once more what is to be emptied: it may have come to know a worker since.
    pub(crate) fn repeat(&self) {
        for (worker, (purpose, _since)) in &self.workers {
            self.tell(Event::Empty {
                worker: Name::clone(worker),
                wanted: Some(*purpose),
            });
        }
    }

    /// Those that are emptied for `purpose` and aren't in `wanted` take new tasks again.
    pub(crate) fn keep(&mut self, purpose: EvacuationReason, wanted: &BTreeSet<Name>) {
        for worker in self.of(purpose) {
            if !wanted.contains(&worker) {
                self.workers.remove(&worker);
                self.tell(Event::Empty {
                    worker,
                    wanted: None,
                });
            }
        }
    }

    /// An order to the instance of a worker is about to be asked for, and may end its life.
    ///
    /// That it was taken doesn't prove that it did: one that was carried out before has no effect and is answered in the same
    /// way, also where a predecessor gave it. A worker that is wrongly thought to be over works on, and its tasks
    /// would start elsewhere beside it. It gets nothing new until a list tells.
    pub(crate) fn ordered(&mut self, worker: &Name) {
        let born = self.status().lives.get(worker).copied().unwrap_or(0);
        self.ordered.insert(Name::clone(worker), born);
    }

    /// Whether workers may be over by orders, and no list has told yet.
    pub(crate) fn is_unsettled(&self) -> bool {
        !self.ordered.is_empty()
    }

    /// Takes in a list that was asked for after all orders so far, and tells which workers are over by them: those that no
    /// instance in use has any more. Their registrations outlive them by seconds.
    pub(crate) fn settle(&mut self, instances: &[Instance], asked_at: Millis) {
        let away = |known: &&Instance| {
            matches!(
                known.state,
                InstanceState::Moving | InstanceState::Maintenance
            )
        };
        let in_use = instances.iter().filter(|known| !away(known));
        let lives: BTreeSet<&Name> = in_use.filter_map(|known| known.worker.as_ref()).collect();
        for (worker, born) in std::mem::take(&mut self.ordered) {
            if !lives.contains(&worker) {
                self.workers.remove(&worker);
                self.tell(Event::Gone {
                    worker,
                    born,
                    asked_at,
                });
            }
        }
    }

    /// Stops shorter tasks on workers that a wave has waited for too long.
    pub(crate) fn clear(&self) {
        for (worker, (purpose, since)) in &self.workers {
            if *purpose == EvacuationReason::Maintenance && since.elapsed() >= CLEAR_AFTER {
                self.tell(Event::Clear(Name::clone(worker)));
            }
        }
    }

    fn tell(&self, event: Event) {
        if self.events.send(event).is_err() {
            log::debug!("the pool's loop has ended");
        }
    }
}
