//! The simulation's event loop.

use super::{
    Account, Outcome, Scenario, Strategy, name, score,
    strategy::{Node, PeerMessage, build_node},
    worker,
};
use primroseroute_domain::{id, instance::SLOTS};
use primroseroute_flow::request::{Action, Arrival, AttemptOutcome};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

const NETWORK_LATENCY: Duration = Duration::from_millis(1);
const REPORT_DELAY: Duration = Duration::from_millis(5);
const FAST_FAILURE: Duration = Duration::from_micros(100);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Reach(u64),
    Done(usize, u64),
    Answer(u64, bool),
    Deadline(u64),
    Tick(usize),
    Report(usize),
    Deliver(usize),
}

struct Request {
    account: usize,
    entry: usize,
    worker: usize,
    arrived: Duration,
    sent: Duration,
    at_entry: bool,
}

#[derive(Default)]
struct Worker {
    running: u32,
    queue: VecDeque<u64>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    now: Duration,
    next_seq: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    random: ChaCha8Rng,
    nodes: Vec<Box<dyn Node>>,
    ticks: Vec<Option<Duration>>,
    messages: BTreeMap<usize, VecDeque<PeerMessage>>,
    names: BTreeMap<id::Instance, usize>,
    workers: Vec<Worker>,
    requests: BTreeMap<u64, Request>,
    next_request: u64,
    waits: Vec<Duration>,
    started: u64,
    overruns: u64,
    reports: u64,
    failing_worker_requests: (u64, u64),
    offered: BTreeMap<&'static str, u64>,
    outcome: Outcome,
}

