//! Learned run times, as far as they show in the demand of waiting tasks.

use crate::{
    cases,
    fixture::{Fixture, WALL_AT_ZERO_MS, job, starts, step, task},
};
use primroseroute_cell::{EvacuationReason, Order, Terms};
use primroseroute_domain::work::{End, JobId, Name, Step, TaskId};

cases! {
    few_observations_leave_the_estimate => assert_eq!(after(9, 100, 400, 100), 100);
    typical_time_replaces_estimates_that_are_off_by_a_factor => assert_eq!(after(10, 100, 400, 100), 400);
    larger_estimate_of_a_queue_with_equal_ones_stands_for_a_longer_task => assert_eq!(after(10, 100, 200, 400), 800);
    missing_estimate_is_replaced_by_the_typical_time => assert_eq!(after(10, 100, 400, 0), 400);
    runs_without_estimates_are_learned => assert_eq!(after(10, 0, 400, 0), 400);
    exact_estimates_are_kept => exact();
    estimates_without_information_are_ignored => no_information();
    /// Guards against an absurd estimate or a clock that jumps, which would move a mean by a factor.
    absurd_observations_change_little => absurd();
    tasks_of_one_step_are_one_observation => one_step();
    ended_siblings_decide_for_the_rest_of_their_step => siblings(None);
    progress_of_siblings_decides_before_they_end => siblings(Some(25));
    /// Guards against a queue whose tasks look short as long as only its short ones have ended.
    long_tasks_under_way_are_learned_from_too => long_tasks();
    /// Guards against run times that are derived from progress that isn't that of the run.
    progress_that_falls_is_not_learned_from => progress(&[30, 25]);
    progress_above_the_whole_is_not_learned_from => progress(&[130, 130]);
    /// Guards against the remainder of a run being taken for its whole.
    resumed_runs_are_not_learned_from => resumed();
    /// Guards against times since a takeover being taken for run times.
    runs_of_a_previous_owner_are_not_learned_from => previous_owner();
    /// Guards against a suspended owner that takes the time of its suspension for run times.
    ends_in_late_statuses_are_not_learned_from => late_status();
    end_without_a_start_is_not_learned_from => without_start();
    learned_times_expire => expiry();
    least_recently_observed_of_too_many_queues_is_forgotten => too_many_queues();
    learned_times_order_jobs => order();
    /// Guards against objectives from estimates that are too low, by which jobs are late from their start.
    underestimated_job_is_not_late_from_its_start => underestimated();
}

fn estimated(count: u16, cpu: u64, estimate_ms: u64) -> Step {
    Step {
        estimate_ms,
        ..step(count, cpu)
    }
}

/// Starts a job of `count` tasks.
fn start(fixture: &mut Fixture, count: u16, estimate_ms: u64) -> JobId {
    let id = fixture.accept(job(vec![estimated(count, 100, estimate_ms)]));
    fixture.execute_round();
    id
}

fn end(fixture: &mut Fixture, task: &TaskId) {
    for worker in fixture.workers_running(task) {
        fixture.end_run(&worker, task, End::Done);
    }
}

/// Runs a job of one task that takes `ms`.
fn run(fixture: &mut Fixture, estimate_ms: u64, ms: u64) {
    let id = start(fixture, 1, estimate_ms);
    fixture.now += ms;
    end(fixture, &task(&id, 0, 0));
    fixture.poll_all();
    fixture.execute_round();
}

/// Demand of waiting tasks per thousand tasks of twenty cores that fit on no worker: their run time.
fn waiting_ms(fixture: &mut Fixture) -> u64 {
    fixture.now += 300;
    fixture.poll_all();
    fixture.round().scaling.waiting.cpu / 20_000
}

/// The mean run time that is predicted for an estimate, up to a second.
fn predicted(fixture: &mut Fixture, estimate_ms: u64) -> u64 {
    let id = fixture.accept(job(vec![estimated(1_000, 20_000, estimate_ms)]));
    let ms = waiting_ms(fixture);
    fixture.cell.cancel(&id, WALL_AT_ZERO_MS + fixture.now);
    ms
}

/// The prediction for `estimate_ms` after `runs` runs that took `ms`, each estimated as `told_ms`.
fn after(runs: usize, told_ms: u64, ms: u64, estimate_ms: u64) -> u64 {
    let mut fixture = Fixture::new(&["w-1"]);
    for _run in 0..runs {
        run(&mut fixture, told_ms, ms);
    }
    predicted(&mut fixture, estimate_ms)
}

