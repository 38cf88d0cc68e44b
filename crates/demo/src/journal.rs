//! Where everything that happens is written down.

use crate::judge::Event;
use parking_lot::Mutex;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

#[derive(Debug)]
struct Shared {
    began: Instant,
    events: Mutex<Vec<Event>>,
}

/// The events so far; clones write to the same journal.
#[derive(Clone, Debug)]
pub(crate) struct Journal(Arc<Shared>);

impl Journal {
    /// An empty journal whose time starts now.
    pub(crate) fn open() -> Self {
        Self(Arc::new(Shared {
            began: Instant::now(),
            events: Mutex::default(),
        }))
    }

    /// Time since the journal was opened.
    pub(crate) fn now(&self) -> Duration {
        self.0.began.elapsed()
    }

    pub(crate) fn write(&self, event: Event) {
        self.0.events.lock().push(event);
    }

    pub(crate) fn events(&self) -> Vec<Event> {
        self.0.events.lock().clone()
    }
}
