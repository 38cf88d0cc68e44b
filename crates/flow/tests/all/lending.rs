//! Lending of slots between entries with late, duplicated, reordered or lost reports.

use crate::fixture::{arrival, check, entry, good, ms, name, sent, view, worker};
use primroseroute_domain::{id, instance::SLOTS};
use primroseroute_flow::{limits::Limits, pool::Pool, report::Report};
use proptest::prelude::*;
use std::{collections::BTreeMap, time::Duration};

#[derive(Clone, Debug)]
enum Step {
    /// This many requests arrive at an entry.
    Arrive(usize, u8),
    /// This many of an entry's oldest requests end.
    Finish(usize, u8),
    /// An entry creates a report.
    Report(usize),
    /// Any of the reports created so far reaches an entry.
    Deliver(usize, prop::sample::Index),
    /// Every entry creates a report that reaches all entries.
    Exchange,
}

fn step(entries: usize) -> impl Strategy<Value = Step> {
    let at = 0..entries;
    prop_oneof![
        4 => (at.clone(), 1..30u8).prop_map(|(at, count)| Step::Arrive(at, count)),
        4 => (at.clone(), 1..30u8).prop_map(|(at, count)| Step::Finish(at, count)),
        3 => at.clone().prop_map(Step::Report),
        4 => (at, any::<prop::sample::Index>()).prop_map(|(at, which)| Step::Deliver(at, which)),
        1 => Just(Step::Exchange),
    ]
}

struct Entries {
    pools: Vec<Pool>,
    sent_requests: Vec<Vec<u64>>,
    reports: Vec<Report>,
    workers: usize,
    now: Duration,
    next: u64,
}

impl Entries {
    fn with_entries(entries: usize, workers: usize) -> Self {
        let new_pool = |at| {
            let mut pool = Pool::new(entry(at), 1, Limits::default(), at as u64);
            pool.apply_view(ms(0), &view(workers, entries));
            pool
        };
        Self {
            pools: (0..entries).map(new_pool).collect(),
            sent_requests: vec![Vec::new(); entries],
            reports: Vec::new(),
            workers,
            now: ms(0),
            next: 0,
        }
    }

    fn step(&mut self, step: &Step) {
        self.now += ms(20);
        match step {
            Step::Arrive(at, count) => (0..*count).for_each(|_| self.arrive(*at)),
            Step::Finish(at, count) => self.finish(*at, usize::from(*count)),
            Step::Report(at) => self.report(*at),
            Step::Deliver(at, which) if !self.reports.is_empty() => {
                let report = which.get(&self.reports).clone();
                self.deliver(*at, &report);
            }
            Step::Deliver(..) => {}
            Step::Exchange => self.exchange(),
        }
    }

    fn arrive(&mut self, at: usize) {
        self.next += 1;
        let deadline = self.now + ms(60_000);
        let actions = self.pools[at].arrive(self.now, arrival(self.next, deadline));
        self.sent_requests[at].extend(sent(&actions).iter().map(|(request, _)| request));
    }

    fn finish(&mut self, at: usize, count: usize) {
        let count = count.min(self.sent_requests[at].len());
        let done: Vec<_> = self.sent_requests[at].drain(..count).collect();
        for request in done {
            let actions = self.pools[at].finish(self.now, request, good(100));
            self.sent_requests[at].extend(sent(&actions).iter().map(|(request, _)| request));
        }
    }

    fn report(&mut self, at: usize) {
        let report = self.pools[at].report(self.now);
        self.reports.push(report);
    }

    fn deliver(&mut self, at: usize, report: &Report) {
        let actions = self.pools[at].apply_reports(self.now, std::slice::from_ref(report));
        self.sent_requests[at].extend(sent(&actions).iter().map(|(request, _)| request));
    }

    fn exchange(&mut self) {
        let first = self.reports.len();
        (0..self.pools.len()).for_each(|at| self.report(at));
        let created = self.reports[first..].to_vec();
        for report in created {
            (0..self.pools.len()).for_each(|at| self.deliver(at, &report));
        }
    }

    /// Maximum requests at any worker, counting unused quotas as well.
    fn max_load(&self) -> u32 {
        let at_most = |pool: &Pool, id: &id::Instance| pool.quota(id).max(pool.in_flight(id));
        let sum = |id| self.pools.iter().map(|pool| at_most(pool, &id)).sum();
        (0..self.workers).map(worker).map(sum).max().unwrap_or(0)
    }

