//! How many calls the store takes a second from all callers together.

use primroseroute_platform::Error;
use std::time::Duration;
use tokio::time::Instant;

/// Span of calls that may come at once.
const BURST: Duration = Duration::from_millis(100);

/// Calls of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Those that were carried out.
    pub taken: u64,
    /// Those that were over the rate.
    pub refused: u64,
}

/// A token bucket; one without a rate takes all calls.
#[derive(Debug)]
pub(crate) struct Rate {
    per_second: Option<u32>,
    tokens: f64,
    filled_at: Instant,
    pub calls: Calls,
}

impl Rate {
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
            let most = (per_second * BURST.as_secs_f64()).max(1.0);
            let filled = self.filled_at.elapsed().as_secs_f64() * per_second;
            self.tokens = (self.tokens + filled).min(most);
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
