//! Which jobs count as queued: those of which no task has started.

use crate::{
    bed::{Bed, job, starts, step, task},
    cases,
};
use primroseroute_cell::{Order, Outcome};
use primroseroute_domain::work::End;
use primroseroute_platform::worker::Refusal;

cases! {
    /// A job counts as begun while its start is on its way.
    placed_job_counts_until_its_start_is_answered => answered();
    /// A job whose only start was refused counts as begun for as long as it waits for the next one.
    refused_start_begins_nothing => unanswered(Outcome::Refused(Refusal::Room));
    /// As above, of a start that came too late to be sent.
    withdrawn_start_begins_nothing => unanswered(Outcome::Withdrawn);
    /// As above, of a start that may have reached its worker.
    start_without_an_answer_begins_nothing_before_a_look_shows_it => unknown();
    /// A job that waits for its second run counts as queued.
    ended_run_has_begun_its_job => ended();
    /// All running jobs count as queued when another owner takes over.
    job_that_a_predecessor_placed_counts_as_begun => placed_before();
    /// A job that a predecessor placed, and didn't start, counts as begun under its successor.
    run_that_never_began_counts_again => never_began();
}

fn queued(bed: &mut Bed) -> u64 {
    bed.round();
    bed.cell.queued().get("queue").copied().unwrap_or(0)
}

fn answered() {
    let mut bed = Bed::new(&["w-1"]);
    bed.accept(job(vec![step(1, 1_000)]));
    let tick = bed.round();
    assert_eq!(starts(&tick.orders).len(), 1);
    assert_eq!(bed.cell.queued()["queue"], 1);
    bed.carry_out(&tick.orders[0]);
    assert_eq!(queued(&mut bed), 0);
}

fn unanswered(outcome: Outcome) {
    let mut bed = Bed::new(&["w-1"]);
    bed.accept(job(vec![step(1, 1_000)]));
    let orders = bed.round().orders;
    let [
        Order::Start {
            worker, task, run, ..
        },
    ] = &*orders
    else {
        panic!("{orders:?}");
    };
    let now = bed.now;
    bed.cell.answered(worker, task, *run, outcome, now);
    assert_eq!(queued(&mut bed), 1);
}

fn unknown() {
    let mut bed = Bed::new(&["w-1"]);
    let id = bed.accept(job(vec![step(1, 1_000)]));
    bed.round();
    let (task, on) = (task(&id, 0, 0), "w-1".into());
    let now = bed.now;
    bed.cell.answered(&on, &task, 1, Outcome::Unknown, now);
    assert_eq!(queued(&mut bed), 1);
    let running = bed.running.get_mut("w-1").expect("it is known");
    running.insert(task, (1, 0));
    bed.after(100);
    assert_eq!(queued(&mut bed), 0);
}

fn ended() {
    let mut bed = Bed::new(&["w-1"]);
    let id = bed.accept(job(vec![step(1, 1_000)]));
    bed.tick();
    bed.end(&"w-1".into(), &task(&id, 0, 0), End::Lapsed);
    bed.after(100);
    assert_eq!(queued(&mut bed), 0);
}

fn placed_before() {
    let mut bed = Bed::new(&["w-1"]);
    bed.accept(job(vec![step(1, 1_000)]));
    bed.tick();
    bed.replace_owner();
    assert_eq!(queued(&mut bed), 0);
}

fn never_began() {
    let mut bed = Bed::new(&["w-1"]);
    bed.accept(job(vec![step(1, 1_000)]));
    bed.round();
    bed.replace_owner();
    assert_eq!(queued(&mut bed), 0);
    bed.now += 10_000;
    bed.look();
    let tick = bed.round();
    assert_eq!(starts(&tick.orders).len(), 1);
    assert_eq!(bed.cell.queued()["queue"], 1);
}
