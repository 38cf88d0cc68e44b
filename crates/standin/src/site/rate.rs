//! Rate limit of the store, shared by all callers.

use primroseroute_platform::Error;
use std::time::Duration;
use tokio::time::Instant;

/// Time whose tokens the bucket holds at most, as a limit on bursts.
const BURST: Duration = Duration::from_millis(100);

/// Counts of calls under the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Admitted calls.
    pub taken: u64,
    /// Calls rejected for exceeding the rate.
    pub refused: u64,
}

/// A token bucket; without a rate it admits all calls.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    per_second: Option<u32>,
    tokens: f64,
    filled_at: Instant,
    pub calls: Calls,
}

impl RateLimiter {
    pub(crate) fn new(per_second: Option<u32>) -> Self {
        Self {
            per_second,
            tokens: 0.0,
            filled_at: Instant::now(),
            calls: Calls::default(),
        }
    }

    pub(crate) fn admit(&mut self) -> Result<(), Error> {
        if let Some(per_second) = self.per_second {
            let per_second = f64::from(per_second);
            let max_tokens = (per_second * BURST.as_secs_f64()).max(1.0);
            let gained = self.filled_at.elapsed().as_secs_f64() * per_second;
            self.tokens = (self.tokens + gained).min(max_tokens);
            self.filled_at = Instant::now();
            if self.tokens < 1.0 {
                self.calls.refused += 1;
                return Err(Error::Throttled);
            }
            self.tokens -= 1.0;
        }
        self.calls.taken += 1;
        Ok(())
    }
}

/// Calls of the store's table that one caller made on one table, and what they carried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Calls that reached the store.
    pub calls: u64,
    /// Rows that they read or wrote.
    pub rows: u64,
    /// Bytes of the names and values of these rows.
    pub bytes: u64,
}

impl Traffic {
    /// Adds one call that carried `rows`, given as their sizes.
    pub(crate) fn add_call(&mut self, rows: impl Iterator<Item = usize>) {
        self.calls += 1;
        for bytes in rows {
            self.rows += 1;
            self.bytes += bytes as u64;
        }
    }
}

impl std::ops::Add for Traffic {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            calls: self.calls + rhs.calls,
            rows: self.rows + rhs.rows,
            bytes: self.bytes + rhs.bytes,
        }
    }
}

impl std::ops::Sub for Traffic {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self {
            calls: self.calls - rhs.calls,
            rows: self.rows - rhs.rows,
            bytes: self.bytes - rhs.bytes,
        }
    }
}
