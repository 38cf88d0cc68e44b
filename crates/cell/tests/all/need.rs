//! Scaling estimate: how many workers a pool asks for. Each worker has ten cores.

use crate::{
    cases,
    fixture::{Fixture, job, step, task, worker},
};
use primroseroute_cell::{EvacuationReason, ScalingEstimate};
use primroseroute_domain::work::{Demand, End, Name, Step};
use primroseroute_platform::site::Worker;

cases! {
    pool_without_jobs_needs_one_worker => assert_eq!(wanted(&mut Fixture::new(&["w-1", "w-2"])), 1);
    running_and_waiting_tasks_count_with_headroom => running_and_waiting();
    short_tasks_that_wait_share_workers => short_tasks();
    tasks_that_must_be_spread_need_a_worker_each => spread();
    long_overdue_jobs_add_no_demand => long_overdue();
    steady_arrivals_ask_for_the_capacity_that_they_will_occupy => steady();
    rising_arrivals_are_extrapolated => rise();
    arrivals_that_stop_are_no_longer_expected => arrivals_stop();
    /// Guards against an absurd estimate that asks for workers for as long as the mean remembers it.
    absurd_estimate_is_soon_forgotten => absurd_estimate();
    burst_of_many_jobs_is_estimated_accurately => burst();
    single_job_is_not_a_rate => single_job();
    jobs_that_a_new_owner_loads_are_no_arrivals => loaded_by_new_owner();
    late_work_is_counted_separately => late();
    /// Guards against a task of a spread step that waits forever because the only worker without a sibling is full of long-running
    /// tasks.
    spread_task_that_fits_nowhere_asks_for_another_worker => spread_task_fits_nowhere();
    /// Guards against tasks that wait for isolated runs without any worker, because a few cores would hold them all.
    tasks_that_wait_for_isolated_runs_ask_for_workers => isolated_runs();
    /// Guards against a long overdue job that never runs, because it counts for nothing and fits on none of the workers that
    /// are kept.
    long_overdue_task_that_fits_nowhere_asks_for_another_worker => overdue_task_fits_nowhere();
    long_overdue_task_that_can_wait_for_batch_tasks_asks_for_no_worker => overdue_task_waits();
    run_past_its_objective_counts_as_late => run_becomes_late();
    falling_demand_is_followed_after_a_delay => fall();
    pool_without_work_so_far_keeps_its_initial_workers => initial_workers();
    pool_that_gets_no_work_releases_its_initial_workers => never_used();
    /// Guards against a pool that loses its instances because a registration without a worker states a huge capacity.
    capacity_of_a_registration_without_a_worker_does_not_count => stated_capacity();
    unresponsive_worker_is_replaced => unresponsive();
    worker_evacuated_for_maintenance_is_replaced => evacuated();
}

fn need(fixture: &mut Fixture) -> ScalingEstimate {
    fixture.now += 25;
    let output = fixture.round();
    for order in &output.orders {
        fixture.execute(order);
    }
    output.scaling
}

fn wanted(fixture: &mut Fixture) -> u64 {
    need(fixture).workers
}

/// Right after a takeover four tasks of five cores and two seconds start on two workers, and four wait: 40 cores with a quarter of
/// headroom are five workers.
fn running_and_waiting() {
    let mut fixture = Fixture::just_taken_over(&["w-1", "w-2"]);
    let long = Step {
        estimate_ms: 2_000,
        ..step(8, 5_000)
    };
    fixture.accept(job(vec![long]));
    let need = need(&mut fixture);
    assert_eq!(need.running.cpu, 20_000);
    assert_eq!(need.waiting.cpu, 20_000);
    assert_eq!(need.workers, 5);
}

/// Sixty tasks of one core and a tenth of a second wait while ten run: six cores complete them in a
/// second.
fn short_tasks() {
    let mut fixture = Fixture::new(&["w-1"]);
    let short = Step {
        estimate_ms: 100,
        ..step(70, 1_000)
    };
    fixture.accept(job(vec![short]));
    assert_eq!(need(&mut fixture).waiting.cpu, 6_000);
}

fn spread() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let apart = Step {
        most_per_worker: 1,
        ..step(7, 100)
    };
    fixture.accept(job(vec![apart]));
    assert_eq!(wanted(&mut fixture), 7);
}

