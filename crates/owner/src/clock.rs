//! The steady clock in milliseconds since the process began, and the time of day.

use primroseroute_cell::Millis;
use primroseroute_domain::time::{self, Clock as _, SystemClock};
use tokio::time::Instant;

/// Both clocks; the steady one is tokio's, so that tests can pause it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Time of day at `start`, for a clock that follows the steady one.
    simulated: Option<u64>,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            simulated: None,
        }
    }

    /// A clock that begins now, with a time of day of `wall_ms` that follows the steady clock, so
    /// that a run under paused time repeats.
    pub fn simulated(wall_ms: u64) -> Self {
        Self {
            start: Instant::now(),
            simulated: Some(wall_ms),
        }
    }

    /// Steady time.
    pub fn now(&self) -> Millis {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Steady time at `instant`.
    pub fn at(&self, instant: Instant) -> Millis {
        let passed = instant.saturating_duration_since(self.start);
        u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
    }

    /// Time of day in milliseconds since 1970. It may jump: it orders work and proves nothing.
    pub fn wall_ms(&self) -> u64 {
        match self.simulated {
            Some(wall_ms) => wall_ms + self.now(),
            None => SystemClock.now().0,
        }
    }
}

impl time::Clock for Clock {
    fn now(&self) -> time::Instant {
        time::Instant(self.wall_ms())
    }
}
