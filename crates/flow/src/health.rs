//! Whether a worker is fit to get requests.
//!
//! Three signs of a failing worker, as in Envoy's outlier detection: failures in a row, a failure
//! ratio above the pool's, and a mean latency of several times the pool's. An ejected worker gets
//! nothing for a while, which doubles each time; then one probe request decides. The caller caps
//! how many may be out at once: when much of a pool fails together, the fault is likely elsewhere,
//! and ejecting more would press the load onto the few that are left.

use crate::{estimate::Mean, limits::Limits};
use std::time::Duration;

/// Samples before a ratio or a mean says anything.
const MIN_SAMPLES: f64 = 20.0;

/// Good answers that make up for one ejection; without it a worker that failed now and then over
/// weeks would be out for the longest time at the next small fault.
const FORGIVENESS: u32 = 100;

/// What each new sample leaves of the weight of the old ones: half is left after 34.
const DECAY: f64 = 0.98;

/// Whether requests may go to a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Gate {
    /// They may.
    #[default]
    Open,
    /// One may, to see whether the worker has recovered.
    Probe,
    /// None may until then.
    Shut(Duration),
}

/// How one attempt went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// A good answer after this time.
    Good(Duration),
    /// The worker's failure.
    Bad,
}

/// Failures and attempts, older ones counting less.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ratio {
    bad: f64,
    all: f64,
}

impl Ratio {
    /// Takes an attempt in.
    pub fn add(&mut self, is_bad: bool) {
        self.bad = self.bad * DECAY + f64::from(u8::from(is_bad));
        self.all = self.all * DECAY + 1.0;
    }

    /// The failure ratio, where there are enough attempts.
    pub fn value(&self) -> Option<f64> {
        (self.all >= MIN_SAMPLES).then(|| self.bad / self.all)
    }
}

/// What all workers of the pool do, to compare one with.
#[derive(Clone, Copy, Debug, Default)]
pub struct Norm {
    /// Failure ratio of the pool.
    pub ratio: Ratio,
    /// Mean latency of the pool's good answers.
    pub latency: Mean,
}

/// The record of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    gate: Gate,
    consecutive: u32,
    ratio: Ratio,
    latency: Mean,
    answers: u32,
    /// Ejections that good service has not made up for yet.
    ejections: u32,
}

impl Health {
    /// Whether requests may go to the worker.
    pub fn gate(&self) -> Gate {
        self.gate
    }

    /// Takes the end of an attempt in; true where the worker should be ejected.
    pub fn add(&mut self, sample: Sample, norm: &Norm, limits: &Limits) -> bool {
        match sample {
            Sample::Good(latency) => self.add_good(latency),
            Sample::Bad => self.consecutive += 1,
        }
        self.ratio.add(sample == Sample::Bad);
        match self.gate {
            Gate::Shut(_) => false,
            Gate::Probe => !self.passes(sample, norm, limits),
            Gate::Open => self.is_failing(norm, limits),
        }
    }

    fn add_good(&mut self, latency: Duration) {
        self.consecutive = 0;
        self.latency.add(latency);
        self.answers = self.answers.saturating_add(1);
        if self.answers.is_multiple_of(FORGIVENESS) {
            self.ejections = self.ejections.saturating_sub(1);
        }
    }

    fn is_failing(&self, norm: &Norm, limits: &Limits) -> bool {
        let pool = norm.ratio.value().unwrap_or(0.0);
        let exceeds = |own: f64| own > pool + limits.excess;
        self.consecutive >= limits.consecutive
            || self.ratio.value().is_some_and(exceeds)
            || (f64::from(self.answers) >= MIN_SAMPLES
                && is_slow(self.latency.seconds(), norm, limits))
    }

    /// Judges a probe and opens the gate where it went well.
    fn passes(&mut self, sample: Sample, norm: &Norm, limits: &Limits) -> bool {
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

    /// Shuts the gate from `now` on, for longer each time.
    pub fn eject(&mut self, now: Duration, limits: &Limits) -> Duration {
        let doublings = self.ejections.min(16);
        let time = limits.ejection.saturating_mul(1 << doublings);
        let until = now + time.min(limits.ejection_cap);
        self.ejections += 1;
        self.gate = Gate::Shut(until);
        until
    }

    /// Lets one probe in where the gate is shut until `at`; a timer of an earlier worker is not.
    pub fn half_open(&mut self, at: Duration) {
        if self.gate == Gate::Shut(at) {
            self.gate = Gate::Probe;
        }
    }
}

fn is_slow(seconds: f64, norm: &Norm, limits: &Limits) -> bool {
    norm.latency.is_known() && seconds > limits.slow * norm.latency.seconds()
}