fn exact() {
    let mut fixture = Fixture::new(&["w-1"]);
    for number in 0..40 {
        let ms = 100 + 100 * (number % 8);
        run(&mut fixture, ms, ms);
    }
    for ms in [120, 400, 800] {
        let predicted = predicted(&mut fixture, ms);
        assert!(predicted.abs_diff(ms) <= 2, "{predicted} {ms}");
    }
}

/// All tasks take 400 ms, whatever their callers estimate.
fn no_information() {
    let mut fixture = Fixture::new(&["w-1"]);
    for number in 0..40 {
        run(&mut fixture, 100 << (number % 5), 400);
    }
    for estimate_ms in [100, 400, 1_600] {
        let predicted = predicted(&mut fixture, estimate_ms);
        assert!((380..420).contains(&predicted), "{predicted}");
    }
}

fn absurd() {
    let mut fixture = Fixture::new(&["w-1"]);
    for _run in 0..60 {
        run(&mut fixture, 100, 400);
    }
    run(&mut fixture, 1 << 40, 400);
    let after_estimate = predicted(&mut fixture, 100);
    assert!((350..450).contains(&after_estimate), "{after_estimate}");
    let id = start(&mut fixture, 1, 100);
    for _second in 0..500 {
        fixture.advance(1_000);
    }
    end(&mut fixture, &task(&id, 0, 0));
    fixture.poll_all();
    let after_run = predicted(&mut fixture, 100);
    assert!((350..480).contains(&after_run), "{after_run}");
}

/// Twenty tasks end, all of one step.
fn one_step() {
    let mut fixture = Fixture::new(&["w-1"]);
    let id = start(&mut fixture, 20, 100);
    fixture.now += 400;
    for index in 0..20 {
        end(&mut fixture, &task(&id, 0, index));
    }
    fixture.poll_all();
    assert_eq!(predicted(&mut fixture, 100), 100);
}

/// Two tasks of a step run for 200 ms, a thousand wait; nothing is known of the queue.
fn siblings(percent: Option<u32>) {
    let mut fixture = Fixture::new(&["w-1"]);
    let id = fixture.accept(job(vec![estimated(1_000, 5_000, 100)]));
    assert_eq!(starts(&fixture.execute_round()).len(), 2);
    fixture.now += 200;
    for index in 0..2 {
        let task = task(&id, 0, index);
        match percent {
            None => end(&mut fixture, &task),
            Some(percent) => list(&mut fixture, &task, percent),
        }
    }
    fixture.poll_all();
    fixture
        .cell
        .set_evacuating(&"w-1".into(), Some(EvacuationReason::Move));
    let waiting = fixture.round().scaling.waiting.cpu;
    let whole_ms = if percent.is_some() { 800 } else { 200 };
    assert_eq!(waiting, 998 * 5 * whole_ms);
}

/// Ten tasks of 200 ms have ended, ten of 800 ms run.
fn long_tasks() {
    let mut fixture = Fixture::new(&["w-1"]);
    let ids: Vec<JobId> = (0..20).map(|_job| start(&mut fixture, 1, 100)).collect();
    fixture.now += 200;
    let (short, long) = ids.split_at(10);
    for id in short {
        end(&mut fixture, &task(id, 0, 0));
    }
    for id in long {
        list(&mut fixture, &task(id, 0, 0), 25);
    }
    fixture.poll_all();
    let predicted = predicted(&mut fixture, 100);
    assert!((450..650).contains(&predicted), "{predicted}");
}

fn list(fixture: &mut Fixture, task: &TaskId, percent: u32) {
    for running in fixture.running.values_mut() {
        if let Some((_run, listed)) = running.get_mut(task) {
            *listed = percent;
        }
    }
}

/// A dozen jobs' tasks are listed with progress that can't be theirs, and end.
fn progress(percents: &[u32]) {
    let mut fixture = Fixture::new(&["w-1"]);
    for _job in 0..12 {
        let id = start(&mut fixture, 1, 100);
        for (percent, ms) in percents.iter().zip([50, 500]) {
            list(&mut fixture, &task(&id, 0, 0), *percent);
            fixture.advance(ms);
        }
        end(&mut fixture, &task(&id, 0, 0));
        fixture.poll_all();
    }
    assert_eq!(predicted(&mut fixture, 100), 100);
}

