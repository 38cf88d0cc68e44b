//! How long a request is worked on before its caller is told that it failed.

use primroseroute_backoff::Retry;
use std::{hash::Hash, time::Duration};
use tokio::time::{Instant, sleep};

/// Time that a caller is taken to wait where it doesn't say.
const DEFAULT: Duration = Duration::from_secs(3);

/// Part of a caller's time, in percent, that may be used up: an answer that comes after the caller
/// has left is worth nothing.
const USABLE_PERCENT: u32 = 75;

/// Longest time in which a call that surely did nothing is tried again. Waiting longer keeps the
/// caller from another entry that may reach the store.
const REFUSE_AFTER: Duration = Duration::from_millis(600);

/// First and longest pause between two attempts.
const PAUSES: [Duration; 2] = [Duration::from_millis(80), Duration::from_millis(160)];

/// The time of one request.
#[derive(Debug)]
pub(crate) struct Patience {
    begin: Instant,
    usable: Duration,
    unsure: bool,
    retry: Retry,
}

impl Patience {
    /// The time of a request whose caller waits as long as `told`; `seed` differs from one request to the next.
    pub(crate) fn new(told: Option<Duration>, seed: impl Hash) -> Self {
        let [first, longest] = PAUSES;
        Self {
            begin: Instant::now(),
            usable: told.unwrap_or(DEFAULT) * USABLE_PERCENT / 100,
            unsure: false,
            retry: Retry::new(first, longest, seed),
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
    pub(crate) async fn again(&mut self) -> bool {
        let limit = if self.unsure {
            self.usable
        } else {
            self.usable.min(REFUSE_AFTER)
        };
        let pause = self.retry.next_delay();
        if self.begin.elapsed() + pause >= limit {
            return false;
        }
        sleep(pause).await;
        true
    }
}
