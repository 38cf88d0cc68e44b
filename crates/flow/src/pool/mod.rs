//! State machine of one pool at one entry.
//!
//! A request is *waiting* in the fair queue, *sent* to a worker, or *backing off* before a retry.
//! Every call first runs the timers that are due, then sends as many requests as free slots allow,
//! and returns the actions in the order of the decisions. A request that cannot be completed is
//! refused immediately and removed.

mod admit;
mod dispatch;
mod finish;
mod share;
mod sync;

pub use share::KEEP_ALIVE_INTERVAL;

use crate::{
    demand,
    estimate::ServiceTimes,
    fair,
    health::PoolStats,
    limits::Limits,
    quota::{allocation::Weights, loans::LoanTable},
    request::Action,
    retry,
    view::View,
    worker,
};
use primroseroute_domain::{
    account::Class,
    id,
    instance::{CONNECTIONS, SLOTS},
    outcome::{Code, Verdict},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// An admitted request.
#[derive(Clone, Debug)]
struct Request {
    account: id::Account,
    service: id::Service,
    class: Class,
    deadline: Duration,
    idempotent: bool,
    attempt: u32,
    /// Whether the connection of an attempt broke after the first byte was sent.
    may_have_run: bool,
    tried: Vec<worker::Index>,
    phase: Phase,
}

impl Request {
    /// The code of the final refusal if the last attempt failed with `code`.
    ///
    /// If the first response to an idempotent request was lost, its retry may fail for lack of a
    /// connection, time or a worker. Those codes say "not run", which is no longer certain.
    fn final_code(&self, code: Code) -> Code {
        if self.may_have_run && code.verdict() == Verdict::NotRun {
            return Code::AnswerLost;
        }
        code
    }
}

/// Stage of a request.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// In the fair queue, until it can no longer meet its deadline.
    Waiting { until: Duration },
    /// Sent to a worker.
    Sent { worker: worker::Index, at: Duration },
    /// Waiting before a retry.
    BackingOff { until: Duration },
}

/// Number of queued requests of one account for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueDepth {
    /// Calling account.
    pub account: id::Account,
    /// Requested service.
    pub service: id::Service,
    /// Number of queued requests.
    pub waiting: u64,
}

/// Admission, scheduling and load balancing of one pool at one entry.
#[derive(Clone, Debug)]
pub struct Pool {
    entry: id::Entry,
    limits: Limits,
    rng: ChaCha8Rng,
    view: View,
    requests: BTreeMap<u64, Request>,
    queue: fair::Queue,
    workers: worker::Set,
    service_times: ServiceTimes,
    budget: retry::Budget,
    baseline: PoolStats,
    /// When queued requests expire and backoffs end, by time and request.
    request_timers: BTreeSet<(Duration, u64)>,
    /// When the slots of requests that ended without a response are released.
    held_slots: BTreeSet<(Duration, worker::Index, u64)>,
    /// When ejected workers receive a probe.
    probe_timers: BTreeSet<(Duration, worker::Index)>,
    loans: LoanTable,
    shares: Weights,
    /// The fraction of this entry's slots that serves each account while it has requests queued.
    rates: BTreeMap<id::Account, f64>,
    meter: demand::Meter,
    last_report: share::LastReport,
    actions: Vec<Action>,
}

impl Pool {
    /// Creates a pool without workers; `incarnation` increases with each start of the entry.
    pub fn new(entry: id::Entry, incarnation: u64, limits: Limits, seed: u64) -> Self {
        let loans = LoanTable::new(entry.clone(), incarnation);
        Self {
            entry,
            budget: retry::Budget::new(&limits),
            limits,
            rng: ChaCha8Rng::seed_from_u64(seed),
            view: View::default(),
            requests: BTreeMap::new(),
            queue: fair::Queue::default(),
            workers: worker::Set::default(),
            service_times: ServiceTimes::default(),
            baseline: PoolStats::default(),
            request_timers: BTreeSet::new(),
            held_slots: BTreeSet::new(),
            probe_timers: BTreeSet::new(),
            loans,
            shares: Weights::new(),
            rates: BTreeMap::new(),
            meter: demand::Meter::default(),
            last_report: share::LastReport::default(),
            actions: Vec::new(),
        }
    }

    /// Requests that this entry has in flight at an instance; zero means that it is drained.
    ///
    /// A request that ended without a response counts until the worker has probably completed it.
    pub fn in_flight(&self, instance: &id::Instance) -> u32 {
        let worker = self
            .workers
            .find(instance)
            .and_then(|index| self.workers.get(index));
        worker.map_or(0, |worker| worker.in_flight)
    }

    /// Maximum idle connections from this entry to one instance.
    ///
    /// Requests in flight use at most as many connections as there are slots, so the connections of
    /// all entries together stay within the limit of a worker.
    pub fn idle_connections(&self) -> u32 {
        let entries = u32::try_from(self.loans.entries().len()).unwrap_or(u32::MAX);
        (CONNECTIONS - SLOTS) / entries.max(1)
    }

    /// Requests in flight by instance, omitting instances without any.
    pub fn loads(&self) -> impl Iterator<Item = (&id::Instance, u32)> {
        let busy = self.workers.iter().filter(|worker| worker.in_flight > 0);
        busy.map(|worker| (&worker.id, worker.in_flight))
    }

    /// Number of serving instances, of this entry's slots there, and of ejected instances.
    pub fn totals(&self) -> worker::Totals {
        self.workers.totals()
    }

    /// The serving instances that are ejected or being probed, sorted by name.
    pub fn ejected(&self) -> Vec<id::Instance> {
        let workers = self.workers.iter();
        let ejected = workers.filter(|worker| worker.is_serving() && worker.is_ejected());
        ejected.map(|worker| worker.id.clone()).collect()
    }

    /// Requests that wait for a slot, by account and service, omitting empty queues.
    pub fn queue_depths(&self) -> Vec<QueueDepth> {
        let mut queue_depths = BTreeMap::new();
        let is_waiting = |request: &&Request| matches!(request.phase, Phase::Waiting { .. });
        for request in self.requests.values().filter(is_waiting) {
            let key = (request.account.clone(), request.service.clone());
            *queue_depths.entry(key).or_insert(0) += 1;
        }
        let depth = |((account, service), waiting)| QueueDepth {
            account,
            service,
            waiting,
        };
        queue_depths.into_iter().map(depth).collect()
    }

    /// Number of requests that wait for a slot at this entry.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// When [`Pool::tick`] is next due, as time since the start, or `None` if no timer is set.
    pub fn next_tick(&self) -> Option<Duration> {
        let request = self.request_timers.first().map(|&(at, _)| at);
        let slot = self.held_slots.first().map(|&(at, ..)| at);
        let worker = self.probe_timers.first().map(|&(at, _)| at);
        request.into_iter().chain(slot).chain(worker).min()
    }

    /// Runs due timers: refuses requests that would be late, retries, and allows probes.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.advance(now)
    }
}
