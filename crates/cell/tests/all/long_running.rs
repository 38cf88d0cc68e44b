//! Long-running tasks move off workers that are evacuated, and no step has more tasks unavailable than it allows.

use crate::{
    cases,
    fixture::{Fixture, job, step, task},
};
use primroseroute_cell::{EvacuationReason, Order, Outcome};
use primroseroute_domain::work::{JobId, Name, Step, TaskId};

cases! {
    one_task_of_a_step_moves_at_a_time => one_at_a_time();
    no_task_moves_while_another_is_unavailable => none_while_unavailable();
    no_task_moves_while_only_a_late_poll_response_shows_the_other => late_response();
    no_task_moves_without_capacity_elsewhere => no_capacity();
    tasks_leave_a_draining_worker_at_once => leave_draining_worker();
    new_owner_counts_tasks_that_are_being_stopped => taken_over();
    stop_is_resent_only_while_the_task_may_be_unavailable => resent();
    new_owner_resends_a_stop_only_while_the_task_may_be_unavailable => resent_by_new_owner();
    stop_without_effect_does_not_block_others_forever => not_blocked_forever();
    tasks_of_several_jobs_are_packed_on_few_workers => packed();
    worker_near_its_latency_target_gets_no_other_task => near_latency_target();
}

fn long_running(count: u16, cpu: u64) -> Step {
    Step {
        lasting: true,
        may_miss: 1,
        most_per_worker: 1,
        ..step(count, cpu)
    }
}

/// A fixture with a step of two ready long-running tasks, and the workers that run them.
fn with_ready_tasks(workers: &[&str], cpu: u64) -> (Fixture, JobId, [Name; 2]) {
    let mut fixture = Fixture::new(workers);
    let id = fixture.accept(job(vec![long_running(2, cpu)]));
    fixture.execute_round();
    fixture.mark_all_ready();
    fixture.advance(100);
    fixture.execute_round();
    let on = [0, 1].map(|index| Name::clone(&fixture.workers_running(&task(&id, 0, index))[0]));
    (fixture, id, on)
}

fn unavailable(fixture: &Fixture, id: &JobId) -> usize {
    let indexes = 0..2;
    indexes
        .filter(|index| {
            let id = task(id, 0, *index);
            !fixture.running.values().any(|running| {
                running
                    .get(&id)
                    .is_some_and(|(_run, percent)| *percent == 100)
            })
        })
        .count()
}

fn one_at_a_time() {
    let (mut fixture, id, on) = with_ready_tasks(&["w-1", "w-2", "w-3", "w-4"], 1_000);
    for worker in &on {
        fixture
            .cell
            .set_evacuating(worker, Some(EvacuationReason::Maintenance));
    }
    for round in 0..40 {
        fixture.execute_round();
        assert!(
            unavailable(&fixture, &id) <= 1,
            "two are unavailable in round {round}"
        );
        fixture.advance(100);
        if round % 5 == 4 {
            fixture.mark_all_ready();
            fixture.advance(10);
        }
    }
    for worker in &on {
        assert_eq!(fixture.cell.runs_on(worker), 0, "{worker} still has runs");
    }
}

fn none_while_unavailable() {
    let (mut fixture, id, on) = with_ready_tasks(&["w-1", "w-2", "w-3"], 1_000);
    // The second task keeps running, but its worker no longer answers.
    fixture
        .cell
        .set_evacuating(&on[0], Some(EvacuationReason::Maintenance));
    let unresponsive = Name::clone(&on[1]);
    for _tenth in 0..35 {
        fixture.now += 100;
        for id in ["w-1", "w-2", "w-3"] {
            if *id != *unresponsive {
                fixture.poll(&id.into());
            }
        }
    }
    fixture.execute_round();
    assert_eq!(
        fixture.workers_running(&task(&id, 0, 0)),
        vec![Name::clone(&on[0])]
    );
}

