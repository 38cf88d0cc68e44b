//! Workers of a pool that are being emptied, and what for.

use crate::event::Event;
use primroseroute_cell::Purpose;
use primroseroute_domain::work::Name;
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
    /// Number of the pool's workers below which none is switched off.
    pub kept: u64,
}

/// The workers that are being emptied.
#[derive(Debug)]
pub(crate) struct Emptying {
    status: Receiver<Arc<Status>>,
    events: UnboundedSender<Event>,
    workers: BTreeMap<Name, (Purpose, Instant)>,
}

impl Emptying {
    pub(crate) fn new(status: Receiver<Arc<Status>>, events: UnboundedSender<Event>) -> Self {
        Self {
            status,
            events,
            workers: BTreeMap::new(),
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
    pub(crate) fn of(&self, purpose: Purpose) -> BTreeSet<Name> {
        let own = self.workers.iter();
        let own = own.filter(|(_worker, (of, _since))| *of == purpose);
        own.map(|(worker, _of)| Name::clone(worker)).collect()
    }

    /// Whether nothing runs on a worker that is being emptied, nor will. One that the cell doesn't
    /// know runs nothing of the pool.
    pub(crate) fn is_over(&self, worker: &Name) -> bool {
        let status = self.status.borrow();
        let unknown = !status.lasting.contains_key(worker);
        self.workers.contains_key(worker) && (unknown || status.emptied.contains(worker))
    }

    /// Asks for a worker to be emptied; the newest purpose counts. Instances that a wave waits for are
    /// never to move, so a wave takes a worker over from a move and not the other way round.
    pub(crate) fn begin(&mut self, worker: &Name, purpose: Purpose) {
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
    pub(crate) fn keep(&mut self, purpose: Purpose, wanted: &BTreeSet<Name>) {
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

    /// The life of a worker has ended by an order. Its registration outlives it by seconds.
    pub(crate) fn gone(&mut self, worker: &Name) {
        self.workers.remove(worker);
        self.tell(Event::Gone(Name::clone(worker)));
    }

    /// Stops shorter tasks on workers that a wave has waited for too long.
    pub(crate) fn clear(&self) {
        for (worker, (purpose, since)) in &self.workers {
            if *purpose == Purpose::Maintenance && since.elapsed() >= CLEAR_AFTER {
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
