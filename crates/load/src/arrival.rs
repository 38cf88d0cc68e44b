//! When requests of an open loop are due.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Times of arrival as time since the start, without end: a Poisson process.
///
/// Many callers who know nothing of each other make such a process, bursts included.
#[derive(Clone, Debug)]
pub struct Arrivals {
    rate: f64,
    random: ChaCha8Rng,
    next: f64,
}

impl Arrivals {
    /// Arrivals at `rate` a second on average, drawn from `random`.
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
