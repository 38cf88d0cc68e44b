//! Ends of runs, starts without an answer, unresponsive workers, and takeovers.

use crate::{
    cases,
    fixture::{Fixture, WALL_AT_ZERO_MS, job, starts, step, task},
};
use primroseroute_cell::{Cell, Limits, Order, Outcome, row::Progress};
use primroseroute_domain::work::{End, Name, State, TaskId};
use primroseroute_platform::worker::{Ended, WorkerStatus};

cases! {
    job_fails_after_its_last_attempt => fails();
    end_that_is_reported_twice_counts_once => counted_once();
    successful_end_of_an_abandoned_run_counts => abandoned();
    unanswered_start_is_resolved_by_its_stop => resolved_by_stop();
    unanswered_start_is_resolved_by_its_deadline => resolved_by_deadline();
    lease_of_an_unresponsive_worker_is_waited_out => lease_waited_out();
    lease_renewal_that_was_sent_is_waited_out => renewal_waited_out();
    new_owner_starts_no_task_that_may_be_running => start_may_be_in_flight();
    new_owner_keeps_running_tasks => start_was_executed();
    unknown_run_is_stopped => unknown_run();
    worker_that_fails_every_task_is_paused => paused();
    /// Guards against exceeding a worker's capacity where a new owner finds runs of a cancelled job.
    run_of_an_ended_job_occupies_its_capacity_until_it_ends => ended_job();
    /// Guards against polls without a wait: a worker returns at once while an end isn't acknowledged.
    ends_of_foreign_runs_are_acknowledged => foreign_ends();
    /// Guards against a second start of a run whose end is beyond what a status lists.
    list_that_foreign_ends_fill_may_be_incomplete => full_of_foreign_ends();
}

fn fails() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    for _attempt in 0..2 {
        let on = Name::clone(&starts(&fixture.execute_round())[0].1);
        fixture.end_run(&on, &task(&id, 0, 0), End::Failed);
        fixture.advance(100);
    }
    let output = fixture.round();
    let progress: Progress = serde_json::from_slice(&output.puts[0].1).expect("progress");
    assert_eq!(progress.state, State::Failed);
    assert_eq!(starts(&output.orders), Vec::new());
}

// An owner commits an end and dies before it acknowledges it. The worker reports the same end to the
// new owner, which recognises it by its run number and doesn't count it a second time.
fn counted_once() {
    let mut fixture = Fixture::new(&["w-1"]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.execute_round();
    fixture.end_run(&"w-1".into(), &task(&id, 0, 0), End::Failed);
    fixture.advance(100);
    let output = fixture.round();
    let progress: Progress = serde_json::from_slice(&output.puts[0].1).expect("progress");
    let mut new_owner = Cell::new(Limits::new(6_000, 120_000), 0);
    new_owner.register(crate::fixture::worker("w-1"));
    let accepted = primroseroute_cell::row::Accepted {
        queue: "queue".into(),
        pool: "pool".into(),
        job: job(vec![step(1, 1_000)]),
        at_ms: WALL_AT_ZERO_MS,
        priority: 0,
        max_attempts: 2,
        account: None,
        objective_ms: 1_000,
    };
    new_owner.restore(id.clone(), accepted, progress);
    let response = WorkerStatus {
        born: 1,
        clock_ms: 1,
        running: Vec::new(),
        ended: vec![Ended {
            number: 1,
            task: task(&id, 0, 0),
            run: 1,
            how: End::Failed,
            checkpoint: None,
        }],
        foreign_ends: Vec::new(),
    };
    new_owner.apply_status(&"w-1".into(), &response, 10, 11, WALL_AT_ZERO_MS);
    let output = new_owner.run_round(20, WALL_AT_ZERO_MS);
    for (_id, row) in output.puts {
        let progress: Progress = serde_json::from_slice(&row).expect("progress");
        assert_ne!(progress.state, State::Failed);
    }
}

// A worker becomes unresponsive, its lease expires, and its task runs elsewhere. It comes back and
// reports that the first run has succeeded: the task is done, and its second run is stopped.
fn abandoned() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    let first = Name::clone(&starts(&fixture.execute_round())[0].1);
    fixture.end_run(&first, &task(&id, 0, 0), End::Done);
    let other: Name = if &*first == "w-1" { "w-2" } else { "w-1" }.into();
    for _second in 0..20 {
        fixture.now += 1_000;
        fixture.poll(&other);
        fixture.execute_round();
    }
    assert_eq!(
        fixture.workers_running(&task(&id, 0, 0)),
        vec![Name::clone(&other)]
    );
    fixture.poll(&first);
    let orders = fixture.execute_round();
    let stopped = orders
        .iter()
        .any(|order| matches!(order, Order::Stop { worker, .. } if *worker == other));
    assert!(stopped, "{orders:?}");
}