/// Past three times its objective of 2.5 s a job has no value left; it runs only on capacity that is free.
fn long_overdue() {
    let mut fixture = Fixture::new(&["w-1"]);
    fixture.accept(job(vec![step(9, 9_000)]));
    assert!(need(&mut fixture).waiting.cpu > 0);
    fixture.now += 8_000;
    assert_eq!(need(&mut fixture).waiting.cpu, 0);
}

fn stated_capacity() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let odd = worker("odd");
    let capacity = Demand {
        cpu: u64::MAX,
        memory: u64::MAX,
        accelerators: u64::MAX,
    };
    fixture.cell.register(Worker { capacity, ..odd });
    let long = Step {
        estimate_ms: 60_000,
        ..step(8, 5_000)
    };
    fixture.accept(job(vec![long]));
    assert_eq!(need(&mut fixture).now, 4);
}

/// Submits jobs of one task of five cores and a second, one each `gap` ms, for `span` ms.
fn arrive(fixture: &mut Fixture, gap: u64, span: u64) -> ScalingEstimate {
    let mut last = need(fixture);
    let until = fixture.now + span;
    let mut next = fixture.now + gap;
    while fixture.now < until {
        if fixture.now >= next {
            next += gap;
            fixture.accept(job(vec![step(1, 5_000)]));
        }
        last = need(fixture);
        fixture.poll_all();
    }
    last
}

/// A busy queue with constant demand: twenty jobs a second of five cores and a second occupy a hundred
/// cores, however many of them have been placed so far.
fn steady() {
    let mut fixture = Fixture::new(&["w-1"]);
    let need = arrive(&mut fixture, 50, 4_000);
    assert_eq!(need.expected.cpu, 100_000);
    assert!(need.running.cpu <= 10_000);
}

/// An estimate of years among jobs of a second.
fn absurd_estimate() {
    let mut fixture = Fixture::new(&["w-1"]);
    arrive(&mut fixture, 50, 2_000);
    let absurd = Step {
        estimate_ms: 1 << 40,
        ..step(1, 5_000)
    };
    fixture.accept(job(vec![absurd]));
    let need = arrive(&mut fixture, 50, 3_000);
    assert!(need.expected.cpu <= 110_000, "{need:?}");
    let inflow = fixture.cell.largest_inflow().expect("a busy queue");
    assert_eq!((&*inflow.queue, inflow.jobs_per_second), ("queue", 20));
    assert!((5_000..5_500).contains(&inflow.job_core_ms), "{inflow:?}");
}

/// The start of a burst: jobs arrive six times as fast as before. The expected demand exceeds what they need
/// at this rate, by at most a factor of three.
fn rise() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let before = arrive(&mut fixture, 600, 3_600);
    assert!(before.expected.cpu <= 10_000, "{before:?}");
    let risen = arrive(&mut fixture, 100, 600);
    let now = 50_000;
    assert!(risen.expected.cpu > 2 * now, "{risen:?}");
    assert!(risen.expected.cpu <= 3 * now, "{risen:?}");
}

/// The end of a burst: no more jobs arrive, and 0.6 s later none are expected.
fn arrivals_stop() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    assert!(arrive(&mut fixture, 100, 2_000).expected.cpu > 0);
    assert_eq!(arrive(&mut fixture, 10_000, 700).expected.cpu, 0);
}

/// A queue with occasional jobs: a large one after a pause is no rising rate. It needs four workers, and asks for
/// less than three times that until it no longer counts in the rate.
fn single_job() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    arrive(&mut fixture, 10_000, 3_000);
    fixture.accept(job(vec![step(8, 5_000)]));
    let need = need(&mut fixture);
    assert!(need.workers < 3 * 4, "{need:?}");
}

/// A new owner loads forty jobs that have waited since the previous owner died. They count as waiting, and not
/// towards the arrival rate.
fn loaded_by_new_owner() {
    let mut fixture = Fixture::just_taken_over(&["w-1"]);
    for _job in 0..40 {
        fixture.accept(job(vec![step(1, 5_000)]));
    }
    fixture.poll_all();
    let need = need(&mut fixture);
    assert_eq!(need.expected.cpu, 0);
    assert!(need.now >= 20, "{need:?}");
}

