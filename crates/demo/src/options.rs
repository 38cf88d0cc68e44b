//! Options of the demo.

use std::{fmt, time::Duration};

/// Size of the load and seed of the callers' random choices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long callers send requests; the whole run takes a few seconds more.
    pub load: Duration,
    /// Seed of the callers' random choices.
    pub seed: u64,
    /// Number of callers per account; each has one request in flight at a time.
    pub callers: usize,
}

impl Default for Options {
    /// In 40 s the effects of each step of the schedule can be told apart, and the whole run stays under
    /// a minute. With three callers per account the writes for claims use less than half of the store's
    /// write rate.
    fn default() -> Self {
        Self {
            load: Duration::from_secs(40),
            seed: 1,
            callers: 3,
        }
    }
}

/// Receives progress updates of the demo.
pub trait Progress: Send + Sync + fmt::Debug {
    /// Reports that `done` of the load's duration has passed; `step` describes the latest step.
    fn show(&self, done: Duration, step: &str);
}