/// A status in which only foreign runs have ended, those with the numbers up to `last`.
fn foreign(last: u64) -> WorkerStatus {
    WorkerStatus {
        born: 1,
        clock_ms: 1,
        running: Vec::new(),
        ended: Vec::new(),
        foreign_ends: (1..=last).collect(),
    }
}

fn foreign_ends() {
    let mut fixture = Fixture::new(&["w-1"]);
    let (worker, now) = (Name::from("w-1"), fixture.now);
    let cell = &mut fixture.cell;
    cell.apply_status(&worker, &foreign(2), now, now, WALL_AT_ZERO_MS);
    let committed = fixture.round().ends_committed;
    let committed = committed.iter().find(|(id, _cursor)| *id == worker);
    assert_eq!(committed.map(|(_id, cursor)| cursor.number), Some(2));
}

fn full_of_foreign_ends() {
    for (ends, restarts) in [(499, 1), (500, 0)] {
        let mut fixture = Fixture::new(&["w-1"]);
        fixture.accept(job(vec![step(1, 1_000)]));
        assert_eq!(starts(&fixture.execute_round()).len(), 1);
        fixture.advance(1_000);
        let (worker, now) = (Name::from("w-1"), fixture.now);
        let cell = &mut fixture.cell;
        cell.apply_status(&worker, &foreign(ends), now, now, WALL_AT_ZERO_MS);
        assert_eq!(starts(&fixture.round().orders).len(), restarts, "{ends}");
    }
}

fn ended_job() {
    let mut fixture = Fixture::new(&["w-1"]);
    let id = fixture.accept(job(vec![step(1, 6_000)]));
    fixture.execute_round();
    fixture.cell.cancel(&id, WALL_AT_ZERO_MS);
    fixture.round();
    fixture.replace_owner();
    fixture.poll_all();
    fixture.accept(job(vec![step(1, 6_000)]));
    assert_eq!(starts(&fixture.round().orders), Vec::new());
    fixture.end_run(&"w-1".into(), &task(&id, 0, 0), End::Stopped);
    fixture.advance(100);
    assert_eq!(starts(&fixture.round().orders).len(), 1);
}

