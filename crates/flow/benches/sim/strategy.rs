//! One simulated entry: the library's pool, or one of the strategies that it is compared with.

use super::{Scenario, Strategy, entry, view, worker};
use primroseroute_domain::{id, instance::SLOTS, outcome::Code};
use primroseroute_flow::{
    estimate::ServiceTimes,
    fair,
    limits::Limits,
    pool::Pool,
    report::Report,
    request::{Action, Arrival, AttemptOutcome},
    worker::{Preferences, Set},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// A message from an entry to its peers.
#[derive(Clone, Debug)]
pub enum PeerMessage {
    Report(Report),
    Load(usize, BTreeMap<id::Instance, u32>),
}

pub trait Node {
    fn arrive(&mut self, now: Duration, arrival: Arrival) -> Vec<Action>;
    fn finish(&mut self, now: Duration, request: u64, outcome: AttemptOutcome) -> Vec<Action>;
    fn tick(&mut self, now: Duration) -> Vec<Action>;
    fn next_tick(&self) -> Option<Duration>;
    fn make_report(&mut self, now: Duration) -> Option<PeerMessage>;
    fn apply(&mut self, now: Duration, message: &PeerMessage) -> Vec<Action>;
    fn quota(&self, instance: &id::Instance) -> u32;
}

pub fn build_node(scenario: &Scenario, at: usize) -> Box<dyn Node> {
    let seed = scenario.seed * 1_000 + at as u64;
    match scenario.strategy {
        Strategy::Lend | Strategy::Own => {
            let mut pool = Pool::new(entry(at), 1, Limits::default(), seed);
            pool.apply_view(Duration::ZERO, &view(scenario));
            Box::new(pool)
        }
        Strategy::LeastLoad | Strategy::Subset => Box::new(Baseline::new(scenario, at, seed)),
    }
}

impl Node for Pool {
    fn arrive(&mut self, now: Duration, arrival: Arrival) -> Vec<Action> {
        Pool::arrive(self, now, arrival)
    }

    fn finish(&mut self, now: Duration, request: u64, outcome: AttemptOutcome) -> Vec<Action> {
        Pool::finish(self, now, request, outcome)
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        Pool::tick(self, now)
    }

    fn next_tick(&self) -> Option<Duration> {
        Pool::next_tick(self)
    }

    fn make_report(&mut self, now: Duration) -> Option<PeerMessage> {
        self.report_if_changed(now).map(PeerMessage::Report)
    }

    fn apply(&mut self, now: Duration, message: &PeerMessage) -> Vec<Action> {
        match message {
            PeerMessage::Report(report) => self.apply_reports(now, std::slice::from_ref(report)),
            PeerMessage::Load(..) => Vec::new(),
        }
    }

    fn quota(&self, instance: &id::Instance) -> u32 {
        Pool::quota(self, instance)
    }
}

/// An entry with the library's queue and estimates, but without lending and ejection.
struct Baseline {
    strategy: Strategy,
    at: usize,
    entries: usize,
    queue: fair::Queue,
    times: ServiceTimes,
    workers: Set,
    random: ChaCha8Rng,
    requests: BTreeMap<u64, (Arrival, Option<usize>)>,
    timers: BTreeSet<(Duration, u64)>,
    peers: BTreeMap<usize, BTreeMap<id::Instance, u32>>,
}

impl Baseline {
    fn new(scenario: &Scenario, at: usize, seed: u64) -> Self {
        let mut workers = Set::default();
        let view = view(scenario);
        for number in 0..scenario.workers {
            let name = worker(number);
            let index = workers.upsert(&name, view.members[&name].clone());
            let is_own =
                scenario.strategy == Strategy::LeastLoad || number % scenario.entries == at;
            workers.change(index, |worker| {
                worker.quota = if is_own { SLOTS } else { 0 }
            });
        }
        let mut queue = fair::Queue::default();
        let shares = view.shares.into_iter();
        queue.set_weights(
            shares
                .map(|(name, share)| (name, f64::from(share)))
                .collect(),
        );
        Self {
            strategy: scenario.strategy,
            at,
            entries: scenario.entries,
            queue,
            times: ServiceTimes::default(),
            workers,
            random: ChaCha8Rng::seed_from_u64(seed),
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Number of slots that this entry can expect to use, for its estimates.
    fn expected_slots(&self) -> f64 {
        let all = f64::from(self.workers.totals().slots);
        match self.strategy {
            Strategy::LeastLoad => all / self.entries as f64,
            _ => all,
        }
    }

    fn reject(request: u64, code: Code) -> Action {
        Action::Refuse {
            request,
            code,
            retry_after: Duration::ZERO,
        }
    }

    fn dispatch(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.workers.has_free_slot() {
            let Some(item) = self.queue.pop() else { break };
            let preferences = Preferences {
                idempotent: false,
                tried: &[],
            };
            let index = self
                .workers
                .choose(preferences, &mut self.random)
                .expect("a slot is free");
            let request = self
                .requests
                .get_mut(&item.request)
                .expect("request is queued");
            request.1 = Some(index);
            let not_after = request.0.deadline;
            self.timers.retain(|(_, number)| *number != item.request);
            let change = |worker: &mut primroseroute_flow::worker::Worker| {
                worker.in_flight += 1;
                worker.id.clone()
            };
            let instance = self.workers.change(index, change).expect("worker exists");
            actions.push(Action::Send {
                request: item.request,
                instance,
                attempt: 1,
                not_after,
            });
        }
        actions
    }
}

impl Node for Baseline {
    fn arrive(&mut self, now: Duration, arrival: Arrival) -> Vec<Action> {
        let service = self.times.service(&arrival.service);
        let rate = self.expected_slots() * self.queue.weight_fraction(&arrival.account);
        let wait = self
            .queue
            .expected_wait(&arrival.account, arrival.class, rate);
        let remaining = arrival.deadline.saturating_sub(now).as_secs_f64();
        let must_wait = !self.queue.is_empty() || !self.workers.has_free_slot();
        let max_wait = (remaining - service.upper_bound()).min(remaining / 2.0);
        if must_wait && wait > max_wait {
            return vec![Self::reject(arrival.request, Code::DeadlineUnreachable)];
        }
        self.queue.push(fair::QueuedRequest {
            request: arrival.request,
            account: arrival.account.clone(),
            service: arrival.service.clone(),
            class: arrival.class,
            cost: service.mean(),
        });
        let expires = arrival
            .deadline
            .saturating_sub(Duration::from_secs_f64(service.upper_bound()));
        self.timers.insert((expires.max(now), arrival.request));
        self.requests.insert(arrival.request, (arrival, None));
        self.dispatch()
    }

    fn finish(&mut self, _now: Duration, request: u64, outcome: AttemptOutcome) -> Vec<Action> {
        if let Some((arrival, Some(index))) = self.requests.remove(&request) {
            self.workers.change(index, |worker| worker.in_flight -= 1);
            if let AttemptOutcome::Responded {
                latency,
                failure: false,
            } = outcome
            {
                self.times.add(&arrival.service, latency);
            }
        }
        self.dispatch()
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&(at, number)) = self.timers.first().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, number));
            if let Some((arrival, None)) = self.requests.remove(&number) {
                let (account, service) = (&arrival.account, &arrival.service);
                self.queue.remove(account, service, arrival.class, number);
                actions.push(Self::reject(number, Code::DeadlineUnreachable));
            }
        }
        actions
    }

    fn next_tick(&self) -> Option<Duration> {
        self.timers.first().map(|(at, _)| *at)
    }

    fn make_report(&mut self, _now: Duration) -> Option<PeerMessage> {
        let workers = self.workers.iter();
        let loads = workers.map(|worker| (worker.id.clone(), worker.in_flight));
        Some(PeerMessage::Load(self.at, loads.collect()))
    }

    fn apply(&mut self, _now: Duration, message: &PeerMessage) -> Vec<Action> {
        let (PeerMessage::Load(from, loads), Strategy::LeastLoad) = (message, self.strategy) else {
            return Vec::new();
        };
        self.peers.insert(*from, loads.clone());
        for index in self.workers.indices() {
            let peers = &self.peers;
            self.workers.change(index, |worker| {
                let load = |peer: &BTreeMap<_, _>| peer.get(&worker.id).copied().unwrap_or(0);
                let others: u32 = peers.values().map(load).sum();
                worker.quota = SLOTS.saturating_sub(others);
            });
        }
        self.dispatch()
    }

    fn quota(&self, instance: &id::Instance) -> u32 {
        let worker = self
            .workers
            .find(instance)
            .and_then(|index| self.workers.get(index));
        worker.map_or(0, |worker| worker.quota)
    }
}