    fn slots(&self, at: usize) -> u32 {
        (0..self.workers)
            .map(|number| self.pools[at].quota(&worker(number)))
            .sum()
    }
}

/// Guards against a ninth request at a worker, which would wait there outside the fair order. With
/// stale reports, a borrower could keep using a recalled slot or an owner a granted one, so that both
/// use the same slot.
#[test]
fn no_worker_exceeds_its_slots_with_unreliable_reports() {
    let steps = prop::collection::vec(step(3), 50..250);
    check(150, &steps, |steps| {
        let mut entries = Entries::with_entries(3, 4);
        for step in &steps {
            entries.step(step);
            assert!(entries.max_load() <= SLOTS, "after {step:?}");
        }
    });
}

/// Guards against requests queued at a busy entry while slots of idle entries are unused. All callers
/// are at the first entry, so the others lend; then all move to the last, so slots are recalled and
/// lent to it.
#[test]
fn slots_follow_the_callers() {
    let mut entries = Entries::with_entries(7, 14);
    let before = entries.slots(0);
    overload(&mut entries, 0);
    assert!(
        entries.slots(0) > 4 * before,
        "{} of {before}",
        entries.slots(0)
    );
    overload(&mut entries, 6);
    assert!(
        entries.slots(6) > 4 * before,
        "{} of {before}",
        entries.slots(6)
    );
    let all: u32 = (0..7).map(|at| entries.slots(at)).sum();
    assert!(all > 100, "only {all} of 112 slots are usable");
}

/// Runs 300 rounds of 50 ms in which the demand at one entry exceeds the capacity.
fn overload(entries: &mut Entries, at: usize) {
    for _ in 0..300 {
        entries.now += ms(50);
        (0..80).for_each(|_| entries.arrive(at));
        (0..7).for_each(|at| entries.finish(at, usize::MAX));
        entries.exchange();
    }
}

/// Guards against refusals while workers are idle because a crashed peer still counts as the borrower
/// of slots. The loans end when the peer leaves the view.
#[test]
fn loans_to_an_entry_end_when_it_leaves_the_view() {
    let mut entries = Entries::with_entries(2, 4);
    for _ in 0..50 {
        entries.now += ms(50);
        (0..40).for_each(|_| entries.arrive(1));
        entries.finish(1, usize::MAX);
        entries.exchange();
    }
    assert!(entries.slots(0) < 8);
    let now = entries.now;
    entries.pools[0].apply_view(now, &view(4, 1));
    assert_eq!(entries.slots(0), 32);
}

#[test]
fn a_steady_state_needs_few_reports() {
    let mut entries = Entries::with_entries(3, 6);
    let mut created = 0;
    for round in 0..400 {
        entries.now += ms(50);
        (0..3).for_each(|at| (0..8).for_each(|_| entries.arrive(at)));
        (0..3).for_each(|at| entries.finish(at, usize::MAX));
        for at in 0..3 {
            let Some(report) = entries.pools[at].report_if_changed(entries.now) else {
                continue;
            };
            created += u32::from(round >= 200);
            (0..3).for_each(|at| entries.deliver(at, &report));
        }
    }
    // Three entries over ten seconds, one keep-alive report per five seconds each.
    assert_eq!(created, 6);
}

#[test]
fn reports_of_an_earlier_incarnation_are_ignored() {
    let mut entries = Entries::with_entries(2, 4);
    let lent: BTreeMap<u8, id::Entry> = (0..64).map(|stripe| (stripe, entry(1))).collect();
    let report = |incarnation, seq, lent: &BTreeMap<_, _>| Report {
        entry: entry(0),
        incarnation,
        seq,
        demand: [(name("gojo"), 1.0)].into(),
        lent: lent.clone(),
        seen: BTreeMap::new(),
    };
    entries.deliver(1, &report(2, 1, &BTreeMap::new()));
    entries.deliver(1, &report(1, 9, &lent));
    assert_eq!(entries.slots(1), 16);
    entries.deliver(1, &report(2, 2, &lent));
    assert_eq!(entries.slots(1), 32);
}
