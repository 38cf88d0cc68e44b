//! Order and marks of jobs whose accounts submit more than they are entitled to.

use crate::{
    cases,
    fixture::{Fixture, WALL_AT_ZERO_MS, job, starts, step},
};
use primroseroute_admission::Waiting;
use primroseroute_cell::{Millis, Order};
use primroseroute_domain::work::{Demand, End, Job, JobId, Name, Schedule, Step, TaskId};
use std::collections::BTreeMap;

cases! {
    /// Short jobs of one account, several times its entitlement, would go before all others.
    flood_of_one_account_lets_entitled_jobs_of_others_go_first => flood();
    /// Marks would depend on how the feed happens to hand in a batch.
    marks_do_not_depend_on_the_order_within_a_batch => any_order();
    /// A successor would let other jobs of a burst go first than its predecessor did.
    successor_in_the_middle_of_a_burst_marks_the_same_jobs => taken_over();
    /// A full read would use up the entitlement once more.
    jobs_that_are_read_again_are_not_counted_twice => read_again();
    /// Jobs from an entry whose clock is an hour behind would all be within the entitlement.
    jobs_of_an_entry_with_a_wrong_clock_count_at_the_time_of_the_owner => wrong_clock();
    /// An owner that stood still would take what arrived meanwhile for a burst.
    jobs_that_an_owner_learns_of_late_count_when_they_were_accepted => late_feed();
    removed_account_has_no_entitlement_for_waiting_jobs => removed();
    /// Running work would make jobs seem to wait in a pool with free workers.
    backlog_counts_neither_running_nor_long_running_nor_scheduled_nor_long_overdue_jobs => backlog();
    /// A step beyond the entitlement would wait for as long as others arrive.
    step_that_has_waited_for_long_goes_first => aging(true, Some(5_100));
    pool_without_accounts_has_no_aging => aging(false, None);
    /// A flood would go first again as soon as its jobs have waited for long.
    aged_steps_get_a_sixteenth_of_the_pool => aged_share();
    /// Smaller tasks would take what is free before a gang fits.
    workers_are_reserved_for_a_gang_that_has_waited_for_long => gang(10_000);
    workers_are_reserved_for_a_late_gang_before_jobs_in_time => gang(2_500);
    /// Smaller tasks would take what is free before enough of it is.
    worker_is_reserved_for_a_wide_task_that_has_waited_for_long => wide();
}

fn set_weights(fixture: &mut Fixture, weights: &[(&str, f64)]) {
    let names = weights.iter().map(|(name, _weight)| Name::from(*name));
    let names: Vec<Name> = names.collect();
    let weights = names
        .iter()
        .zip(weights.iter().map(|(_name, weight)| *weight));
    fixture.cell.set_account_weights(weights);
}

/// A cell whose weights are known.
fn fixture(workers: &[&str], weights: &[(&str, f64)]) -> Fixture {
    let mut fixture = Fixture::new(workers);
    set_weights(&mut fixture, weights);
    fixture.round();
    fixture
}

/// A job with one task that takes `estimate_ms`.
fn lasting(estimate_ms: u64, cpu: u64) -> Job {
    job(vec![Step {
        estimate_ms,
        ..step(1, cpu)
    }])
}

fn backlog_of(fixture: &Fixture) -> BTreeMap<Option<Name>, Waiting> {
    let wall_ms = WALL_AT_ZERO_MS + fixture.now;
    fixture.cell.backlog(wall_ms).accounts
}

fn of(fixture: &Fixture, account: &str) -> Waiting {
    let backlog = backlog_of(fixture);
    backlog
        .get(&Some(account.into()))
        .copied()
        .unwrap_or_default()
}

/// Remaining work within and beyond the entitlement of `a`, and the jobs accepted so.
fn figures(fixture: &Fixture) -> [u64; 4] {
    let a = of(fixture, "a");
    [
        a.within_core_ms,
        a.beyond_core_ms,
        a.accepted_within,
        a.accepted_beyond,
    ]
}

fn started(orders: &[Order]) -> Vec<JobId> {
    let starts = starts(orders).into_iter();
    starts.map(|(task, _worker)| task.job).collect()
}

fn flood() {
    let mut fixture = fixture(&["w"], &[("flood", 2.0), ("one", 2.0), ("other", 2.0)]);
    let of_flood = |_job| fixture.accept_from(Some("flood"), lasting(100, 1_000));
    let of_flood: Vec<JobId> = (0..12).map(of_flood).collect();
    let mut expected = of_flood[..2].to_vec();
    for account in ["one", "other", "one", "other"] {
        expected.push(fixture.accept_from(Some(account), lasting(800, 2_000)));
    }
    let mut started = started(&fixture.execute_round());
    started.sort_unstable();
    assert_eq!(started, expected);
}

