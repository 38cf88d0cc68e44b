//! What the demo is started with.

use std::{fmt, time::Duration};

/// How large the demo is and which random choices its callers make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long callers send; the whole run takes a few seconds more.
    pub load: Duration,
    /// Seed of the callers' choices.
    pub seed: u64,
    /// Callers of each account, each with one request at a time.
    pub callers: usize,
}

impl Default for Options {
    /// 40 s show every step of the schedule apart from the others and leave room under a minute;
    /// three callers an account keep the writes for claims under half of what the store takes.
    fn default() -> Self {
        Self {
            load: Duration::from_secs(40),
            seed: 1,
            callers: 3,
        }
    }
}

/// Where the demo says what it is doing.
pub trait Progress: Send + Sync + fmt::Debug {
    /// Says that `done` of the load's time has passed; what has just happened is `step`.
    fn show(&self, done: Duration, step: &str);
}