/// Nine tasks of nine cores have waited for longer than their objective. They ask for workers only beyond
/// those for work that is on time, until they have no value left.
fn late() {
    let mut fixture = Fixture::new(&["w-1"]);
    fixture.accept(job(vec![step(9, 9_000)]));
    let early = need(&mut fixture);
    assert_eq!((early.now, early.late), (9, 0));
    fixture.now += 2_000;
    fixture.poll_all();
    let later = need(&mut fixture);
    assert_eq!((later.now, later.late), (1, 8), "{later:?}");
}

/// A run that continues past its job's objective of 2.5 s counts as late.
fn run_becomes_late() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3"]);
    fixture.accept(job(vec![step(3, 9_000)]));
    let early = need(&mut fixture);
    assert_eq!((early.now, early.late), (3, 0));
    fixture.advance(2_600);
    let later = need(&mut fixture);
    assert_eq!((later.now, later.late), (1, 2), "{later:?}");
}

/// Other pools may take a worker as soon as it isn't needed, and it may be switched off after two seconds.
fn fall() {
    let mut fixture = Fixture::just_taken_over(&["w-1", "w-2", "w-3"]);
    let id = fixture.accept(job(vec![step(3, 5_000)]));
    wanted(&mut fixture);
    for (worker, runs) in fixture.running.clone() {
        for task in runs.into_keys().filter(|task| task.job == id) {
            fixture.end_run(&worker, &task, End::Done);
        }
    }
    fixture.poll_all();
    let before = need(&mut fixture);
    assert_eq!((before.workers, before.scale_down_floor), (1, 2));
    fixture.now += 1_900;
    fixture.poll_all();
    assert_eq!(need(&mut fixture).scale_down_floor, 2);
    fixture.now += 100;
    fixture.poll_all();
    assert_eq!(need(&mut fixture).scale_down_floor, 1);
}

/// Expected number of occupied workers in each of `rounds` rounds of 25 ms, while `jobs` jobs of one task of ten cores and half a
/// second arrive per round.
fn expected(fixture: &mut Fixture, jobs: usize, rounds: usize) -> Vec<u64> {
    let one = Step {
        estimate_ms: 500,
        ..step(1, 10_000)
    };
    let round = |_round| {
        for _job in 0..jobs {
            fixture.accept(job(vec![one.clone()]));
        }
        need(fixture).expected.cpu / 10_000
    };
    (0..rounds).map(round).collect()
}

/// A burst begins abruptly: 400 jobs a second that will occupy 200 workers of ten cores. Within a fifth of a second about as
/// many are expected, and at no time many more: each worker too many is moved there and back.
fn burst() {
    let mut fixture = Fixture::new(&["w-1"]);
    expected(&mut fixture, 0, 100);
    let expected = expected(&mut fixture, 10, 60);
    let first = expected.iter().position(|workers| *workers >= 180);
    assert!(first.is_some_and(|first| first < 8), "{expected:?}");
    let most = expected.iter().max();
    assert!(most.is_some_and(|most| *most <= 260), "{expected:?}");
}

/// A site starts, and its pools have no work until the first burst. Long-running tasks don't count as such. Once batch jobs have
/// arrived and ended, workers that aren't needed are released.
fn initial_workers() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3"]);
    let long_running = Step {
        lasting: true,
        ..step(1, 1_000)
    };
    fixture.accept(job(vec![long_running]));
    fixture.now += 10_000;
    fixture.poll_all();
    let need = need(&mut fixture);
    assert_eq!((need.workers, need.scale_down_floor), (1, 3));
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    wanted(&mut fixture);
    for (worker, runs) in fixture.running.clone() {
        for task in runs.into_keys().filter(|task| task.job == id) {
            fixture.end_run(&worker, &task, End::Done);
        }
    }
    fixture.now += 10_000;
    fixture.poll_all();
    assert_eq!(self::need(&mut fixture).scale_down_floor, 1);
}

/// Where no work ever arrives, the pool releases its workers after a minute like any other.
fn never_used() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3"]);
    assert_eq!(need(&mut fixture).scale_down_floor, 3);
    fixture.now += 60_000;
    fixture.poll_all();
    assert_eq!(need(&mut fixture).scale_down_floor, 1);
}

