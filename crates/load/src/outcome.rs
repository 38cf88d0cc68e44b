//! Results of a run.

use hdrhistogram::Histogram;
use primroseroute_domain::{id, outcome::Verdict};
use std::{collections::BTreeMap, time::Duration};

/// Upper bound of the latency histogram: the maximum length of a run.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Significant digits of the latency histogram: a relative error of 0.1%.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts and latencies of one account, or the sum of several.
///
/// Covers the requests whose scheduled send time is in the measurement period; only `finished`
/// counts by when they ended.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests scheduled in the measurement period.
    pub offered: u64,
    /// Complete responses.
    pub completed: u64,
    /// Requests that were proven not to have run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Complete responses that ended within the measurement period, whenever they were scheduled.
    pub finished: u64,
    /// Rejections and failures by numbered code; 0 without a code.
    pub codes: BTreeMap<u16, u64>,
    latency: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("the bounds are valid for this precision");
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
    /// Counts a request scheduled in the measurement period; `latency` is since its scheduled time.
    pub(crate) fn count(&mut self, verdict: Verdict, code: Option<u16>, latency: Duration) {
        self.offered += 1;
        match verdict {
            Verdict::Completed => self.completed += 1,
            Verdict::NotRun => self.not_run += 1,
            Verdict::Unknown => self.unknown += 1,
        }
        if verdict == Verdict::Completed {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
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

    /// The latency of complete responses at `quantile`.
    pub fn latency(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(quantile))
    }
}

/// Results of a run, by account.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Length of the measurement period.
    pub measured: Duration,
    /// Results by account.
    pub accounts: BTreeMap<id::Account, Tally>,
}

impl Outcome {
    /// The sum over all accounts.
    pub fn total(&self) -> Tally {
        let mut total = Tally::default();
        for tally in self.accounts.values() {
            total.add(tally);
        }
        total
    }

    /// Complete responses per second, by when they ended.
    pub fn goodput(&self) -> f64 {
        self.per_second(self.total().finished)
    }

    /// `count` per second of the measurement period.
    pub fn per_second(&self, count: u64) -> f64 {
        count as f64 / self.measured.as_secs_f64()
    }
}
