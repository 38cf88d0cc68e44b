//! One pool at one entry: requests in, actions out.
//!
//! A request is *waiting* in the fair queue, *sent* to a worker, or *backing off* before a retry.
//! Every call first does what is due, then sends whatever the free slots allow, and returns the
//! actions in the order in which they were decided. A request that is given up on is refused at
//! once and forgotten.

mod admit;
mod dispatch;
mod finish;
mod share;
mod sync;

pub use share::KEEP_ALIVE;

use crate::{
    demand,
    estimate::Times,
    fair,
    health::Norm,
    limits::Limits,
    request::Action,
    retry,
    rights::{division::Weights, table::Table},
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

/// A request that the pool has taken in.
#[derive(Clone, Debug)]
struct Request {
    account: id::Account,
    service: id::Service,
    class: Class,
    deadline: Duration,
    idempotent: bool,
    attempt: u32,
    /// Whether an attempt broke off after the first byte went out.
    may_have_run: bool,
    tried: Vec<worker::Index>,
    phase: Phase,
}

impl Request {
    /// The code of a final refusal for which `code` is the last reason.
    ///
    /// An idempotent request whose first answer was lost may find no connection, no time or no
    /// worker for its retry. Those codes say "not run", which nobody knows any more by then.
    fn verdict(&self, code: Code) -> Code {
        if self.may_have_run && code.verdict() == Verdict::NotRun {
            return Code::AnswerLost;
        }
        code
    }
}

/// Where a request is.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// In the fair queue, until it could no longer meet its deadline.
    Waiting { until: Duration },
    /// At a worker.
    Sent { worker: worker::Index, at: Duration },
    /// Before a retry.
    BackingOff { until: Duration },
}

/// How many requests of one account wait for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Depth {
    /// The account.
    pub account: id::Account,
    /// The service.
    pub service: id::Service,
    /// Requests that wait.
    pub waiting: u64,
}

/// The decisions for one pool at one entry.
#[derive(Clone, Debug)]
pub struct Pool {
    entry: id::Entry,
    limits: Limits,
    random: ChaCha8Rng,
    view: View,
    requests: BTreeMap<u64, Request>,
    queue: fair::Queue,
    workers: worker::Set,
    times: Times,
    budget: retry::Budget,
    norm: Norm,
    /// When waiting requests expire and backed-off ones go on, by time and request.
    timers: BTreeSet<(Duration, u64)>,
    /// When slots are free again whose requests ended without an answer.
    held: BTreeSet<(Duration, worker::Index, u64)>,
    /// When ejected workers get a probe.
    shut: BTreeSet<(Duration, worker::Index)>,
    rights: Table,
    shares: Weights,
    /// The part of this entry's slots that each account gets while it has requests waiting.
    rates: BTreeMap<id::Account, f64>,
    meter: demand::Meter,
    reported: share::Reported,
    actions: Vec<Action>,
}

impl Pool {
    /// A pool without workers, at `entry`; a later start of the entry has a larger `incarnation`.
    pub fn new(entry: id::Entry, incarnation: u64, limits: Limits, seed: u64) -> Self {
        let rights = Table::new(entry.clone(), incarnation);
        Self {
            entry,
            budget: retry::Budget::new(&limits),
            limits,
            random: ChaCha8Rng::seed_from_u64(seed),
            view: View::default(),
            requests: BTreeMap::new(),
            queue: fair::Queue::default(),
            workers: worker::Set::default(),
            times: Times::default(),
            norm: Norm::default(),
            timers: BTreeSet::new(),
            held: BTreeSet::new(),
            shut: BTreeSet::new(),
            rights,
            shares: Weights::new(),
            rates: BTreeMap::new(),
            meter: demand::Meter::default(),
            reported: share::Reported::default(),
            actions: Vec::new(),
        }
    }

    /// Requests that this entry has in flight at an instance: zero acknowledges its drain.
    ///
    /// One that ended without an answer counts until the worker is likely to be done with it.
    pub fn in_flight(&self, instance: &id::Instance) -> u32 {
        let worker = self
            .workers
            .find(instance)
            .and_then(|index| self.workers.get(index));
        worker.map_or(0, |worker| worker.in_flight)
    }

    /// Connections without a request that this entry may keep open to one instance.
    ///
    /// Requests in flight take at most the slots, so with these the connections of all entries
    /// together stay within what a worker accepts.
    pub fn idle_connections(&self) -> u32 {
        let entries = u32::try_from(self.rights.entries().len()).unwrap_or(u32::MAX);
        (CONNECTIONS - SLOTS) / entries.max(1)
    }

    /// Requests in flight by instance, without the instances that have none.
    pub fn loads(&self) -> impl Iterator<Item = (&id::Instance, u32)> {
        let busy = self.workers.iter().filter(|worker| worker.in_flight > 0);
        busy.map(|worker| (&worker.id, worker.in_flight))
    }

    /// Serving instances, this entry's slots at them, and how many of them are ejected.
    pub fn totals(&self) -> worker::Totals {
        self.workers.totals()
    }

    /// The serving instances that are ejected or probing, in the order of their names.
    pub fn ejected(&self) -> Vec<id::Instance> {
        let workers = self.workers.iter();
        let ejected = workers.filter(|worker| worker.is_serving() && worker.is_ejected());
        ejected.map(|worker| worker.id.clone()).collect()
    }

    /// Requests that wait for a slot, by account and service; those without any are left out.
    pub fn depths(&self) -> Vec<Depth> {
        let mut depths = BTreeMap::new();
        let is_waiting = |request: &&Request| matches!(request.phase, Phase::Waiting { .. });
        for request in self.requests.values().filter(is_waiting) {
            let place = (request.account.clone(), request.service.clone());
            *depths.entry(place).or_insert(0) += 1;
        }
        let depth = |((account, service), waiting)| Depth {
            account,
            service,
            waiting,
        };
        depths.into_iter().map(depth).collect()
    }

    /// Requests that wait for a slot, at this entry.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// When [`Pool::tick`] is next due, as time since the start; none while nothing is timed.
    pub fn next_tick(&self) -> Option<Duration> {
        let request = self.timers.first().map(|&(at, _)| at);
        let slot = self.held.first().map(|&(at, ..)| at);
        let worker = self.shut.first().map(|&(at, _)| at);
        request.into_iter().chain(slot).chain(worker).min()
    }

    /// Does what is due: refuses what can no longer be met, retries, lets probes in.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.settle(now)
    }
}
