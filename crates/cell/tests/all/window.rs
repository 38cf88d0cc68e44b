//! Starts require recent knowledge of cancellations, and are withdrawn when their preconditions change.

use crate::{
    cases,
    fixture::{Fixture, WALL_AT_ZERO_MS, job, starts, step, task, worker},
};
use primroseroute_cell::{EvacuationReason, Limits, Order, Outcome};
use primroseroute_domain::work::{End, Name, Step};
use primroseroute_platform::site::Worker;

cases! {
    nothing_starts_on_stale_cancellations => stale();
    start_window_is_bounded_by_the_age_of_cancellations => window_bounds();
    start_of_a_job_that_was_cancelled_meanwhile_is_withdrawn => cancelled();
    gang_is_withdrawn_as_a_whole => gang();
    withdrawn_start_is_placed_again => withdrawn();
    withdrawn_member_of_a_gang_stops_the_others => rest_of_gang();
    start_on_a_worker_that_begins_to_drain_meanwhile_is_withdrawn => drains();
    stop_for_a_move_is_withdrawn_when_another_task_ends => other_task_ends();
    stop_for_a_move_is_withdrawn_when_the_evacuation_is_cancelled => evacuation_cancelled();
}

// The owner hasn't read cancellations for too long: a task that it starts now could belong to a cancelled job. It starts after a
// new read.
fn stale() {
    let mut fixture = Fixture::new(&["w-1"]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.advance(2_500);
    let output = fixture
        .cell
        .run_round(fixture.now, WALL_AT_ZERO_MS + fixture.now);
    assert_eq!(starts(&output.orders), Vec::new());
    fixture.cell.advance_feed_watermark(fixture.now);
    let output = fixture
        .cell
        .run_round(fixture.now, WALL_AT_ZERO_MS + fixture.now);
    assert_eq!(starts(&output.orders)[0].0, task(&id, 0, 0));
}

fn window_bounds() {
    let mut fixture = Fixture::new(&["w-1"]);
    let limits = Limits::new(6_000, 120_000);
    assert_eq!(fixture.cell.start_window(0), limits.start_window);
    assert_eq!(
        fixture.cell.start_window(1_000),
        limits.cancel_window - 1_000
    );
    assert_eq!(fixture.cell.start_window(9_000), 0);
    fixture.cell.advance_feed_watermark(9_000);
    assert_eq!(fixture.cell.start_window(9_000), limits.start_window);
}

// The job is cancelled while the commit of its start is in progress.
fn cancelled() {
    let mut fixture = Fixture::new(&["w-1"]);
    let ended = fixture.accept(job(vec![step(1, 1_000)]));
    let other = fixture.accept(job(vec![step(1, 1_000)]));
    let output = fixture.round();
    fixture.cell.cancel(&ended, WALL_AT_ZERO_MS);
    let valid = starts(&fixture.revalidate(output));
    assert_eq!(valid.len(), 1);
    assert_eq!(valid[0].0, task(&other, 0, 0));
    assert_eq!(fixture.cell.runs_of(&ended), 0);
}

// One member of a gang is to stop before any start was sent. The others would wait for it until they end on their own.
fn gang() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let together = Step {
        gang: true,
        most_per_worker: 1,
        ..step(2, 1_000)
    };
    let id = fixture.accept(job(vec![together]));
    let output = fixture.round();
    assert_eq!(starts(&output.orders).len(), 2);
    fixture.cell.stop_batch_tasks(&"w-1".into());
    assert_eq!(starts(&fixture.revalidate(output)), Vec::new());
    assert_eq!(starts(&fixture.execute_round()).len(), 2);
    assert_eq!(fixture.workers_running(&task(&id, 0, 0)).len(), 1);
}