/// Simulates a scenario until the last measured request has ended.
pub fn run(scenario: &Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    let end = scenario.warm_up + scenario.measured + scenario.request_timeout;
    while let Some(Reverse((at, _, event))) = simulation.events.pop().filter(|next| next.0.0 <= end)
    {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.into_outcome()
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let mut simulation = Self {
            scenario,
            now: Duration::ZERO,
            next_seq: 0,
            events: BinaryHeap::new(),
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            nodes: (0..scenario.entries)
                .map(|at| build_node(scenario, at))
                .collect(),
            ticks: vec![None; scenario.entries],
            messages: BTreeMap::new(),
            names: (0..scenario.workers).map(|at| (worker(at), at)).collect(),
            workers: (0..scenario.workers).map(|_| Worker::default()).collect(),
            requests: BTreeMap::new(),
            next_request: 0,
            waits: Vec::new(),
            started: 0,
            overruns: 0,
            reports: 0,
            failing_worker_requests: (0, 0),
            offered: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        simulation.after(Duration::ZERO, Event::Arrive);
        for entry in 0..scenario.entries {
            let offset = scenario
                .report_interval
                .mul_f64(entry as f64 / scenario.entries as f64);
            simulation.after(offset, Event::Report(entry));
        }
        simulation
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.next_seq += 1;
        self.events
            .push(Reverse((self.now + delay, self.next_seq, event)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.random.random();
        Duration::from_secs_f64(-mean * (1.0 - uniform).ln())
    }

    fn is_measured(&self, at: Duration) -> bool {
        (self.scenario.warm_up..self.scenario.warm_up + self.scenario.measured).contains(&at)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach(request) => self.reach(request),
            Event::Done(worker, request) => self.done(worker, request),
            Event::Answer(request, failure) => self.answer(request, failure),
            Event::Deadline(request) => self.deadline(request),
            Event::Tick(entry) => self.tick(entry),
            Event::Report(entry) => self.report(entry),
            Event::Deliver(entry) => self.deliver(entry),
        }
    }

    fn arrive(&mut self) {
        let gap = self.exponential(1.0 / (score::capacity(self.scenario) * self.scenario.load));
        self.after(gap, Event::Arrive);
        let account = self.random_account();
        let fixed_entry = self.scenario.accounts[account].fixed_entry;
        let entry = fixed_entry.unwrap_or_else(|| self.random_entry());
        let request = self.next_request;
        self.next_request += 1;
        let Account {
            name: text, class, ..
        } = self.scenario.accounts[account];
        if self.is_measured(self.now) {
            *self.offered.entry(text).or_default() += 1;
        }
        let arrival = Arrival {
            request,
            account: name(text),
            service: name("stay"),
            class,
            deadline: self.now + self.scenario.request_timeout,
            idempotent: false,
        };
        let known = Request {
            account,
            entry,
            worker: 0,
            arrived: self.now,
            sent: self.now,
            at_entry: true,
        };
        self.requests.insert(request, known);
        let actions = self.nodes[entry].arrive(self.now, arrival);
        self.execute(entry, actions);
    }

    fn random_entry(&mut self) -> usize {
        if self.scenario.entries == 1 || self.random.random::<f64>() < self.scenario.hot {
            return 0;
        }
        self.random.random_range(1..self.scenario.entries)
    }

    fn random_account(&mut self) -> usize {
        let mut at: f64 = self.random.random();
        for (index, account) in self.scenario.accounts.iter().enumerate() {
            at -= account.load_fraction;
            if at < 0.0 {
                return index;
            }
        }
        0
    }

    fn execute(&mut self, entry: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    request,
                    instance,
                    not_after,
                    ..
                } => {
                    let known = self
                        .requests
                        .get_mut(&request)
                        .expect("request is at the entry");
                    known.worker = self.names[&instance];
                    known.sent = self.now;
                    self.after(NETWORK_LATENCY, Event::Reach(request));
                    self.after(not_after.saturating_sub(self.now), Event::Deadline(request));
                }
                Action::Refuse { request, code, .. } => {
                    let known = self
                        .requests
                        .remove(&request)
                        .expect("request is at the entry");
                    if self.is_measured(known.arrived) {
                        *self.outcome.rejections.entry(code.number()).or_default() += 1;
                    }
                }
            }
        }
        self.set_timer(entry);
    }

    fn set_timer(&mut self, entry: usize) {
        let due = self.nodes[entry].next_tick();
        if due != self.ticks[entry] {
            self.ticks[entry] = due;
            if let Some(due) = due {
                self.after(due.saturating_sub(self.now), Event::Tick(entry));
            }
        }
    }

    fn tick(&mut self, entry: usize) {
        if self.ticks[entry].is_some_and(|due| due <= self.now) {
            self.ticks[entry] = None;
            let actions = self.nodes[entry].tick(self.now);
            self.execute(entry, actions);
        }
    }

    fn reach(&mut self, request: u64) {
        let worker = self.requests[&request].worker;
        let fails = self.scenario.failing && worker == 0 && self.now >= self.scenario.warm_up;
        if self.now >= self.scenario.warm_up + Duration::from_secs(5) {
            self.failing_worker_requests.0 += u64::from(worker == 0);
            self.failing_worker_requests.1 += 1;
        }
        if fails {
            self.after(FAST_FAILURE + NETWORK_LATENCY, Event::Answer(request, true));
            return;
        }
        self.started += 1;
        if self.workers[worker].running >= SLOTS {
            self.overruns += 1;
            self.workers[worker].queue.push_back(request);
            return;
        }
        self.start(worker, request);
    }

    fn start(&mut self, worker: usize, request: u64) {
        self.workers[worker].running += 1;
        let slowdown = if self.scenario.slow && worker == 0 {
            f64::from(score::SLOWDOWN)
        } else {
            1.0
        };
        let service = self.exponential(self.scenario.service.as_secs_f64() * slowdown);
        let known = self.requests.get(&request);
        if let Some(known) = known.filter(|_| self.now > self.scenario.warm_up) {
            self.waits.push(self.now.saturating_sub(known.arrived));
        }
        self.after(service, Event::Done(worker, request));
    }

    fn done(&mut self, worker: usize, request: u64) {
        self.workers[worker].running -= 1;
        if let Some(next) = self.workers[worker].queue.pop_front() {
            self.start(worker, next);
        }
        self.after(NETWORK_LATENCY, Event::Answer(request, false));
    }

    fn answer(&mut self, number: u64, failure: bool) {
        let Some(request) = self
            .requests
            .remove(&number)
            .filter(|request| request.at_entry)
        else {
            return;
        };
        let latency = self.now.saturating_sub(request.sent);
        if !failure && self.is_measured(request.arrived) {
            let account = self.scenario.accounts[request.account].name;
            *self.outcome.successes.entry(account).or_default() += 1;
        }
        let outcome = AttemptOutcome::Responded { latency, failure };
        let actions = self.nodes[request.entry].finish(self.now, number, outcome);
        self.execute(request.entry, actions);
    }

    /// The entry abandons the request at its deadline; the worker continues to execute it.
    fn deadline(&mut self, number: u64) {
        let Some(request) = self
            .requests
            .get_mut(&number)
            .filter(|request| request.at_entry)
        else {
            return;
        };
        request.at_entry = false;
        let entry = request.entry;
        let mut actions = self.nodes[entry].finish(self.now, number, AttemptOutcome::TimedOut);
        actions.retain(
            |action| !matches!(action, Action::Refuse { request, .. } if *request == number),
        );
        self.execute(entry, actions);
    }

    fn report(&mut self, entry: usize) {
        self.after(self.scenario.report_interval, Event::Report(entry));
        let message = self.nodes[entry].make_report(self.now);
        if let Some(message) = message.filter(|_| self.scenario.strategy != Strategy::Own) {
            self.reports += 1;
            self.messages.entry(entry).or_default().push_back(message);
            self.after(REPORT_DELAY, Event::Deliver(entry));
        }
        self.update_max_quota_sum();
    }

    fn deliver(&mut self, from: usize) {
        let messages = self.messages.get_mut(&from).expect("message was sent");
        let message = messages.pop_front().expect("message was sent");
        for entry in (0..self.scenario.entries).filter(|entry| *entry != from) {
            let actions = self.nodes[entry].apply(self.now, &message);
            self.execute(entry, actions);
        }
        self.update_max_quota_sum();
    }

    fn update_max_quota_sum(&mut self) {
        for instance in self.names.keys() {
            let quota = self.nodes.iter().map(|node| node.quota(instance)).sum();
            self.outcome.max_quota_sum = self.outcome.max_quota_sum.max(quota);
        }
    }

    fn into_outcome(mut self) -> Outcome {
        let reachable = self.scenario.service.as_secs_f64()
            / (self.scenario.service + 2 * NETWORK_LATENCY).as_secs_f64();
        let successes: u64 = self.outcome.successes.values().sum();
        let achievable: f64 = score::fair_allocation(self.scenario, &self.offered, 1.0)
            .values()
            .sum();
        self.outcome.goodput = successes as f64 / achievable;
        let fair = score::fair_allocation(self.scenario, &self.offered, 1.0);
        self.outcome.fairness = score::min_fulfilment(&self.outcome.successes, &fair);
        let fair = score::fair_allocation(self.scenario, &self.offered, reachable);
        self.outcome.reachable = score::min_fulfilment(&self.outcome.successes, &fair);
        self.outcome.overruns = self.overruns as f64 / self.started as f64;
        self.outcome.failing_worker_share =
            self.failing_worker_requests.0 as f64 / self.failing_worker_requests.1.max(1) as f64;
        let seconds =
            (self.scenario.warm_up + self.scenario.measured + self.scenario.request_timeout)
                .as_secs_f64();
        self.outcome.reports = self.reports as f64 / seconds / self.scenario.entries as f64;
        self.waits.sort_unstable();
        let at = self.waits.len().saturating_sub(1) * 99 / 100;
        self.outcome.wait = self.waits.get(at).copied().unwrap_or_default();
        self.outcome
    }
}
