//! What the owner of a pool publishes, and how it settles once gateways apply it.

use primroseroute_admission::{
    Backlog, Gate, PoolLoad, Publisher, Waiting,
    gate::{Decision, Figures, Published, Size, Submission, share_place},
};
use primroseroute_domain::work::{Demand, JobId, Name};
use proptest::prelude::*;
use std::collections::BTreeMap;

const CAPACITY_CPU: u64 = 100_000;

/// Time between two observations.
const STEP_MS: u64 = 100;

fn id(number: u64) -> JobId {
    JobId::parse(&format!("{number:016x}")).expect("16 digits")
}

fn account() -> Name {
    "a".into()
}

/// A backlog with this work, in milliseconds of the whole capacity.
fn backlog(within_ms: u64, beyond_ms: u64) -> Backlog {
    let core_ms = |time: u64| time * CAPACITY_CPU / 1_000;
    let waiting = Waiting {
        within_core_ms: core_ms(within_ms),
        beyond_core_ms: core_ms(beyond_ms),
        ..Waiting::default()
    };
    Backlog {
        capacity_cpu: CAPACITY_CPU,
        accounts: [(Some(account()), waiting)].into(),
        ..Backlog::default()
    }
}

/// Publishes what is due.
fn publish(publisher: &mut Publisher, now_ms: u64) -> Option<PoolLoad> {
    let load = publisher.due(now_ms)?.clone();
    publisher.record_published(load.clone(), now_ms);
    Some(load)
}

/// A publisher in a pool that limits submissions, and the gateways that apply what it publishes.
struct Site {
    publisher: Publisher,
    entitlement: f64,
    /// Objective of the jobs: whether those beyond the entitlement are accepted.
    objective_ms: u64,
    seed: u64,
    now_ms: u64,
    submitted: u64,
    /// Submissions that are still owed, in jobs.
    owed: f64,
    loads: Vec<(u64, PoolLoad)>,
    /// Accepted submissions that gateways count as within the entitlement.
    within: u64,
}

/// Time until each gateway applies a row.
const DELAYS_MS: [u64; 3] = [50, 400, 1_000];

impl Site {
    fn new(entitlement: f64, accepts_beyond: bool, seed: u64) -> Self {
        Self {
            publisher: Publisher::new(7),
            entitlement,
            objective_ms: if accepts_beyond { 100_000 } else { 2_000 },
            seed,
            now_ms: 1_000_000,
            submitted: 0,
            owed: 0.0,
            loads: Vec::new(),
            within: 0,
        }
    }

    fn submit(&mut self, rate: f64) {
        self.owed += rate * STEP_MS as f64 / 1_000.0;
        while self.owed >= 1.0 {
            self.owed -= 1.0;
            self.submitted += 1;
            let id = id(self.seed.wrapping_add(self.submitted));
            let delay = DELAYS_MS[(self.submitted % 3) as usize];
            let mut loads = self.loads.iter().enumerate().rev();
            let known = loads.find(|(_, (at, _))| at + delay <= self.now_ms);
            let published = known.map(|(version, (at, load))| Published {
                load,
                version: version as u64 + 1,
                age_ms: self.now_ms - at - delay,
            });
            let account = account();
            let submission = Submission {
                account: Some(&account),
                weight: self.entitlement,
                pool: &"p".into(),
                id: &id,
            };
            let size = Size {
                objective_ms: self.objective_ms,
                ..Size::default()
            };
            let figures = Figures {
                published,
                confirmed_ms: Some(0),
            };
            let decision = Gate::default().decide(&submission, &size, figures, self.now_ms);
            if decision == Decision::Accept {
                self.publisher.add_accepted(&account, &id, self.now_ms);
                let share = published.and_then(|known| known.load.within_permille.get(&account));
                let within = share.is_none_or(|share| share_place(&id) < u64::from(*share));
                self.within += u64::from(within);
            }
        }
    }

    /// Lets so much time pass in a pool with a wait of 5 s for submissions beyond the entitlement.
    fn run(&mut self, rate: f64, time_ms: u64) {
        let end = self.now_ms + time_ms;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            self.submit(rate);
            let entitlements = [(account(), self.entitlement)].into();
            self.publisher
                .observe(&backlog(0, 5_000), &entitlements, self.now_ms);
            if let Some(load) = publish(&mut self.publisher, self.now_ms) {
                self.loads.push((self.now_ms, load));
            }
        }
    }

    fn shares_since(&self, from_ms: u64) -> Vec<u16> {
        let loads = self.loads.iter().filter(|(at, _load)| *at >= from_ms);
        let share = |load: &PoolLoad| load.within_permille.get(&account()).copied();
        loads
            .map(|(_at, load)| share(load).unwrap_or(1_000))
            .collect()
    }
}

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(u64::MAX), 0..60_000_u64, any::<u64>()]
}

