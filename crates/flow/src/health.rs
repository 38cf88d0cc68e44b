//! Outlier detection: ejects failing or slow workers and readmits them after a probe.
//!
//! As in Envoy's outlier detection, a worker fails by consecutive failures, by a failure ratio above
//! the pool's, or by a mean latency several times the pool's. An ejected worker receives no requests
//! for a time that doubles with each ejection; then one probe request decides. The pool limits how
//! many workers are ejected at once: when much of a pool fails together, the cause is likely
//! elsewhere, and further ejections would overload the remaining workers.

use crate::{estimate::Mean, limits::Limits};
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
pub enum Gate {
    /// Any number of requests.
    #[default]
    Open,
    /// A single request, to test whether the worker has recovered.
    Probe,
    /// None until this time.
    Shut(Duration),
}

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// A successful response with this latency.
    Good(Duration),
    /// A failure of the worker.
    Bad,
}

/// Exponentially decayed failure ratio.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ratio {
    failures: f64,
    total: f64,
}

impl Ratio {
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
pub struct Norm {
    /// Failure ratio over all workers.
    pub ratio: Ratio,
    /// Average latency of successful responses.
    pub latency: Mean,
}

/// Health record of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    gate: Gate,
    consecutive: u32,
    ratio: Ratio,
    latency: Mean,
    successes: u32,
    /// Ejections not yet offset by successes.
    ejections: u32,
}

impl Health {
    /// Whether the worker may receive requests.
    pub fn gate(&self) -> Gate {
        self.gate
    }

    /// Records an attempt; returns whether the worker should be ejected.
    pub fn add(&mut self, sample: Sample, norm: &Norm, limits: &Limits) -> bool {
        match sample {
            Sample::Good(latency) => self.record_success(latency),
            Sample::Bad => self.consecutive += 1,
        }
        self.ratio.add(sample == Sample::Bad);
        match self.gate {
            Gate::Shut(_) => false,
            Gate::Probe => !self.probe_succeeded(sample, norm, limits),
            Gate::Open => self.is_failing(norm, limits),
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

    fn is_failing(&self, norm: &Norm, limits: &Limits) -> bool {
        let pool = norm.ratio.value().unwrap_or(0.0);
        let exceeds = |own: f64| own > pool + limits.excess;
        self.consecutive >= limits.consecutive
            || self.ratio.value().is_some_and(exceeds)
            || (f64::from(self.successes) >= MIN_SAMPLES
                && is_slow(self.latency.seconds(), norm, limits))
    }

    /// Evaluates a probe and returns the worker to service if it succeeded.
    fn probe_succeeded(&mut self, sample: Sample, norm: &Norm, limits: &Limits) -> bool {
        let Sample::Good(latency) = sample else {
            return false;
        };
        if is_slow(latency.as_secs_f64(), norm, limits) {
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
        let duration = limits.ejection.saturating_mul(1 << doublings);
        let until = now + duration.min(limits.ejection_cap);
        self.ejections += 1;
        self.gate = Gate::Shut(until);
        until
    }

    /// Allows one probe if the ejection ends at `at`; ignores a timer set for an earlier worker.
    pub fn half_open(&mut self, at: Duration) {
        if self.gate == Gate::Shut(at) {
            self.gate = Gate::Probe;
        }
    }
}

fn is_slow(seconds: f64, norm: &Norm, limits: &Limits) -> bool {
    norm.latency.is_known() && seconds > limits.slow * norm.latency.seconds()
}