/// A worker that has become unresponsive is unusable: another is asked for in its place. One that has
/// just registered and wasn't polled yet is waited for.
fn unresponsive() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    assert_eq!(wanted(&mut fixture), 1);
    fixture.cell.register(crate::fixture::worker("w-3"));
    assert_eq!(wanted(&mut fixture), 1);
    fixture.running.remove(&Name::from("w-2"));
    fixture.now += 4_000;
    fixture.poll(&"w-1".into());
    assert_eq!(need(&mut fixture).unusable, 1);
}

/// Each of two workers has a long-running task and no free capacity for another. The one that is due for
/// maintenance can't be evacuated before there is a third worker.
fn evacuated() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let long_running = Step {
        lasting: true,
        ..step(2, 6_000)
    };
    fixture.accept(job(vec![long_running]));
    let before = need(&mut fixture);
    assert_eq!((before.now, before.unusable), (2, 0));
    fixture
        .cell
        .set_evacuating(&"w-1".into(), Some(EvacuationReason::Move));
    assert_eq!(need(&mut fixture).unusable, 0);
    fixture
        .cell
        .set_evacuating(&"w-1".into(), Some(EvacuationReason::Maintenance));
    let after = need(&mut fixture);
    assert_eq!((after.now, after.unusable), (3, 1));
}

/// Three tasks have crashed two workers, and become long overdue: each needs an isolated run, and there is no worker.
fn isolated_runs() {
    let mut fixture = Fixture::just_taken_over(&["w-1", "w-2"]);
    let id = fixture.accept(job(vec![step(3, 1_000)]));
    for on in ["w-1", "w-2"] {
        fixture.execute_round();
        fixture.advance(10);
        assert_eq!(fixture.workers_running(&task(&id, 0, 0)), [Name::from(on)]);
        fixture.running.remove(on);
        let now = fixture.now;
        assert!(fixture.cell.worker_terminated(&on.into(), 1, now));
    }
    let first = need(&mut fixture);
    assert_eq!(first.now + first.late, 4);
    fixture.now += 60_000;
    let later = need(&mut fixture);
    assert_eq!((later.now, later.late), (1, 3));
}

/// Ten long-running tasks fill one worker; of two that must be spread, one occupies the other worker.
fn spread_task_fits_nowhere() {
    let mut fixture = Fixture::just_taken_over(&["w-1", "w-2"]);
    let long_running = |count, most_per_worker| Step {
        lasting: true,
        most_per_worker,
        ..step(count, 1_000)
    };
    fixture.accept(job(vec![long_running(10, 0)]));
    need(&mut fixture);
    fixture.accept(job(vec![long_running(2, 1)]));
    need(&mut fixture);
    assert_eq!(need(&mut fixture).now, 3);
}

/// Long-running tasks occupy six of the ten cores of each of two workers. A task of five cores that is long overdue asks
/// for a worker that is open beside these, also while a third one is about to leave, and one of eleven cores for none.
fn overdue_task_fits_nowhere() {
    let mut fixture = Fixture::just_taken_over(&["w-1", "w-2", "w-3"]);
    fixture
        .cell
        .set_evacuating(&"w-3".into(), Some(EvacuationReason::Move));
    let long_running = Step {
        lasting: true,
        ..step(2, 6_000)
    };
    fixture.accept(job(vec![long_running]));
    need(&mut fixture);
    fixture.accept(job(vec![step(1, 11_000)]));
    let wide = fixture.accept(job(vec![step(1, 5_000)]));
    fixture.now += 60_000;
    fixture.poll_all();
    let asked = need(&mut fixture);
    assert_eq!((asked.now, asked.late), (2, 1), "{asked:?}");
    fixture.cell.set_evacuating(&"w-3".into(), None);
    need(&mut fixture);
    assert_eq!(
        fixture.workers_running(&task(&wide, 0, 0)),
        [Name::from("w-3")]
    );
}

/// One worker is full of batch tasks, which end by themselves.
fn overdue_task_waits() {
    let mut fixture = Fixture::just_taken_over(&["w-1"]);
    fixture.accept(job(vec![step(2, 5_000)]));
    need(&mut fixture);
    fixture.accept(job(vec![step(1, 5_000)]));
    fixture.now += 60_000;
    fixture.poll_all();
    let waiting = need(&mut fixture);
    assert_eq!((waiting.now, waiting.late), (1, 0), "{waiting:?}");
}