prop_compose! {
    fn any_backlog()(capacity_cpu in number(), cpu in number(), work in [number(), number(), number(), number()]) -> Backlog {
        let [within_core_ms, beyond_core_ms, other, public] = work;
        let waiting = Waiting { within_core_ms, beyond_core_ms, ..Waiting::default() };
        let other = Waiting { within_core_ms: other, ..Waiting::default() };
        let public = Waiting { beyond_core_ms: public, ..Waiting::default() };
        Backlog {
            capacity_cpu,
            largest_worker: Demand { cpu, ..Demand::default() },
            accounts: [(Some(account()), waiting), (Some("b".into()), other), (None, public)].into(),
        }
    }
}

/// An entitlement as configured, however absurd.
fn entitlement() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(0.0),
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(-1.0),
        1e-9..200.0
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    /// Figures of which a gateway would conclude that no job may ever be accepted.
    #[test]
    fn figures_stay_in_range(
        steps in proptest::collection::vec((any_backlog(), entitlement(), number(), number(), 0..40_u64), 1..40),
    ) {
        let mut publisher = Publisher::new(1);
        for (backlog, entitlement, time, completed, jobs) in steps {
            for job in 0..jobs {
                publisher.add_accepted(&account(), &id(job), time);
            }
            publisher.add_completed(completed, time);
            publisher.observe(&backlog, &[(account(), entitlement)].into(), time);
            let Some(load) = publish(&mut publisher, time) else {
                continue;
            };
            for wait in [load.within_wait_ms, load.beyond_wait_ms] {
                prop_assert!(wait == 0 || (500..=600_000).contains(&wait), "{:?}", load);
            }
            prop_assert!(load.within_wait_ms <= load.beyond_wait_ms, "{:?}", load);
            prop_assert!(load.within_permille.values().all(|share| *share < 1_000), "{:?}", load);
            prop_assert!(load.beyond_wait_ms > 0 || load.within_permille.is_empty(), "{:?}", load);
        }
    }

    /// An account that keeps to its entitlement, in bursts, would be limited beside a flood of others.
    #[test]
    fn account_within_its_entitlement_is_never_listed(
        entitlement in 0.2..150.0_f64,
        bursts in proptest::collection::vec(0.0..1.0_f64, 300),
    ) {
        let mut site = Site::new(entitlement, false, 0);
        let capacity = entitlement.max(1.0);
        let mut bucket = capacity;
        for burst in bursts {
            bucket = (bucket + entitlement / 10.0).min(capacity);
            // Nothing for a while, then all at once.
            let jobs = if burst > 0.5 { bucket.floor() } else { 0.0 };
            bucket -= jobs;
            site.owed = jobs;
            site.run(0.0, STEP_MS);
        }
        prop_assert!(site.shares_since(0).iter().all(|share| *share == 1_000));
    }

    /// A share that takes all accepted jobs for admitted by it would shrink to nothing while the wait
    /// still allows jobs beyond it, and one that reacts to its own effect would oscillate.
    #[test]
    fn shares_settle_at_the_entitlement(
        entitlement in 40.0..100.0_f64,
        excess in 1.5..7.0_f64,
        accepts_beyond: bool,
        seed: u64,
    ) {
        let mut site = Site::new(entitlement, accepts_beyond, seed);
        site.run(entitlement * excess, 15_000);
        let settled = site.now_ms;
        site.within = 0;
        site.run(entitlement * excess, 30_000);
        let admitted = site.within as f64 / (entitlement * 30.0);
        prop_assert!((0.94..1.06).contains(&admitted), "admitted {}", admitted);
        let shares = site.shares_since(settled);
        let exact = 1_000.0 / excess;
        for share in shares {
            let ratio = f64::from(share) / exact;
            prop_assert!((0.75..1.33).contains(&ratio), "{} instead of {}", share, exact);
        }
    }

    /// A pool with room would limit its callers.
    #[test]
    fn nothing_is_published_while_there_is_room(work in 0..500_u64, flood in 10..70_u64) {
        let mut publisher = Publisher::new(1);
        let mut seen = Vec::new();
        for step in 0..100_u64 {
            for job in 0..flood {
                publisher.add_accepted(&account(), &id(step * 100 + job), step * STEP_MS);
            }
            publisher.observe(&backlog(work / 2, work / 2), &[(account(), 100.0)].into(), step * STEP_MS);
            seen.extend(publish(&mut publisher, step * STEP_MS));
        }
        // The first one tells gateways that nothing waits.
        prop_assert!(seen.len() == 1 && seen[0].beyond_wait_ms == 0, "{:?}", seen);
    }
}

