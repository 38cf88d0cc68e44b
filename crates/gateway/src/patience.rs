//! How long a request is worked on before its caller is told that it failed.

use std::time::Duration;
use tokio::time::Instant;

/// Time that a caller is taken to wait where it doesn't say.
const DEFAULT: Duration = Duration::from_secs(3);

/// Part of a caller's time, in percent, that may be used up: an answer that comes after the caller
/// has left is worth nothing.
const USABLE_PERCENT: u32 = 75;

/// Longest time in which a call that surely did nothing is tried again. Waiting longer keeps the
/// caller from another entry that may reach the store.
const REFUSE_AFTER: Duration = Duration::from_millis(600);

/// Pause between two attempts.
const PAUSE: Duration = Duration::from_millis(80);

/// The time of one request.
#[derive(Debug)]
pub(crate) struct Patience {
    begin: Instant,
    usable: Duration,
    unsure: bool,
}

impl Patience {
    pub(crate) fn new(told: Option<Duration>) -> Self {
        Self {
            begin: Instant::now(),
            usable: told.unwrap_or(DEFAULT) * USABLE_PERCENT / 100,
            unsure: false,
        }
    }

    /// Takes in that an attempt may have had its effect, or may have it later.
    pub(crate) fn doubt(&mut self) {
        self.unsure = true;
    }

    /// Whether some attempt may have had its effect.
    pub(crate) fn in_doubt(&self) -> bool {
        self.unsure
    }

    /// Waits for the next attempt; `false` where there is no time for one. A request in doubt is
    /// worked on for as long as its caller waits, since only another attempt can tell.
    pub(crate) async fn again(&self) -> bool {
        let limit = if self.unsure {
            self.usable
        } else {
            self.usable.min(REFUSE_AFTER)
        };
        if self.begin.elapsed() + PAUSE >= limit {
            return false;
        }
        tokio::time::sleep(PAUSE).await;
        true
    }
}
