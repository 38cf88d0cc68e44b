//! Exponential backoff for the attempts of one caller.

use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};
use tokio::time::sleep;

/// Number of doublings after which the delay no longer grows.
const MAX_DOUBLINGS: u32 = 6;

/// Returns the delay after `failures` consecutive failures: doubled from `initial`, capped at `max`, with equal jitter.
///
/// `unit` is a random number that is uniform over 0 to 1.
pub fn backoff_delay(initial: Duration, max: Duration, failures: u32, unit: f64) -> Duration {
    let doubled = initial.saturating_mul(1 << failures.min(MAX_DOUBLINGS));
    doubled.min(max).mul_f64(0.5 + unit.clamp(0.0, 1.0) / 2.0)
}

/// Exponential backoff state of one caller.
#[derive(Clone, Debug)]
pub struct Retry {
    initial: Duration,
    max: Duration,
    failures: u32,
    rng: ChaCha8Rng,
}

impl Retry {
    /// Creates a backoff with delays from `initial` to `max` and no failures so far. `seed` seeds the jitter and must differ between
    /// callers.
    pub fn new(initial: Duration, max: Duration, seed: impl Hash) -> Self {
        let mut hasher = DefaultHasher::new();
        seed.hash(&mut hasher);
        Self {
            initial,
            max,
            failures: 0,
            rng: ChaCha8Rng::seed_from_u64(hasher.finish()),
        }
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let delay = backoff_delay(self.initial, self.max, self.failures, self.rng.random());
        self.failures = self.failures.saturating_add(1);
        delay
    }

    /// Records a failure and sleeps until the next attempt is due.
    pub async fn sleep(&mut self) {
        let delay = self.next_delay();
        sleep(delay).await;
    }

    /// Resets the backoff after a successful attempt.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