fn resolved_by_stop() {
    let mut fixture = Fixture::new(&["w-1"]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.round();
    let on: Name = "w-1".into();
    let unknown = Outcome::Unknown;
    fixture
        .cell
        .record_start_outcome(&on, &task(&id, 0, 0), 1, unknown, fixture.now);
    fixture.advance(100);
    let orders = fixture.round().orders;
    assert!(
        matches!(orders[..], [Order::Stop { run: 1, .. }]),
        "{orders:?}"
    );
    fixture.advance(10);
    assert_eq!(starts(&fixture.round().orders), Vec::new());
    fixture
        .cell
        .record_stop_accepted(&on, &task(&id, 0, 0), 1, fixture.now);
    fixture.advance(10);
    assert_eq!(starts(&fixture.round().orders).len(), 1);
}

fn resolved_by_deadline() {
    let mut fixture = Fixture::new(&["w-1"]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.round();
    let on: Name = "w-1".into();
    let unknown = Outcome::Unknown;
    fixture
        .cell
        .record_start_outcome(&on, &task(&id, 0, 0), 1, unknown, fixture.now);
    fixture.advance(2_000);
    assert_eq!(starts(&fixture.round().orders), Vec::new());
    fixture.advance(1_000);
    assert_eq!(starts(&fixture.round().orders).len(), 1);
}

fn lease_waited_out() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    let first = Name::clone(&starts(&fixture.execute_round())[0].1);
    let other: Name = if &*first == "w-1" { "w-2" } else { "w-1" }.into();
    let mut waited = 0;
    while fixture.workers_running(&task(&id, 0, 0)) == vec![Name::clone(&first)] {
        fixture.now += 100;
        waited += 100;
        fixture.poll(&other);
        fixture.execute_round();
        assert!(waited < 20_000, "the task never starts elsewhere");
    }
    // A lease of the previous owner may have been granted at the takeover.
    assert!(waited >= 6_000, "started elsewhere after {waited} ms");
}

fn renewal_waited_out() {
    let mut fixture = Fixture::new(&["w-1", "w-2"]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    let first = Name::clone(&starts(&fixture.execute_round())[0].1);
    let other: Name = if &*first == "w-1" { "w-2" } else { "w-1" }.into();
    fixture.cell.lease_renewal_sent(&first, 15_000);
    for _tenth in 0..149 {
        fixture.now += 100;
        fixture.poll(&other);
        fixture.execute_round();
        assert_eq!(
            fixture.workers_running(&task(&id, 0, 0)),
            vec![Name::clone(&first)]
        );
    }
}

/// A fixture after a takeover from an owner that committed a start and died, and the task: whether the order was sent is unknown.
fn taken_over() -> (Fixture, TaskId) {
    let mut fixture = Fixture::new(&["w-1"]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.round();
    fixture.replace_owner();
    (fixture, task(&id, 0, 0))
}

// The start may still be in flight. A worker that has answered a poll of the new owner has seen its fencing token and refuses the
// start from then on: before that poll the task starts nowhere, and after it at once. A wait of 2.5 s for the start to expire on
// the worker's clock, used before, kept the task from ever starting where owners were replaced more often than that.
fn start_may_be_in_flight() {
    let (mut fixture, task) = taken_over();
    for _tenth in 0..25 {
        fixture.now += 100;
        assert_eq!(starts(&fixture.round().orders), Vec::new());
    }
    fixture.poll_all();
    let started = starts(&fixture.round().orders);
    assert_eq!(started, vec![(task, "w-1".into())]);
}

// The start was executed: the poll response shows the run, which continues without a second one.
fn start_was_executed() {
    let (mut fixture, task) = taken_over();
    let running = fixture.running.entry("w-1".into()).or_default();
    running.insert(task, (1, 10));
    for _tenth in 0..40 {
        fixture.advance(100);
        let output = fixture.round();
        assert!(output.orders.is_empty() && output.immediate_stops.is_empty());
    }
}

fn unknown_run() {
    let mut fixture = Fixture::new(&["w-1"]);
    let id = primroseroute_domain::work::JobId::parse("00000000000000ff").expect("16 digits");
    let running = fixture.running.entry("w-1".into()).or_default();
    running.insert(task(&id, 0, 0), (3, 10));
    fixture.advance(100);
    let orders = fixture.round().immediate_stops;
    assert!(
        matches!(orders[..], [Order::Stop { run: 3, .. }]),
        "{orders:?}"
    );
}

fn paused() {
    let mut fixture = Fixture::new(&["w-1"]);
    for _job in 0..3 {
        let id = fixture.accept(job(vec![step(1, 1_000)]));
        fixture.execute_round();
        fixture.end_run(&"w-1".into(), &task(&id, 0, 0), End::Failed);
        fixture.advance(10);
    }
    fixture.accept(job(vec![step(1, 1_000)]));
    assert_eq!(starts(&fixture.execute_round()), Vec::new());
    fixture.advance(3_100);
    assert!(!starts(&fixture.execute_round()).is_empty());
}
