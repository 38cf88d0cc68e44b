//! Outlier detection: ejects failing or slow workers and readmits them after a probe.
//!
//! As in Envoy's outlier detection, a worker fails by consecutive failures, by a failure ratio above
//! the pool's, or by a mean latency several times the pool's. An ejected worker receives no requests
//! for a time that doubles with each ejection; then one probe request decides. The pool limits how
//! many workers are ejected at once: when much of a pool fails together, the cause is likely
//! elsewhere, and further ejections would overload the remaining workers.

use crate::{estimate::MovingAverage, limits::Limits};
use std::time::Duration;

/// Minimum samples before a ratio or an average is used.
const MIN_SAMPLES: f64 = 20.0;

/// Successes that offset one earlier ejection; otherwise a worker with occasional failures over
/// weeks would be ejected for the maximum time at the next small fault.
const SUCCESSES_PER_FORGIVEN_EJECTION: u32 = 100;

/// Factor by which each new sample reduces the weight of the earlier ones: half after 34 samples.
const DECAY: f64 = 0.98;

/// Whether a worker may receive requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// Any number of requests.
    #[default]
    Healthy,
    /// A single request, to test whether the worker has recovered.
    Probing,
    /// None until this time.
    Ejected(Duration),
}

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// A successful response with this latency.
    Success(Duration),
    /// A failure of the worker.
    Failure,
}

/// Exponentially decayed failure ratio.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRatio {
    failures: f64,
    total: f64,
}

impl FailureRatio {
    /// Records an attempt.
    pub fn add(&mut self, is_failure: bool) {
        self.failures = self.failures * DECAY + f64::from(u8::from(is_failure));
        self.total = self.total * DECAY + 1.0;
    }

    /// The failure ratio, if there are enough samples.
    pub fn value(&self) -> Option<f64> {
        (self.total >= MIN_SAMPLES).then(|| self.failures / self.total)
    }
}

/// Statistics over all workers of the pool, as the baseline for each worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolStats {
    /// Failure ratio over all workers.
    pub failure_ratio: FailureRatio,
    /// Average latency of successful responses.
    pub latency: MovingAverage,
}

/// Health record of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    status: Status,
    consecutive: u32,
    failure_ratio: FailureRatio,
    latency: MovingAverage,
    successes: u32,
    /// Ejections not yet offset by successes.
    ejections: u32,
}

impl Health {
    /// Whether the worker may receive requests.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Records an attempt; returns whether the worker should be ejected.
    pub fn record(&mut self, sample: Sample, pool_stats: &PoolStats, limits: &Limits) -> bool {
        match sample {
            Sample::Success(latency) => self.record_success(latency),
            Sample::Failure => self.consecutive += 1,
        }
        self.failure_ratio.add(sample == Sample::Failure);
        match self.status {
            Status::Ejected(_) => false,
            Status::Probing => !self.probe_succeeded(sample, pool_stats, limits),
            Status::Healthy => self.is_failing(pool_stats, limits),
        }
    }

    fn record_success(&mut self, latency: Duration) {
        self.consecutive = 0;
        self.latency.add(latency);
        self.successes = self.successes.saturating_add(1);
        if self
            .successes
            .is_multiple_of(SUCCESSES_PER_FORGIVEN_EJECTION)
        {
            self.ejections = self.ejections.saturating_sub(1);
        }
    }

    fn is_failing(&self, pool_stats: &PoolStats, limits: &Limits) -> bool {
        let pool = pool_stats.failure_ratio.value().unwrap_or(0.0);
        let exceeds = |own: f64| own > pool + limits.failure_ratio_excess;
        self.consecutive >= limits.consecutive_failures
            || self.failure_ratio.value().is_some_and(exceeds)
            || (f64::from(self.successes) >= MIN_SAMPLES
                && is_slow(self.latency.seconds(), pool_stats, limits))
    }

    /// Evaluates a probe and returns the worker to service if it succeeded.
    fn probe_succeeded(&mut self, sample: Sample, pool_stats: &PoolStats, limits: &Limits) -> bool {
        let Sample::Success(latency) = sample else {
            return false;
        };
        if is_slow(latency.as_secs_f64(), pool_stats, limits) {
            return false;
        }
        *self = Self {
            ejections: self.ejections,
            ..Self::default()
        };
        true
    }

    /// Ejects the worker for longer each time; returns the end of the ejection.
    pub fn eject(&mut self, now: Duration, limits: &Limits) -> Duration {
        let doublings = self.ejections.min(16);
        let duration = limits.base_ejection.saturating_mul(1 << doublings);
        let until = now + duration.min(limits.max_ejection);
        self.ejections += 1;
        self.status = Status::Ejected(until);
        until
    }

    /// Allows one probe if the ejection ends at `at`; ignores a timer set for an earlier worker.
    pub fn allow_probe(&mut self, at: Duration) {
        if self.status == Status::Ejected(at) {
            self.status = Status::Probing;
        }
    }
}

fn is_slow(seconds: f64, pool_stats: &PoolStats, limits: &Limits) -> bool {
    pool_stats.latency.is_known() && seconds > limits.slow_factor * pool_stats.latency.seconds()
}
