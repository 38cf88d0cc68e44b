//! What a run measured.

use hdrhistogram::Histogram;
use primroseroute_domain::{id, outcome::Verdict};
use std::{collections::BTreeMap, time::Duration};

/// Longest latency that is told apart, in microseconds: the longest run.
const MAX_MICROS: u64 = 120_000_000;

/// Significant digits of a latency: an error of one in a thousand.
const DIGITS: u8 = 3;

/// Counts and latencies of one account, or of several together.
///
/// Requests that were due in the measured part count; `finished` alone counts by when they ended.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests that were due.
    pub offered: u64,
    /// Whole answers.
    pub completed: u64,
    /// Requests that were proven not to have run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Whole answers that ended within the measured part, whenever they were due.
    pub finished: u64,
    /// Refusals and failures by numbered code; 0 where none was given.
    pub codes: BTreeMap<u16, u64>,
    latency: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_MICROS, DIGITS)
            .expect("the bounds suit three digits");
        Self {
            offered: 0,
            completed: 0,
            not_run: 0,
            unknown: 0,
            finished: 0,
            codes: BTreeMap::new(),
            latency,
        }
    }
}

impl Tally {
    /// Counts a request that was due in the measured part; `latency` from when it was due.
    pub(crate) fn count(&mut self, verdict: Verdict, code: Option<u16>, latency: Duration) {
        self.offered += 1;
        match verdict {
            Verdict::Completed => self.completed += 1,
            Verdict::NotRun => self.not_run += 1,
            Verdict::Unknown => self.unknown += 1,
        }
        if verdict == Verdict::Completed {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_MICROS);
            self.latency.saturating_record(micros);
        } else {
            *self.codes.entry(code.unwrap_or(0)).or_default() += 1;
        }
    }

    /// Adds the counts of `other`.
    ///
    /// # Panics
    /// Never: all histograms have the same bounds.
    pub fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.completed += other.completed;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.finished += other.finished;
        for (code, count) in &other.codes {
            *self.codes.entry(*code).or_default() += count;
        }
        self.latency
            .add(&other.latency)
            .expect("the bounds are the same");
    }

    /// The latency of whole answers that a part `quantile` of them does not exceed.
    pub fn latency(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(quantile))
    }
}

/// What a run measured, by account.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The measured part's length.
    pub measured: Duration,
    /// By account.
    pub accounts: BTreeMap<id::Account, Tally>,
}

impl Outcome {
    /// All accounts together.
    pub fn total(&self) -> Tally {
        let mut total = Tally::default();
        for tally in self.accounts.values() {
            total.add(tally);
        }
        total
    }

    /// Whole answers a second, by when they ended.
    pub fn goodput(&self) -> f64 {
        self.per_second(self.total().finished)
    }

    /// `count` over the measured part.
    pub fn per_second(&self, count: u64) -> f64 {
        count as f64 / self.measured.as_secs_f64()
    }
}