/// Runs that failed with a checkpoint go on for another 50 ms.
fn resumed() {
    let mut fixture = Fixture::new(&["w-1"]);
    for _job in 0..12 {
        let id = start(&mut fixture, 1, 400);
        let task = task(&id, 0, 0);
        fixture.now += 350;
        fixture.fail_with_checkpoint(&task);
        fixture.poll_all();
        fixture.execute_round();
        fixture.now += 50;
        end(&mut fixture, &task);
        fixture.poll_all();
    }
    assert_eq!(predicted(&mut fixture, 400), 400);
}

fn previous_owner() {
    let mut fixture = Fixture::new(&["w-1"]);
    let ids: Vec<JobId> = (0..12).map(|_job| start(&mut fixture, 1, 400)).collect();
    fixture.now += 380;
    fixture.replace_owner();
    fixture.poll_all();
    fixture.execute_round();
    fixture.now += 20;
    for id in &ids {
        end(&mut fixture, &task(id, 0, 0));
    }
    fixture.poll_all();
    assert_eq!(predicted(&mut fixture, 400), 400);
}

fn late_status() {
    let mut fixture = Fixture::new(&["w-1"]);
    for _job in 0..12 {
        let id = start(&mut fixture, 1, 400);
        let sent_at = fixture.now;
        fixture.now += 3_000;
        end(&mut fixture, &task(&id, 0, 0));
        fixture.poll_sent_at(&"w-1".into(), sent_at);
    }
    assert_eq!(predicted(&mut fixture, 400), 400);
}

/// The answers to the starts are still under way when the runs end.
fn without_start() {
    let mut fixture = Fixture::new(&["w-1"]);
    let worker = Name::from("w-1");
    for _job in 0..12 {
        let id = fixture.accept(job(vec![estimated(1, 100, 400)]));
        let task = task(&id, 0, 0);
        for order in fixture.round().orders {
            if let Order::Start { run, .. } = order {
                let running = fixture.running.entry(Name::clone(&worker)).or_default();
                running.insert(task.clone(), (run, 0));
            }
        }
        fixture.now += 50;
        end(&mut fixture, &task);
        fixture.poll_all();
        fixture.round();
    }
    assert_eq!(predicted(&mut fixture, 400), 400);
}

fn expiry() {
    let mut fixture = Fixture::new(&["w-1"]);
    for _run in 0..10 {
        run(&mut fixture, 100, 400);
    }
    fixture.now += 590_000;
    assert_eq!(predicted(&mut fixture, 100), 400);
    fixture.now += 10_000;
    assert_eq!(predicted(&mut fixture, 100), 100);
}

fn too_many_queues() {
    let mut fixture = Fixture::new(&["w-1"]);
    for _run in 0..10 {
        run(&mut fixture, 100, 400);
    }
    for number in 0..256 {
        fixture.queue = format!("queue-{number}").into();
        assert_eq!(predicted(&mut fixture, 100), 100);
        run(&mut fixture, 100, 400);
    }
    fixture.queue = "queue".into();
    assert_eq!(predicted(&mut fixture, 100), 100);
}

/// Two jobs wait for one worker: the first is estimated as the shorter one, but jobs of its queue take ten times their estimate.
fn order() {
    let mut fixture = Fixture::new(&["w-1"]);
    fixture.queue = "underestimated".into();
    for _run in 0..10 {
        run(&mut fixture, 100, 1_000);
    }
    fixture.accept(job(vec![estimated(1, 10_000, 100)]));
    fixture.queue = "queue".into();
    let short = fixture.accept(job(vec![estimated(1, 10_000, 300)]));
    fixture.now += 300;
    fixture.poll_all();
    let started = starts(&fixture.execute_round());
    assert_eq!(started, [(task(&short, 0, 0), Name::from("w-1"))]);
}

/// Tasks are estimated at 300 ms and take 2 s, which is more than an objective from their estimate
/// allows.
fn underestimated() {
    let mut fixture = Fixture::new(&["w-1"]);
    let terms = Terms {
        stretch: 2.0,
        target_ms: 500,
    };
    fixture
        .cell
        .set_queue_terms([(Name::clone(&fixture.queue), terms)].into());
    for _run in 0..10 {
        run(&mut fixture, 300, 2_000);
    }
    fixture.accept(job(vec![estimated(1, 20_000, 300)]));
    fixture.now += 300;
    fixture.poll_all();
    let scaling = fixture.round().scaling;
    assert_eq!((scaling.now, scaling.late), (2, 0));
}