fn withdrawn() {
    let mut fixture = Fixture::new(&["w-1"]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.round();
    let worker = "w-1".into();
    let now = fixture.now;
    fixture
        .cell
        .record_start_outcome(&worker, &task(&id, 0, 0), 1, Outcome::Withdrawn, now);
    assert_eq!(fixture.cell.runs_on(&worker), 0);
    // The run number advances, since the previous one is in the row.
    let again = fixture.execute_round();
    assert!(matches!(*again, [Order::Start { run: 2, .. }]));
}

// Two starts were sent, and the third has waited too long to be sent. The two members would wait for it until they end on their own.
fn rest_of_gang() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3"]);
    let together = Step {
        gang: true,
        most_per_worker: 1,
        ..step(3, 1_000)
    };
    fixture.accept(job(vec![together]));
    let output = fixture.round();
    let orders = fixture.revalidate(output);
    for order in &orders[..2] {
        fixture.execute(order);
    }
    let Order::Start {
        worker, task, run, ..
    } = &orders[2]
    else {
        panic!("not a start");
    };
    let now = fixture.now;
    fixture
        .cell
        .record_start_outcome(worker, task, *run, Outcome::Withdrawn, now);
    let stops = fixture.execute_round();
    let stops = stops
        .iter()
        .filter(|order| matches!(order, Order::Stop { .. }));
    assert_eq!(stops.count(), 2);
}

// A worker reports that it is draining while the commit of a start on it is in progress.
fn drains() {
    let mut fixture = Fixture::new(&["w-1"]);
    fixture.accept(job(vec![step(1, 1_000)]));
    let output = fixture.round();
    fixture.cell.register(Worker {
        draining: true,
        ..worker("w-1")
    });
    assert_eq!(starts(&fixture.revalidate(output)), Vec::new());
}

// A long-running task is to leave a worker that is evacuated, since its step allows one unavailable task. While the commit of the
// stop is in progress the other task of the step ends by itself. The stop would exceed what the step allows.
fn other_task_ends() {
    let mut fixture = Fixture::new(&["w-1", "w-2", "w-3"]);
    let long_running = Step {
        lasting: true,
        may_miss: 1,
        most_per_worker: 1,
        ..step(2, 1_000)
    };
    let id = fixture.accept(job(vec![long_running]));
    fixture.execute_round();
    fixture.mark_all_ready();
    fixture.advance(100);
    fixture.execute_round();
    let from = Name::clone(&fixture.workers_running(&task(&id, 0, 0))[0]);
    let other = Name::clone(&fixture.workers_running(&task(&id, 0, 1))[0]);
    fixture
        .cell
        .set_evacuating(&from, Some(EvacuationReason::Move));
    let output = fixture.round();
    assert_eq!(output.orders.len(), 1);
    fixture.end_run(&other, &task(&id, 0, 1), End::Failed);
    fixture.advance(1_000);
    assert_eq!(fixture.revalidate(output), Vec::new());
    assert_eq!(fixture.workers_running(&task(&id, 0, 0)), vec![from]);
    // It is stopped once the other one is ready again.
    fixture.execute_round();
    fixture.mark_all_ready();
    fixture.advance(100);
    let orders = fixture.execute_round();
    assert!(
        orders
            .iter()
            .any(|order| matches!(order, Order::Stop { .. }))
    );
}

// A worker's evacuation for a move is cancelled while the commit of a stop there is in progress. Its long-running task was moved for
// nothing.
fn evacuation_cancelled() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let long_running = Step {
        lasting: true,
        may_miss: 1,
        ..step(1, 1_000)
    };
    let id = fixture.accept(job(vec![long_running]));
    fixture.execute_round();
    fixture.mark_all_ready();
    fixture.advance(100);
    fixture.execute_round();
    let on = Name::clone(&fixture.workers_running(&task(&id, 0, 0))[0]);
    fixture
        .cell
        .set_evacuating(&on, Some(EvacuationReason::Move));
    let output = fixture.round();
    assert_eq!(output.orders.len(), 1);
    fixture.cell.set_evacuating(&on, None);
    assert_eq!(fixture.revalidate(output), Vec::new());
    fixture.advance(1_000);
    assert_eq!(fixture.execute_round(), Vec::new());
    assert_eq!(fixture.workers_running(&task(&id, 0, 0)), vec![on]);
}
