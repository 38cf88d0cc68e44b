//! Wall-clock instants for rows and reports.
//!
//! Decisions that must be safe never compare instants of two machines; they use revisions and
//! epochs. Instants order history for people and pace work within one process.

use serde::{Deserialize, Serialize};
use std::{
    fmt,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// A wall-clock instant: milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Instant(pub u64);

impl Instant {
    /// The time since `earlier`, or zero where `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The instant `later` after this one.
    pub fn after(self, later: Duration) -> Self {
        let millis = u64::try_from(later.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

/// A source of wall-clock instants, handed in so that tests can drive it.
pub trait Clock: Send + Sync + fmt::Debug {
    /// The instant now.
    fn now(&self) -> Instant;
}

/// The machine's own clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Instant::default().after(since)
    }
}
