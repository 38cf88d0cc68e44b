//! Events on workers and instances.

use primroseroute_domain::work::{Demand, End, Name, TaskId};

/// One event on a worker or an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A worker has started a run.
    Started {
        /// When, in milliseconds since the site opened.
        at: u64,
        /// The worker.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
        /// The payload given to the run.
        payload: Name,
    },
    /// A worker has accepted the order to stop a run.
    Stopping {
        /// When.
        at: u64,
        /// The worker.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
        /// Whether the order was delayed on its way.
        late: bool,
    },
    /// A worker has announced that it is draining.
    Draining {
        /// When.
        at: u64,
        /// The worker.
        worker: Name,
    },
    /// A run has ended.
    Ended {
        /// When.
        at: u64,
        /// The worker.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
        /// How; none if the worker terminated.
        how: Option<End>,
    },
    /// A worker incarnation has begun; an earlier one may have had the same id.
    Born {
        /// When.
        at: u64,
        /// The worker.
        worker: Name,
    },
    /// A worker's capacity has changed.
    Resized {
        /// When.
        at: u64,
        /// The worker.
        worker: Name,
        /// The new capacity.
        capacity: Demand,
    },
    /// A task has crashed the worker that started it.
    Crashed {
        /// When.
        at: u64,
        /// The worker.
        worker: Name,
        /// The task.
        task: TaskId,
    },
    /// The lease of a worker had expired before it was renewed, whether or not anything ran there.
    Lapsed {
        /// When it expired.
        at: u64,
        /// The worker.
        worker: Name,
    },
    /// Ends up to this number were acknowledged to the worker.
    Noted {
        /// When.
        at: u64,
        /// The worker.
        worker: Name,
        /// The number.
        number: u64,
    },
    /// An entry ordered an instance to move to another pool.
    Moved {
        /// When.
        at: u64,
        /// The instance.
        instance: Name,
        /// The target pool.
        to: Name,
        /// Who ordered it.
        entry: Name,
        /// The order's fencing token.
        token: u64,
    },
    /// An entry ordered the maintenance of an instance.
    Maintained {
        /// When.
        at: u64,
        /// The instance.
        instance: Name,
        /// Who ordered it.
        entry: Name,
        /// The order's fencing token.
        token: u64,
    },
}

/// All events, in the order in which they were recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Journal {
    /// The events.
    pub events: Vec<Event>,
}

impl Journal {
    pub(crate) fn add(&mut self, event: Event) {
        log::debug!(event:? = event; "worker event recorded");
        self.events.push(event);
    }

    /// Starts of a task, each with its worker and time.
    pub fn starts(&self, task: &TaskId) -> Vec<(Name, u64)> {
        let starts = self.events.iter().filter_map(|event| match event {
            Event::Started {
                at,
                worker,
                task: started,
                ..
            } if started == task => Some((Name::clone(worker), *at)),
            _ => None,
        });
        starts.collect()
    }
}
