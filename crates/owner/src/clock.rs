//! The monotonic clock in milliseconds since the process started, and the time of day.

use primroseroute_cell::Millis;
use primroseroute_domain::time::{self, Clock as _, SystemClock};
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Both clocks; the monotonic one is tokio's, so that tests can pause it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Time of day at `start`, for a simulated time of day that follows the monotonic clock.
    simulated: Option<u64>,
}

/// Time since the machine started, including the time for which it was suspended.
fn since_boot() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let millis = time.tv_sec * 1_000 + time.tv_nsec / 1_000_000;
    Millis::try_from(millis).unwrap_or(0)
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            simulated: None,
        }
    }

    /// A clock that starts now, with a time of day that starts at `wall_ms` and follows the
    /// monotonic clock, so that a run under paused time is reproducible.
    pub fn simulated(wall_ms: u64) -> Self {
        Self {
            start: Instant::now(),
            simulated: Some(wall_ms),
        }
    }

    /// Monotonic time.
    pub fn now(&self) -> Millis {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Monotonic time at `instant`.
    pub fn at(&self, instant: Instant) -> Millis {
        let passed = instant.saturating_duration_since(self.start);
        u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
    }

    /// Time since a fixed moment, including the time for which the machine was suspended, which the
    /// monotonic clock doesn't count.
    pub fn elapsed_with_suspension(&self) -> Millis {
        match self.simulated {
            Some(_) => self.now(),
            None => since_boot(),
        }
    }

    /// Time of day in milliseconds since 1970. It may jump: it orders work, and nothing may be
    /// concluded from it.
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