// The owner's process is suspended for twelve seconds. The worker of the second task dies meanwhile, and responses to polls that
// were sent before the suspension are processed afterwards. They still show the second task as ready; on that evidence the first
// one was moved, and both were unavailable.
fn late_response() {
    let (mut fixture, id, on) = with_ready_tasks(&["w-1", "w-2", "w-3"], 1_000);
    let sent_at = fixture.now;
    fixture.now += 12_000;
    fixture.poll_sent_at(&on[1], sent_at);
    for worker in ["w-1", "w-2", "w-3"].map(Name::from) {
        if worker != on[1] {
            fixture.poll(&worker);
        }
    }
    fixture
        .cell
        .set_evacuating(&on[0], Some(EvacuationReason::Maintenance));
    let orders = fixture.execute_round();
    let stops = |order: &Order| matches!(order, Order::Stop { task: stopped, .. } if *stopped == task(&id, 0, 0));
    assert!(!orders.iter().any(stops), "{orders:?}");
}

fn no_capacity() {
    let (mut fixture, id, on) = with_ready_tasks(&["w-1", "w-2"], 6_000);
    fixture
        .cell
        .set_evacuating(&on[0], Some(EvacuationReason::Maintenance));
    fixture.execute_round();
    assert_eq!(
        fixture.workers_running(&task(&id, 0, 0)),
        vec![Name::clone(&on[0])]
    );
}

fn leave_draining_worker() {
    let (mut fixture, id, on) = with_ready_tasks(&["w-1", "w-2", "w-3"], 1_000);
    let mut info = crate::fixture::worker(&on[0]);
    info.draining = true;
    fixture.cell.register(info);
    fixture.execute_round();
    fixture.advance(100);
    fixture.execute_round();
    let now = fixture.workers_running(&task(&id, 0, 0));
    assert!(now.len() == 1 && now[0] != on[0], "{now:?}");
}

// An owner stops a task on a worker that is evacuated, and a new owner takes over before the worker has
// ended the run: poll responses still show it as ready. The new owner evacuates a second worker. It must
// count the first task as unavailable, or two are where only one may be; and it must resend the stop,
// which may never have been sent.
fn taken_over() {
    let (mut fixture, id, on) = with_ready_tasks(&["w-1", "w-2", "w-3", "w-4"], 1_000);
    fixture
        .cell
        .set_evacuating(&on[0], Some(EvacuationReason::Maintenance));
    let first = Order::Stop {
        worker: Name::clone(&on[0]),
        task: task(&id, 0, 0),
        run: 1,
    };
    assert_eq!(fixture.round().orders, vec![first.clone()]);
    fixture.replace_owner();
    fixture.advance(100);
    fixture
        .cell
        .set_evacuating(&on[1], Some(EvacuationReason::Maintenance));
    assert_eq!(fixture.execute_round(), vec![first]);
    for round in 0..40 {
        fixture.advance(100);
        fixture.execute_round();
        assert!(
            unavailable(&fixture, &id) <= 1,
            "two are unavailable in round {round}"
        );
        if round % 5 == 4 {
            fixture.mark_all_ready();
        }
    }
    assert_eq!(fixture.cell.runs_on(&on[1]), 0, "{} still has runs", on[1]);
}

/// A fixture whose first task is to leave its worker, with the stop, which was never delivered.
fn undelivered_stop(workers: &[&str]) -> (Fixture, JobId, [Name; 2], Order) {
    let (mut fixture, id, on) = with_ready_tasks(workers, 1_000);
    fixture
        .cell
        .set_evacuating(&on[0], Some(EvacuationReason::Maintenance));
    let output = fixture.round();
    let orders = fixture.revalidate(output);
    let stop = Order::Stop {
        worker: Name::clone(&on[0]),
        task: task(&id, 0, 0),
        run: 1,
    };
    assert_eq!(orders, vec![stop.clone()]);
    (fixture, id, on, stop)
}

/// Terminates all workers except that of the first task.
fn lose_others(fixture: &mut Fixture, id: &JobId, on: &[Name; 2]) {
    let others: Vec<Name> = fixture.running.keys().map(Name::clone).collect();
    for other in others.iter().filter(|other| **other != on[0]) {
        fixture.cell.worker_terminated(other, 1, fixture.now);
        fixture.running.remove(other);
    }
    fixture.round();
    assert_eq!(fixture.workers_running(&task(id, 0, 1)), Vec::<Name>::new());
}

/// Adds a worker on which the second task becomes ready, and checks that the first one then moves.
fn moves_once_other_is_ready(fixture: &mut Fixture, stop: &Order) {
    fixture.cell.register(crate::fixture::worker("w-9"));
    fixture
        .running
        .insert("w-9".into(), std::collections::BTreeMap::new());
    fixture.advance(100);
    fixture.execute_round();
    fixture.mark_all_ready();
    fixture.advance(100);
    assert!(
        fixture.execute_round().contains(stop),
        "the first task no longer moves"
    );
}

