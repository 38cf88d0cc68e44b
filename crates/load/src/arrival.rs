//! Scheduled send times of an open loop.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// An infinite Poisson process of arrival times, as durations since the start.
///
/// Many independent callers produce such a process, including its bursts.
#[derive(Clone, Debug)]
pub struct Arrivals {
    rate: f64,
    random: ChaCha8Rng,
    next: f64,
}

impl Arrivals {
    /// Arrivals at an average of `rate` per second, drawn from `random`.
    pub fn open(rate: f64, random: ChaCha8Rng) -> Self {
        Self {
            rate,
            random,
            next: 0.0,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        // 1 - u is in (0, 1], so the logarithm is finite.
        let gap = -(1.0 - self.random.random::<f64>()).ln() / self.rate;
        self.next += gap;
        Some(Duration::from_secs_f64(self.next))
    }
}
