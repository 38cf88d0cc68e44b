//! Retry policy: whether and when a failed attempt is retried.
//!
//! A retry requires that it is safe (the attempt was not executed, or the request is idempotent), a
//! token from the retry budget, and enough time before the deadline. The budget is ratio-based as in
//! Envoy (`retry_budget`) and Finagle (`RetryBudget`): each first attempt deposits a fraction of a
//! token and each retry withdraws a whole one, so retries never multiply the load of a failing pool.

use crate::{limits::Limits, request::AttemptOutcome};
use rand::RngExt;
use std::time::Duration;

/// Resolution of the token count: with floating-point sums, rounding errors could deny a due token.
const MILLITOKENS_PER_TOKEN: f64 = 1_000.0;

/// A token bucket that first attempts fill and retries drain.
#[derive(Clone, Debug)]
pub struct Budget {
    millitokens: u64,
    ratio: u64,
    burst: u64,
}

impl Budget {
    /// Creates a full bucket.
    pub fn new(limits: &Limits) -> Self {
        Self {
            millitokens: millitokens(limits.retry_burst),
            ratio: millitokens(limits.retry_ratio),
            burst: millitokens(limits.retry_burst),
        }
    }

    /// Adds the token fraction of a first attempt.
    pub fn deposit(&mut self) {
        self.millitokens = (self.millitokens + self.ratio).min(self.burst);
    }

    /// Takes a token for a retry; returns false if there is none.
    pub fn withdraw(&mut self) -> bool {
        let left = self.millitokens.checked_sub(millitokens(1.0));
        self.millitokens = left.unwrap_or(self.millitokens);
        left.is_some()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "limits are small and non-negative, and the cast saturates"
)]
fn millitokens(tokens: f64) -> u64 {
    (tokens * MILLITOKENS_PER_TOKEN).round() as u64
}

/// Whether a retry is safe after `outcome`: never if a non-idempotent request may have been executed.
pub fn is_safe(outcome: AttemptOutcome, idempotent: bool) -> bool {
    match outcome {
        AttemptOutcome::NotSent => true,
        AttemptOutcome::ConnectionLost => idempotent,
        AttemptOutcome::Responded { .. } | AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
            false
        }
    }
}

/// Backoff with full jitter before the attempt that follows attempt number `attempt`.
pub fn backoff(limits: &Limits, attempt: u32, rng: &mut impl RngExt) -> Duration {
    let doublings = attempt.saturating_sub(1).min(16);
    let upper_bound = limits.base_backoff.saturating_mul(1 << doublings);
    upper_bound
        .min(limits.max_backoff)
        .mul_f64(rng.random::<f64>())
}