// A step allows one of its two tasks to be unavailable. The stop of the first, which moves, doesn't reach its worker. Then the
// second one's worker dies. The stop was resent every half second without checking that, and once it arrived both were unavailable.
fn resent() {
    let (mut fixture, id, on, stop) = undelivered_stop(&["w-1", "w-2", "w-3"]);
    lose_others(&mut fixture, &id, &on);
    for _half_second in 0..6 {
        fixture.advance(600);
        assert!(
            !fixture.execute_round().contains(&stop),
            "both are unavailable"
        );
    }
    moves_once_other_is_ready(&mut fixture, &stop);
}

// The same, with a new owner. It read in the row that the first task is to stop, and sent the stop in its first round, before it
// knew the state of the other task.
fn resent_by_new_owner() {
    let (mut fixture, id, on, stop) = undelivered_stop(&["w-1", "w-2", "w-3"]);
    lose_others(&mut fixture, &id, &on);
    fixture.replace_owner();
    assert!(
        !fixture.execute_round().contains(&stop),
        "the state of the other is unknown"
    );
    fixture.advance(600);
    assert!(
        !fixture.execute_round().contains(&stop),
        "both are unavailable"
    );
    moves_once_other_is_ready(&mut fixture, &stop);
}

// The starts of both tasks of a step get no answer, nor do the stops that are to resolve them, and both tasks are running. Each is
// to stop, and counts as unavailable for the other. Once no stop can be in flight any more both count as ready again, and their
// runs are resolved one after the other, never both at once.
fn not_blocked_forever() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3"]);
    let id = fixture.accept(job(vec![long_running(2, 1_000)]));
    let output = fixture.round();
    let mut runs: Vec<(Name, TaskId)> = Vec::new();
    for order in fixture.revalidate(output) {
        let Order::Start {
            worker, task, run, ..
        } = order
        else {
            continue;
        };
        let running = fixture.running.entry(Name::clone(&worker)).or_default();
        running.insert(task.clone(), (run, 0));
        let now = fixture.now;
        fixture
            .cell
            .record_start_outcome(&worker, &task, run, Outcome::Unknown, now);
        runs.push((worker, task));
    }
    let output = fixture.round();
    fixture.revalidate(output);
    fixture.mark_all_ready();
    for _second in 0..40 {
        fixture.advance(1_000);
        fixture.execute_round();
        assert!(unavailable(&fixture, &id) <= 1, "both are unavailable");
        fixture.mark_all_ready();
    }
    let resolved = |(worker, task): &(Name, TaskId)| {
        fixture.running[worker]
            .get(task)
            .is_none_or(|(run, _percent)| *run > 1)
    };
    assert!(runs.iter().all(resolved), "a stop is blocked forever");
}

/// Number of workers with long-running tasks.
fn occupied(fixture: &Fixture) -> usize {
    let running = fixture.running.values();
    running.filter(|running| !running.is_empty()).count()
}

// A pool of many workers whose long-running tasks need few of them: the others can move to a pool with a burst, or be switched off.
fn packed() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3", "w-4", "w-5", "w-6"]);
    for _job in 0..3 {
        fixture.accept(job(vec![long_running(2, 3_000)]));
        fixture.execute_round();
        fixture.mark_all_ready();
        fixture.advance(100);
    }
    assert_eq!(occupied(&fixture), 2);
    fixture.accept(job(vec![long_running(2, 3_000)]));
    fixture.execute_round();
    assert_eq!(occupied(&fixture), 4);
}

// One task's tail latency is near its target: another task on its worker would push it over.
fn near_latency_target() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3"]);
    let step = Step {
        target_ms: 100,
        ..long_running(1, 1_000)
    };
    let first = fixture.accept(job(vec![step.clone()]));
    fixture.execute_round();
    fixture.tail_latencies.insert(task(&first, 0, 0), 70);
    fixture.mark_all_ready();
    fixture.advance(100);
    let second = fixture.accept(job(vec![step]));
    fixture.execute_round();
    let on = |id: &JobId| fixture.workers_running(&task(id, 0, 0));
    assert_ne!(on(&first), on(&second));
}
