//! Whether and when a failed attempt is made again.
//!
//! A retry needs three things: proof that it is safe (the attempt did not run, or the request is
//! idempotent), a token of the budget, and time before the deadline. The budget is the ratio kind
//! of Envoy (`retry_budget`) and Finagle (`RetryBudget`): each first attempt pays in a fraction of a
//! token, each retry takes a whole one, so retries never multiply the load of a failing pool.

use crate::{limits::Limits, request::Ending};
use rand::RngExt;
use std::time::Duration;

/// Parts of a token that are counted: sums of fractions drift, and a token that is due is denied.
const PARTS: f64 = 1_000.0;

/// A token bucket that first attempts fill and retries empty.
#[derive(Clone, Debug)]
pub struct Budget {
    parts: u64,
    ratio: u64,
    burst: u64,
}

impl Budget {
    /// A full bucket.
    pub fn new(limits: &Limits) -> Self {
        Self {
            parts: parts(limits.retry_burst),
            ratio: parts(limits.retry_ratio),
            burst: parts(limits.retry_burst),
        }
    }

    /// Pays for a first attempt.
    pub fn deposit(&mut self) {
        self.parts = (self.parts + self.ratio).min(self.burst);
    }

    /// Takes a token for a retry; false where there is none.
    pub fn withdraw(&mut self) -> bool {
        let left = self.parts.checked_sub(parts(1.0));
        self.parts = left.unwrap_or(self.parts);
        left.is_some()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "limits are small and not negative, and a cast saturates"
)]
fn parts(tokens: f64) -> u64 {
    (tokens * PARTS).round() as u64
}

/// Whether another attempt is safe after `ending`: never for what may have run and must not twice.
pub fn is_safe(ending: Ending, idempotent: bool) -> bool {
    match ending {
        Ending::NotSent => true,
        Ending::Lost => idempotent,
        Ending::Answered { .. } | Ending::Late | Ending::Cancelled => false,
    }
}

/// A back-off with full jitter before the attempt that follows attempt number `attempt`.
pub fn backoff(limits: &Limits, attempt: u32, random: &mut impl RngExt) -> Duration {
    let doublings = attempt.saturating_sub(1).min(16);
    let longest = limits.backoff.saturating_mul(1 << doublings);
    longest
        .min(limits.backoff_cap)
        .mul_f64(random.random::<f64>())
}
