//! The steady clock in milliseconds since the process began, and the time of day.

use primroseroute_cell::Millis;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Both clocks; the steady one is tokio's, so that tests can pause it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Steady time.
    pub fn now(&self) -> Millis {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Time of day in milliseconds since 1970. It may jump: it orders work and proves nothing.
    pub fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let since = since.unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