fn any_order() {
    let burst = |fixture: &mut Fixture, order: &[u64]| {
        for number in order {
            let at = WALL_AT_ZERO_MS + number * 10;
            fixture.accept_at(at, Some("a"), lasting(1 << number, 1_000));
        }
        fixture.round();
        figures(fixture)
    };
    let mut one = fixture(&[], &[("a", 3.0)]);
    let mut other = fixture(&[], &[("a", 3.0)]);
    let expected = burst(&mut one, &[0, 1, 2, 3, 4, 5]);
    assert_eq!(expected, [0b111, 0b11_1000, 3, 3]);
    assert_eq!(burst(&mut other, &[5, 2, 0, 4, 1, 3]), expected);
}

fn taken_over() {
    let mut fixture = fixture(&["w"], &[("a", 3.0)]);
    let submit = |fixture: &mut Fixture, exponents: std::ops::Range<u32>| {
        for exponent in exponents {
            fixture.accept_from(Some("a"), lasting(1 << exponent, 5_000));
        }
    };
    submit(&mut fixture, 10..14);
    let first = started(&fixture.execute_round());
    assert_eq!(first.len(), 2);
    fixture.advance(400);
    fixture.end_run(
        &"w".into(),
        &TaskId {
            job: first[0].clone(),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        End::Done,
    );
    submit(&mut fixture, 14..18);
    fixture.advance(200);
    fixture.execute_round();
    let [within, beyond, ..] = figures(&fixture);
    assert!(within > 0 && beyond > within);
    fixture.replace_owner();
    set_weights(&mut fixture, &[("a", 3.0)]);
    fixture.round();
    assert_eq!(figures(&fixture), [within, beyond, 0, 0]);
}

fn read_again() {
    let mut fixture = fixture(&[], &[("a", 4.0)]);
    for _job in 0..3 {
        fixture.accept_from(Some("a"), lasting(100, 1_000));
    }
    fixture.round();
    fixture.read_again();
    fixture.accept_from(Some("a"), lasting(100, 1_000));
    fixture.read_again();
    fixture.round();
    assert_eq!(figures(&fixture), [400, 0, 4, 0]);
}

fn wrong_clock() {
    let hour = 3_600_000;
    let mut fixture = fixture(&[], &[("a", 4.0)]);
    for number in 0..8 {
        let behind = WALL_AT_ZERO_MS - number * 1_500;
        let ahead = WALL_AT_ZERO_MS + hour + number * 1_500;
        for at in [behind, ahead] {
            fixture.accept_at(at, Some("a"), lasting(100, 1_000));
        }
    }
    fixture.round();
    assert_eq!(of(&fixture, "a").accepted_within, 4);
    fixture.advance(1_000);
    for _job in 0..8 {
        fixture.accept_from(Some("a"), lasting(100, 1_000));
    }
    fixture.round();
    assert_eq!(of(&fixture, "a").accepted_within, 8);
}

fn late_feed() {
    let mut fixture = fixture(&[], &[("a", 4.0)]);
    for number in 0..16 {
        let at = WALL_AT_ZERO_MS + number * 250;
        fixture.accept_at(at, Some("a"), lasting(100, 1_000));
    }
    fixture.advance(4_000);
    fixture.round();
    assert_eq!(of(&fixture, "a").accepted_within, 16);
}

fn removed() {
    let mut fixture = fixture(&[], &[("a", 4.0)]);
    fixture.accept_from(Some("a"), lasting(100, 1_000));
    fixture.round();
    assert_eq!(figures(&fixture), [100, 0, 1, 0]);
    set_weights(&mut fixture, &[("b", 4.0)]);
    fixture.accept_from(Some("a"), lasting(100, 1_000));
    fixture.round();
    assert_eq!(figures(&fixture), [0, 200, 1, 1]);
}

fn backlog() {
    let mut fixture = fixture(&["v", "w"], &[("a", 9.0)]);
    let long_running = Step {
        lasting: true,
        ..step(1, 4_000)
    };
    fixture.accept_from(Some("a"), job(vec![long_running]));
    let schedule = Schedule {
        times: 1,
        first_ms: WALL_AT_ZERO_MS + 9_000,
        interval_ms: 1_000,
    };
    fixture.accept_from(
        Some("a"),
        Job {
            schedule: Some(schedule),
            ..lasting(1_000, 1_000)
        },
    );
    fixture.accept_from(Some("a"), lasting(5_000, 8_000));
    fixture.accept(lasting(6_000, 9_000));
    let short = Step {
        label: Some("none".into()),
        ..step(3, 1_000)
    };
    fixture.accept_from(Some("a"), job(vec![short]));
    fixture.execute_round();
    assert_eq!(figures(&fixture), [3_000, 0, 2, 0]);
    let backlog = fixture.cell.backlog(WALL_AT_ZERO_MS);
    assert_eq!(
        (backlog.capacity_cpu, backlog.largest_worker),
        (16_000, Demand::default())
    );
    let public = backlog.accounts[&None];
    assert_eq!((public.beyond_core_ms, public.accepted_beyond), (54_000, 1));
    // Three times the objective of the short job.
    fixture.advance(7_501);
    assert_eq!(figures(&fixture), [0, 0, 2, 0]);
}

/// Ends all runs but those of `but`.
fn end_others(fixture: &mut Fixture, but: &[JobId]) {
    for (worker, runs) in fixture.running.clone() {
        for task in runs.into_keys().filter(|task| !but.contains(&task.job)) {
            fixture.end_run(&worker, &task, End::Done);
        }
    }
}

/// When the single job starts that isn't within an entitlement, beside more of others than fit.
fn aging(with_accounts: bool, expected: Option<Millis>) {
    let mut fixture = fixture(&["w"], &[("a", 300.0)]);
    let [a, b] = [Some("a"), Some("b")].map(|account| account.filter(|_name| with_accounts));
    let waiting = fixture.accept_from(b, lasting(10_000, 2_500));
    let mut started_at = None;
    while fixture.now < 6_000 {
        for _job in 0..6 {
            fixture.accept_from(a, lasting(1_000, 2_500));
        }
        if started(&fixture.execute_round()).contains(&waiting) {
            started_at.get_or_insert(fixture.now);
        }
        end_others(&mut fixture, &[]);
        fixture.advance(100);
    }
    assert_eq!(started_at, expected);
}

fn aged_share() {
    let mut fixture = fixture(&["v", "w"], &[("a", 300.0)]);
    let waiting = |_job| fixture.accept_from(Some("b"), lasting(10_000, 1_000));
    let waiting: Vec<JobId> = (0..20).map(waiting).collect();
    fixture.advance(5_100);
    for _job in 0..40 {
        fixture.accept_from(Some("a"), lasting(1_000, 1_000));
    }
    let aged = |orders: &[Order]| {
        let started = started(orders).into_iter();
        started.filter(|job| waiting.contains(job)).count()
    };
    // A sixteenth is 1.25 cores, and the last task may exceed it.
    assert_eq!(aged(&fixture.execute_round()), 2);
    end_others(&mut fixture, &waiting);
    fixture.advance(100);
    assert_eq!(aged(&fixture.execute_round()), 0);
    end_others(&mut fixture, &[]);
    for _job in 0..40 {
        fixture.accept_from(Some("a"), lasting(1_000, 1_000));
    }
    fixture.advance(100);
    assert_eq!(aged(&fixture.execute_round()), 2);
}

/// Lets smaller jobs compete with one that has to start within 7 s; nothing is stopped for it.
fn compete(fixture: &mut Fixture, waiting: &JobId) {
    let mut ends: BTreeMap<Millis, Vec<(TaskId, Name)>> = BTreeMap::new();
    for _job in 0..60 {
        fixture.accept_from(Some("a"), lasting(1_000, 1_000));
    }
    while fixture.now < 7_000 {
        for _job in 0..2 {
            fixture.accept_from(Some("a"), lasting(1_000, 1_000));
        }
        let orders = fixture.execute_round();
        assert_eq!(starts(&orders).len(), orders.len());
        for (task, worker) in starts(&orders) {
            if task.job == *waiting {
                assert!(fixture.now > 5_000);
                return;
            }
            // Some take longer, so that workers are never empty.
            let takes = 500 + u64::from(task.job.as_str().as_bytes()[15]) % 7 * 100;
            ends.entry(fixture.now + takes)
                .or_default()
                .push((task, worker));
        }
        fixture.advance(50);
        while let Some(due) = ends.first_entry().filter(|due| *due.key() <= fixture.now) {
            for (task, worker) in due.remove() {
                fixture.end_run(&worker, &task, End::Done);
            }
        }
        fixture.poll_all();
    }
    panic!("it never starts");
}

fn gang(estimate_ms: u64) {
    let mut fixture = fixture(&["u", "v", "w"], &[("a", 300.0)]);
    let gang = Step {
        gang: true,
        estimate_ms,
        ..step(4, 5_000)
    };
    let waiting = fixture.accept_from(Some("b"), job(vec![gang]));
    compete(&mut fixture, &waiting);
}

fn wide() {
    let mut fixture = fixture(&["v", "w"], &[("a", 300.0)]);
    let waiting = fixture.accept_from(Some("b"), lasting(10_000, 9_000));
    compete(&mut fixture, &waiting);
}
