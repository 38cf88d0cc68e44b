//! The wall clock that stamps rows.

use primroseroute_domain::time::Instant;
use std::{
    fmt,
    time::{SystemTime, UNIX_EPOCH},
};

/// A source of wall-clock instants.
pub trait Clock: Send + Sync + fmt::Debug {
    /// The instant now.
    fn now(&self) -> Instant;
}

/// The operating system's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Instant(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}
