//! How long a request is retried before its caller is told that it failed.

use primroseroute_backoff::Retry;
use std::{hash::Hash, time::Duration};
use tokio::time::{Instant, sleep};

/// Timeout of a caller that doesn't state one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

/// Share of a caller's timeout, in percent, that may be used: a response after the caller has left
/// is useless.
const USABLE_PERCENT: u32 = 75;

/// Longest time for which a call that certainly did nothing is retried. Waiting longer keeps the
/// caller from another entry that may reach the store.
const NOT_APPLIED_LIMIT: Duration = Duration::from_millis(600);

/// First and longest delay between two attempts.
const RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(80), Duration::from_millis(160)];

/// The time limit of one request.
#[derive(Debug)]
pub(crate) struct RetryLimit {
    begin: Instant,
    usable: Duration,
    ambiguous: bool,
    retry: Retry,
}

impl RetryLimit {
    /// The time limit of a request whose caller waits as long as `caller_timeout`; `seed` differs between
    /// requests.
    pub(crate) fn new(caller_timeout: Option<Duration>, seed: impl Hash) -> Self {
        let [first, longest] = RETRY_DELAYS;
        Self {
            begin: Instant::now(),
            usable: caller_timeout.unwrap_or(DEFAULT_TIMEOUT) * USABLE_PERCENT / 100,
            ambiguous: false,
            retry: Retry::new(first, longest, seed),
        }
    }

    /// Records that an attempt may have taken effect, or may still do so.
    pub(crate) fn record_ambiguous(&mut self) {
        self.ambiguous = true;
    }

    /// Whether some attempt may have taken effect.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.ambiguous
    }

    /// Waits for the next attempt; returns `false` if there is no time for one. A request whose
    /// outcome is unknown is retried for as long as its caller waits, since only another attempt
    /// can resolve it.
    pub(crate) async fn wait_for_retry(&mut self) -> bool {
        let limit = if self.ambiguous {
            self.usable
        } else {
            self.usable.min(NOT_APPLIED_LIMIT)
        };
        let delay = self.retry.next_delay();
        if self.begin.elapsed() + delay >= limit {
            return false;
        }
        sleep(delay).await;
        true
    }
}
