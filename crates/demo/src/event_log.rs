//! In-memory log of the events of a run.

use crate::checker::Event;
use parking_lot::Mutex;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

#[derive(Debug)]
struct Shared {
    started: Instant,
    events: Mutex<Vec<Event>>,
}

/// The recorded events; clones share one log.
#[derive(Clone, Debug)]
pub(crate) struct EventLog(Arc<Shared>);

impl EventLog {
    /// Creates an empty log whose clock starts now.
    pub(crate) fn new() -> Self {
        Self(Arc::new(Shared {
            started: Instant::now(),
            events: Mutex::default(),
        }))
    }

    /// Time since the log was created.
    pub(crate) fn now(&self) -> Duration {
        self.0.started.elapsed()
    }

    pub(crate) fn record(&self, event: Event) {
        self.0.events.lock().push(event);
    }

    pub(crate) fn events(&self) -> Vec<Event> {
        self.0.events.lock().clone()
    }
}
