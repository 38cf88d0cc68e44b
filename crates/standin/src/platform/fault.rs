//! Faults that are injected while the platform runs.

use super::{Options, tally::Kind};
use parking_lot::Mutex;
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// What callers observe during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Every call fails at once as unavailable.
    Refuse,
    /// Every call hangs for this long and then fails without effect: a read as unavailable, a
    /// mutating call as unknown, since its caller cannot know whether it took effect.
    Hang(Duration),
}

/// Rate limits shared by the table and the object store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rates {
    /// Rows written per second; a transaction costs one per row, at least one.
    pub writes: u32,
    /// Rows read per second; a scan costs one per row, at least one.
    pub reads: u32,
}

impl Default for Rates {
    /// The specified capacity: several hundred writes and about two thousand reads per second.
    fn default() -> Self {
        Self {
            writes: 600,
            reads: 2000,
        }
    }
}

/// Fault of one mutating call whose response never reaches its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallFault {
    /// The call takes effect; the response is lost.
    ResponseLost,
    /// The call never takes effect.
    RequestLost,
    /// The call takes effect this much later; its conditions are evaluated then.
    Late(Duration),
}

/// A token bucket that holds at most the tokens of one second.
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

    /// Takes `cost` tokens if there are enough. A cost above the bucket's size is admitted when the
    /// bucket is full, and leaves the balance negative.
    fn take(&mut self, rate: u32, cost: u64, now: Instant) -> bool {
        let rate = f64::from(rate);
        let gained = now.saturating_duration_since(self.at).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(rate);
        self.at = now;
        let cost = cost as f64;
        let admitted = rate > 0.0 && self.tokens >= cost.min(rate);
        if admitted {
            self.tokens -= cost;
        }
        admitted
    }
}

#[derive(Debug)]
struct RateLimits {
    rates: Rates,
    writes: Bucket,
    reads: Bucket,
}

impl RateLimits {
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
    limit: Option<RateLimits>,
    call_faults: BTreeMap<Kind, VecDeque<CallFault>>,
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

    /// Sets the latency of each call: `fixed` plus a uniform share of `jitter`.
    pub fn set_latency(&self, fixed: Duration, jitter: Duration) {
        let mut state = self.state.lock();
        state.latency = fixed;
        state.jitter = jitter;
    }

    /// Starts an outage; `None` ends it. Calls in flight when it starts lose their responses.
    pub fn set_outage(&self, outage: Option<Outage>) {
        self.state.lock().outage = outage;
    }

    /// Sets the rate limits, starting with full buckets. `None` removes the limits; a rate of 0
    /// rejects every call.
    pub fn set_rates(&self, rates: Option<Rates>) {
        self.state.lock().limit = rates.map(RateLimits::new);
    }

    /// Drops the responses of the next `count` calls of `kind` after they took effect.
    pub fn lose_answers(&self, kind: Kind, count: usize) {
        self.push(kind, CallFault::ResponseLost, count);
    }

    /// Drops the next `count` calls of `kind` before they take effect; to their callers this looks
    /// like a lost response.
    pub fn lose_requests(&self, kind: Kind, count: usize) {
        self.push(kind, CallFault::RequestLost, count);
    }

    /// Drops the responses of the next `count` calls of `kind`, which take effect after `later`.
    ///
    /// Their conditions are evaluated at that time.
    pub fn delay_effects(&self, kind: Kind, count: usize, later: Duration) {
        self.push(kind, CallFault::Late(later), count);
    }

    /// Clears every fault except the latency and the rate limits.
    pub fn clear(&self) {
        let mut state = self.state.lock();
        state.outage = None;
        state.call_faults.clear();
    }

    fn push(&self, kind: Kind, fault: CallFault, count: usize) {
        let mut state = self.state.lock();
        let call_faults = state.call_faults.entry(kind).or_default();
        call_faults.extend(std::iter::repeat_n(fault, count));
    }

    pub(super) fn latency(&self) -> (Duration, Duration) {
        let state = self.state.lock();
        (state.latency, state.jitter)
    }

    pub(super) fn outage(&self) -> Option<Outage> {
        self.state.lock().outage
    }

    pub(super) fn next_call_fault(&self, kind: Kind) -> Option<CallFault> {
        self.state.lock().call_faults.get_mut(&kind)?.pop_front()
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
