//! The event loop.

use super::{
    Account, Case, Outcome, Way, name, score,
    way::{Node, Note, open},
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

const NETWORK: Duration = Duration::from_millis(1);
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

struct World<'a> {
    case: &'a Case,
    now: Duration,
    order: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    random: ChaCha8Rng,
    nodes: Vec<Box<dyn Node>>,
    ticks: Vec<Option<Duration>>,
    notes: BTreeMap<usize, VecDeque<Note>>,
    names: BTreeMap<id::Instance, usize>,
    workers: Vec<Worker>,
    requests: BTreeMap<u64, Request>,
    next: u64,
    waits: Vec<Duration>,
    started: u64,
    overruns: u64,
    reports: u64,
    drawn: (u64, u64),
    offered: BTreeMap<&'static str, u64>,
    outcome: Outcome,
}

/// Runs a case to its end.
pub fn run(case: &Case) -> Outcome {
    let mut world = World::open(case);
    let end = case.warm_up + case.measured + case.patience;
    while let Some(Reverse((at, _, event))) = world.events.pop().filter(|next| next.0.0 <= end) {
        world.now = at;
        world.step(event);
    }
    world.close()
}

impl<'a> World<'a> {
    fn open(case: &'a Case) -> Self {
        let mut world = Self {
            case,
            now: Duration::ZERO,
            order: 0,
            events: BinaryHeap::new(),
            random: ChaCha8Rng::seed_from_u64(case.seed),
            nodes: (0..case.entries).map(|at| open(case, at)).collect(),
            ticks: vec![None; case.entries],
            notes: BTreeMap::new(),
            names: (0..case.workers).map(|at| (worker(at), at)).collect(),
            workers: (0..case.workers).map(|_| Worker::default()).collect(),
            requests: BTreeMap::new(),
            next: 0,
            waits: Vec::new(),
            started: 0,
            overruns: 0,
            reports: 0,
            drawn: (0, 0),
            offered: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        world.after(Duration::ZERO, Event::Arrive);
        for entry in 0..case.entries {
            let offset = case
                .report_every
                .mul_f64(entry as f64 / case.entries as f64);
            world.after(offset, Event::Report(entry));
        }
        world
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.order += 1;
        self.events
            .push(Reverse((self.now + delay, self.order, event)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.random.random();
        Duration::from_secs_f64(-mean * (1.0 - uniform).ln())
    }

    fn is_measured(&self, at: Duration) -> bool {
        (self.case.warm_up..self.case.warm_up + self.case.measured).contains(&at)
    }

    fn step(&mut self, event: Event) {
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
        let gap = self.exponential(1.0 / (score::capacity(self.case) * self.case.load));
        self.after(gap, Event::Arrive);
        let account = self.draw_account();
        let home = self.case.accounts[account].home;
        let entry = home.unwrap_or_else(|| self.draw_entry());
        let request = self.next;
        self.next += 1;
        let Account {
            name: text, class, ..
        } = self.case.accounts[account];
        if self.is_measured(self.now) {
            *self.offered.entry(text).or_default() += 1;
        }
        let arrival = Arrival {
            request,
            account: name(text),
            service: name("stay"),
            class,
            deadline: self.now + self.case.patience,
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
        self.carry_out(entry, actions);
    }

    fn draw_entry(&mut self) -> usize {
        if self.case.entries == 1 || self.random.random::<f64>() < self.case.hot {
            return 0;
        }
        self.random.random_range(1..self.case.entries)
    }

    fn draw_account(&mut self) -> usize {
        let mut at: f64 = self.random.random();
        for (index, account) in self.case.accounts.iter().enumerate() {
            at -= account.part;
            if at < 0.0 {
                return index;
            }
        }
        0
    }

    fn carry_out(&mut self, entry: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    request,
                    instance,
                    not_after,
                    ..
                } => {
                    let known = self.requests.get_mut(&request).expect("it is at the entry");
                    known.worker = self.names[&instance];
                    known.sent = self.now;
                    self.after(NETWORK, Event::Reach(request));
                    self.after(not_after.saturating_sub(self.now), Event::Deadline(request));
                }
                Action::Refuse { request, code, .. } => {
                    let known = self.requests.remove(&request).expect("it is at the entry");
                    if self.is_measured(known.arrived) {
                        *self.outcome.refused.entry(code.number()).or_default() += 1;
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
            self.carry_out(entry, actions);
        }
    }

    fn reach(&mut self, request: u64) {
        let worker = self.requests[&request].worker;
        let fails = self.case.failing && worker == 0 && self.now >= self.case.warm_up;
        if self.now >= self.case.warm_up + Duration::from_secs(5) {
            self.drawn.0 += u64::from(worker == 0);
            self.drawn.1 += 1;
        }
        if fails {
            self.after(FAST_FAILURE + NETWORK, Event::Answer(request, true));
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
        let slowness = if self.case.slow && worker == 0 {
            f64::from(score::SLOWNESS)
        } else {
            1.0
        };
        let service = self.exponential(self.case.service.as_secs_f64() * slowness);
        let known = self.requests.get(&request);
        if let Some(known) = known.filter(|_| self.now > self.case.warm_up) {
            self.waits.push(self.now.saturating_sub(known.arrived));
        }
        self.after(service, Event::Done(worker, request));
    }

    fn done(&mut self, worker: usize, request: u64) {
        self.workers[worker].running -= 1;
        if let Some(next) = self.workers[worker].queue.pop_front() {
            self.start(worker, next);
        }
        self.after(NETWORK, Event::Answer(request, false));
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
            let account = self.case.accounts[request.account].name;
            *self.outcome.good.entry(account).or_default() += 1;
        }
        let ending = AttemptOutcome::Responded { latency, failure };
        let actions = self.nodes[request.entry].finish(self.now, number, ending);
        self.carry_out(request.entry, actions);
    }

    /// The entry gives up; the worker goes on with what it has.
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
        self.carry_out(entry, actions);
    }

    fn report(&mut self, entry: usize) {
        self.after(self.case.report_every, Event::Report(entry));
        let note = self.nodes[entry].note(self.now);
        if let Some(note) = note.filter(|_| self.case.way != Way::Own) {
            self.reports += 1;
            self.notes.entry(entry).or_default().push_back(note);
            self.after(REPORT_DELAY, Event::Deliver(entry));
        }
        self.check_rights();
    }

    fn deliver(&mut self, from: usize) {
        let notes = self.notes.get_mut(&from).expect("it was sent");
        let note = notes.pop_front().expect("it was sent");
        for entry in (0..self.case.entries).filter(|entry| *entry != from) {
            let actions = self.nodes[entry].take(self.now, &note);
            self.carry_out(entry, actions);
        }
        self.check_rights();
    }

    fn check_rights(&mut self) {
        for instance in self.names.keys() {
            let quota = self.nodes.iter().map(|node| node.quota(instance)).sum();
            self.outcome.most_rights = self.outcome.most_rights.max(quota);
        }
    }

    fn close(mut self) -> Outcome {
        let reach =
            self.case.service.as_secs_f64() / (self.case.service + 2 * NETWORK).as_secs_f64();
        let good: u64 = self.outcome.good.values().sum();
        let whole: f64 = score::fair(self.case, &self.offered, 1.0).values().sum();
        self.outcome.goodput = good as f64 / whole;
        let fair = score::fair(self.case, &self.offered, 1.0);
        self.outcome.fairness = score::least(&self.outcome.good, &fair);
        let fair = score::fair(self.case, &self.offered, reach);
        self.outcome.reachable = score::least(&self.outcome.good, &fair);
        self.outcome.overruns = self.overruns as f64 / self.started as f64;
        self.outcome.drawn = self.drawn.0 as f64 / self.drawn.1.max(1) as f64;
        let seconds = (self.case.warm_up + self.case.measured + self.case.patience).as_secs_f64();
        self.outcome.reports = self.reports as f64 / seconds / self.case.entries as f64;
        self.waits.sort_unstable();
        let at = self.waits.len().saturating_sub(1) * 99 / 100;
        self.outcome.wait = self.waits.get(at).copied().unwrap_or_default();
        self.outcome
    }
}
