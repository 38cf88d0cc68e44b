//! Number of queued jobs: those of which no task has started.

use crate::{
    cases,
    fixture::{Fixture, job, starts, step, task},
};
use primroseroute_cell::{Order, Outcome};
use primroseroute_domain::work::End;
use primroseroute_platform::worker::Refusal;

cases! {
    /// Guards against counting a job as started while its start is in flight.
    placed_job_counts_until_its_start_is_answered => answered();
    /// Guards against counting a job as started while it waits after its only start was refused.
    refused_start_leaves_its_job_queued => unanswered(Outcome::Refused(Refusal::Room));
    /// The same for a start that was too late to be sent.
    withdrawn_start_leaves_its_job_queued => unanswered(Outcome::Withdrawn);
    /// The same for a start that may have reached its worker.
    unanswered_start_leaves_its_job_queued_until_a_poll_shows_the_run => unknown();
    /// Guards against counting a job as queued while it waits for its second run.
    job_with_an_ended_run_is_not_queued => ended();
    /// Guards against counting all running jobs as queued after a takeover.
    job_placed_by_the_previous_owner_is_not_queued => placed_before();
    /// Guards against counting a job as started forever that the previous owner placed but did not start.
    job_whose_run_never_started_is_queued_again => never_started();
}

fn queued(fixture: &mut Fixture) -> u64 {
    fixture.round();
    fixture.cell.queued().get("queue").copied().unwrap_or(0)
}

fn answered() {
    let mut fixture = Fixture::new(&["w-1"]);
    fixture.accept(job(vec![step(1, 1_000)]));
    let output = fixture.round();
    assert_eq!(starts(&output.orders).len(), 1);
    assert_eq!(fixture.cell.queued()["queue"], 1);
    fixture.execute(&output.orders[0]);
    assert_eq!(queued(&mut fixture), 0);
}

fn unanswered(outcome: Outcome) {
    let mut fixture = Fixture::new(&["w-1"]);
    fixture.accept(job(vec![step(1, 1_000)]));
    let orders = fixture.round().orders;
    let [
        Order::Start {
            worker, task, run, ..
        },
    ] = &*orders
    else {
        panic!("{orders:?}");
    };
    let now = fixture.now;
    fixture
        .cell
        .record_start_outcome(worker, task, *run, outcome, now);
    assert_eq!(queued(&mut fixture), 1);
}

fn unknown() {
    let mut fixture = Fixture::new(&["w-1"]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.round();
    let (task, on) = (task(&id, 0, 0), "w-1".into());
    let now = fixture.now;
    fixture
        .cell
        .record_start_outcome(&on, &task, 1, Outcome::Unknown, now);
    assert_eq!(queued(&mut fixture), 1);
    let running = fixture.running.get_mut("w-1").expect("the worker is known");
    running.insert(task, (1, 0));
    fixture.advance(100);
    assert_eq!(queued(&mut fixture), 0);
}

fn ended() {
    let mut fixture = Fixture::new(&["w-1"]);
    let id = fixture.accept(job(vec![step(1, 1_000)]));
    fixture.execute_round();
    fixture.end_run(&"w-1".into(), &task(&id, 0, 0), End::Lapsed);
    fixture.advance(100);
    assert_eq!(queued(&mut fixture), 0);
}

fn placed_before() {
    let mut fixture = Fixture::new(&["w-1"]);
    fixture.accept(job(vec![step(1, 1_000)]));
    fixture.execute_round();
    fixture.replace_owner();
    assert_eq!(queued(&mut fixture), 0);
}

fn never_started() {
    let mut fixture = Fixture::new(&["w-1"]);
    fixture.accept(job(vec![step(1, 1_000)]));
    fixture.round();
    fixture.replace_owner();
    assert_eq!(queued(&mut fixture), 0);
    fixture.now += 10_000;
    fixture.poll_all();
    let output = fixture.round();
    assert_eq!(starts(&output.orders).len(), 1);
    assert_eq!(fixture.cell.queued()["queue"], 1);
}
