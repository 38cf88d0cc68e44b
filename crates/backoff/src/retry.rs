//! Pauses between tries of one caller.

use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};
use tokio::time::sleep;

/// Doublings after which the longest pause always decides.
const MAX_DOUBLINGS: u32 = 6;

/// The pause after `failures` failed tries in a row: doubling from `first`, at most `longest`, with half jitter.
///
/// `unit` is uniform over 0 to 1.
pub fn pause(first: Duration, longest: Duration, failures: u32, unit: f64) -> Duration {
    let doubled = first.saturating_mul(1 << failures.min(MAX_DOUBLINGS));
    doubled
        .min(longest)
        .mul_f64(0.5 + unit.clamp(0.0, 1.0) / 2.0)
}

/// The failed tries in a row of one caller.
#[derive(Clone, Debug)]
pub struct Retry {
    first: Duration,
    longest: Duration,
    failures: u32,
    rng: ChaCha8Rng,
}

impl Retry {
    /// A caller that hasn't failed yet, with pauses from `first` to `longest`. `seed` is the source of the jitter, and differs from one
    /// caller to the next.
    pub fn new(first: Duration, longest: Duration, seed: impl Hash) -> Self {
        let mut hasher = DefaultHasher::new();
        seed.hash(&mut hasher);
        Self {
            first,
            longest,
            failures: 0,
            rng: ChaCha8Rng::seed_from_u64(hasher.finish()),
        }
    }

    /// The pause after one more failure.
    pub fn failed(&mut self) -> Duration {
        let pause = pause(self.first, self.longest, self.failures, self.rng.random());
        self.failures = self.failures.saturating_add(1);
        pause
    }

    /// Waits after one more failure.
    pub async fn wait(&mut self) {
        let pause = self.failed();
        sleep(pause).await;
    }

    /// Takes in that a try has succeeded.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