/// Observations within the time that arriving instances take.
const LEAD_STEPS: usize = (3_000 / STEP_MS) as usize;

/// Waits that are published while the backlog is `waits_ms`, one observation each.
fn waits(waits_ms: impl IntoIterator<Item = u64>) -> Vec<u64> {
    let mut publisher = Publisher::new(1);
    let mut seen = Vec::new();
    for (step, wait) in (0..).zip(waits_ms) {
        let now_ms = step * STEP_MS;
        publisher.observe(&backlog(0, wait), &BTreeMap::new(), now_ms);
        seen.extend(publish(&mut publisher, now_ms).map(|load| load.beyond_wait_ms));
    }
    seen
}

/// A pool whose wait varies about the smallest published one would begin and end to limit each time.
#[test]
fn waits_near_the_boundary_do_not_flap() {
    assert_eq!(
        waits(
            [0].into_iter()
                .chain((0..50).map(|step| 400 + step % 2 * 300))
        ),
        [0]
    );
    let begun = [900; LEAD_STEPS + 1]
        .into_iter()
        .chain((0..50).map(|step| 550 + step % 2 * 300));
    let seen = waits(begun);
    assert!(seen.len() > 2 && seen[1..].iter().all(|wait| *wait >= 500));
}

#[test]
fn waits_are_repeated_and_their_end_is_published_at_once() {
    let falling = [2_000; LEAD_STEPS + 12].into_iter().chain([0; 20]);
    assert_eq!(waits(falling), [0, 2_000, 2_000, 2_000, 0]);
}

/// A pool whose demand rises would have jobs rejected before its instances arrive.
#[test]
fn wait_that_arriving_instances_end_is_not_published() {
    let rising = [5_000; LEAD_STEPS].into_iter().chain([0; 20]);
    assert_eq!(waits(rising), [0]);
}

/// A pool that gets its first workers would limit submissions before these arrive.
#[test]
fn pool_without_workers_limits_only_once_none_arrive() {
    let mut publisher = Publisher::new(1);
    let mut waiting = backlog(0, 1_000);
    waiting.capacity_cpu = 0;
    let mut wait = |now_ms| {
        publisher.observe(&waiting, &BTreeMap::new(), now_ms);
        publisher.due(now_ms).map(|load| load.beyond_wait_ms)
    };
    assert_eq!([0, 1_000, 2_900].map(&mut wait), [Some(0); 3]);
    assert_eq!(wait(3_000), Some(600_000));
}

/// Workers that leave a pool while they complete its tasks would lengthen the published waits.
#[test]
fn completions_raise_the_rate_up_to_twice_the_capacity() {
    let mut publisher = Publisher::new(1);
    let mut rate = |completed: u64, now_ms: u64| {
        publisher.add_completed(completed, now_ms);
        publisher.observe(&backlog(0, 3_000), &BTreeMap::new(), now_ms);
        publisher.due(now_ms).map(|load| load.rate_cpu)
    };
    assert_eq!(rate(0, 0), Some(CAPACITY_CPU));
    assert_eq!(rate(450_000, 1_000), Some(CAPACITY_CPU * 3 / 2));
    assert_eq!(rate(450_000_000, 2_000), Some(CAPACITY_CPU * 2));
    assert_eq!(rate(0, 6_000), Some(CAPACITY_CPU));
}

/// A job that fits only a worker in maintenance would be rejected for good.
#[test]
fn largest_worker_is_remembered_for_a_minute() {
    let mut publisher = Publisher::new(1);
    let mut largest = |cpu: u64, now_ms: u64| {
        let largest_worker = Demand {
            cpu,
            ..Demand::default()
        };
        let backlog = Backlog {
            largest_worker,
            ..Backlog::default()
        };
        publisher.observe(&backlog, &BTreeMap::new(), now_ms);
        publish(&mut publisher, now_ms).map(|load| load.largest_worker.cpu)
    };
    assert_eq!(largest(8_000, 0), Some(8_000));
    assert_eq!(largest(16_000, 10_000), Some(16_000));
    assert_eq!(largest(8_000, 50_000), None);
    assert_eq!(largest(8_000, 70_000), None);
    assert_eq!(largest(8_000, 130_000), Some(8_000));
}
