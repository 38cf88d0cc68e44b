//! Faults that are set while the platform runs.

use super::{Options, tally::Kind};
use parking_lot::Mutex;
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// How an outage looks to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Every call is refused at once as unavailable.
    Refuse,
    /// Every call hangs for this long and then fails without effect: a read as unavailable, a
    /// mutating call as unknown, since its caller cannot tell.
    Hang(Duration),
}

/// What the table and the object store take together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rates {
    /// Rows written a second; a transaction costs one for each row, at least one.
    pub writes: u32,
    /// Rows read a second; a scan costs one for each row, at least one.
    pub reads: u32,
}

impl Default for Rates {
    /// The brief's "several hundred writes and about two thousand reads a second".
    fn default() -> Self {
        Self {
            writes: 600,
            reads: 2000,
        }
    }
}

/// What happens to one mutating call whose answer its caller never gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// It takes effect; the answer is lost.
    AnswerLost,
    /// It never takes effect.
    RequestLost,
    /// It takes effect this much later, under the conditions that hold then.
    Late(Duration),
}

/// A token bucket that holds at most one second's worth.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn full(rate: u32, at: Instant) -> Self {
        Self {
            tokens: f64::from(rate),
            at,
        }
    }

    /// Takes `cost`; a cost above the whole bucket passes when the bucket is full, and leaves debt.
    fn take(&mut self, rate: u32, cost: u64, now: Instant) -> bool {
        let rate = f64::from(rate);
        let gained = now.saturating_duration_since(self.at).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(rate);
        self.at = now;
        let cost = cost as f64;
        let passes = rate > 0.0 && self.tokens >= cost.min(rate);
        if passes {
            self.tokens -= cost;
        }
        passes
    }
}

#[derive(Debug)]
struct Limit {
    rates: Rates,
    writes: Bucket,
    reads: Bucket,
}

impl Limit {
    fn new(rates: Rates) -> Self {
        let now = Instant::now();
        Self {
            rates,
            writes: Bucket::full(rates.writes, now),
            reads: Bucket::full(rates.reads, now),
        }
    }
}

#[derive(Debug, Default)]
struct State {
    latency: Duration,
    jitter: Duration,
    outage: Option<Outage>,
    limit: Option<Limit>,
    fates: BTreeMap<Kind, VecDeque<Fate>>,
}

/// The faults of the whole platform or of one caller; clones share them.
#[derive(Clone, Debug)]
pub struct Faults {
    state: Arc<Mutex<State>>,
}

impl Faults {
    pub(super) fn none() -> Self {
        Self {
            state: Arc::default(),
        }
    }

    pub(super) fn of(options: Options) -> Self {
        let faults = Self::none();
        faults.set_latency(options.latency, options.jitter);
        faults.set_rates(options.rates);
        faults
    }

    /// Sets the latency of each call: `fixed`, and uniform `jitter` on top.
    pub fn set_latency(&self, fixed: Duration, jitter: Duration) {
        let mut state = self.state.lock();
        state.latency = fixed;
        state.jitter = jitter;
    }

    /// Begins an outage, or ends it with none. Calls under way when it begins lose their answers.
    pub fn set_outage(&self, outage: Option<Outage>) {
        self.state.lock().outage = outage;
    }

    /// Limits the rates, from full buckets of one second's worth; none for no limit, 0 for no call.
    pub fn set_rates(&self, rates: Option<Rates>) {
        self.state.lock().limit = rates.map(Limit::new);
    }

    /// Loses the answers of the next `count` calls of `kind` after they took effect.
    pub fn lose_answers(&self, kind: Kind, count: usize) {
        self.push(kind, Fate::AnswerLost, count);
    }

    /// Loses the next `count` calls of `kind` before they take effect; the callers cannot tell.
    pub fn lose_requests(&self, kind: Kind, count: usize) {
        self.push(kind, Fate::RequestLost, count);
    }

    /// Loses the answers of the next `count` calls of `kind`, which take effect `later`.
    ///
    /// Their conditions are evaluated then.
    pub fn delay_effects(&self, kind: Kind, count: usize, later: Duration) {
        self.push(kind, Fate::Late(later), count);
    }

    /// Ends every fault but the latency and the rates.
    pub fn clear(&self) {
        let mut state = self.state.lock();
        state.outage = None;
        state.fates.clear();
    }

    fn push(&self, kind: Kind, fate: Fate, count: usize) {
        let mut state = self.state.lock();
        let fates = state.fates.entry(kind).or_default();
        fates.extend(std::iter::repeat_n(fate, count));
    }

    pub(super) fn latency(&self) -> (Duration, Duration) {
        let state = self.state.lock();
        (state.latency, state.jitter)
    }

    pub(super) fn outage(&self) -> Option<Outage> {
        self.state.lock().outage
    }

    pub(super) fn fate(&self, kind: Kind) -> Option<Fate> {
        self.state.lock().fates.get_mut(&kind)?.pop_front()
    }

    pub(super) fn admits_writes(&self, rows: u64, now: Instant) -> bool {
        let mut state = self.state.lock();
        state
            .limit
            .as_mut()
            .is_none_or(|limit| limit.writes.take(limit.rates.writes, rows, now))
    }

    pub(super) fn admits_reads(&self, rows: u64, now: Instant) -> bool {
        let mut state = self.state.lock();
        state
            .limit
            .as_mut()
            .is_none_or(|limit| limit.reads.take(limit.rates.reads, rows, now))
    }
}
