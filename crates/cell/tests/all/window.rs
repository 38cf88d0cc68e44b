//! Starts rest on what is known of cancels, and are taken back when it changes.

use crate::{
    bed::{Bed, WALL, job, starts, step, task, worker},
    cases,
};
use primroseroute_cell::{Limits, Order, Outcome, Purpose};
use primroseroute_domain::work::{End, Name, Step};
use primroseroute_platform::site::Worker;

cases! {
    nothing_starts_on_old_knowledge => old();
    window_of_a_start_ends_with_what_is_known => window();
    start_of_a_job_that_was_cancelled_meanwhile_is_taken_back => cancelled();
    gang_is_taken_back_whole => gang();
    withdrawn_start_is_placed_again => withdrawn();
    withdrawn_member_of_a_gang_stops_the_others => rest_of_gang();
    start_on_a_worker_that_drains_meanwhile_is_taken_back => drains();
    stop_of_a_move_is_taken_back_when_another_task_ends => stop_of_a_move();
    stop_of_a_move_is_taken_back_when_the_worker_is_let_go => let_go();
}

// The owner has heard nothing of cancels for too long: what it would start now could be cancelled. It starts when it has heard.
fn old() {
    let mut bed = Bed::new(&["w-1"]);
    let id = bed.accept(job(vec![step(1, 1_000)]));
    bed.after(2_500);
    let tick = bed.cell.tick(bed.now, WALL + bed.now);
    assert_eq!(starts(&tick.orders), Vec::new());
    bed.cell.heard(bed.now);
    let tick = bed.cell.tick(bed.now, WALL + bed.now);
    assert_eq!(starts(&tick.orders)[0].0, task(&id, 0, 0));
}

fn window() {
    let mut bed = Bed::new(&["w-1"]);
    let limits = Limits::new(6_000, 120_000);
    assert_eq!(bed.cell.start_window(0), limits.start_window);
    assert_eq!(bed.cell.start_window(1_000), limits.cancel_window - 1_000);
    assert_eq!(bed.cell.start_window(9_000), 0);
    bed.cell.heard(9_000);
    assert_eq!(bed.cell.start_window(9_000), limits.start_window);
}

// The job is cancelled while the commit of its start is under way.
fn cancelled() {
    let mut bed = Bed::new(&["w-1"]);
    let ended = bed.accept(job(vec![step(1, 1_000)]));
    let other = bed.accept(job(vec![step(1, 1_000)]));
    let tick = bed.round();
    bed.cell.cancel(&ended, WALL);
    let standing = starts(&bed.standing(tick));
    assert_eq!(standing.len(), 1);
    assert_eq!(standing[0].0, task(&other, 0, 0));
    assert_eq!(bed.cell.runs_of(&ended), 0);
}

// One member of a gang is to stop before any has left. The others would wait for it until they end alone.
fn gang() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let together = Step {
        gang: true,
        most_per_worker: 1,
        ..step(2, 1_000)
    };
    let id = bed.accept(job(vec![together]));
    let tick = bed.round();
    assert_eq!(starts(&tick.orders).len(), 2);
    bed.cell.clear(&"w-1".into());
    assert_eq!(starts(&bed.standing(tick)), Vec::new());
    assert_eq!(starts(&bed.tick()).len(), 2);
    assert_eq!(bed.on(&task(&id, 0, 0)).len(), 1);
}

fn withdrawn() {
    let mut bed = Bed::new(&["w-1"]);
    let id = bed.accept(job(vec![step(1, 1_000)]));
    bed.round();
    let worker = "w-1".into();
    let now = bed.now;
    bed.cell
        .answered(&worker, &task(&id, 0, 0), 1, Outcome::Withdrawn, now);
    assert_eq!(bed.cell.runs_on(&worker), 0);
    // Under the next number, since the old one is in the row.
    let again = bed.tick();
    assert!(matches!(*again, [Order::Start { run: 2, .. }]));
}

// Two members have left and the third has waited too long for its turn. The two would wait for it until they end alone.
fn rest_of_gang() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3"]);
    let together = Step {
        gang: true,
        most_per_worker: 1,
        ..step(3, 1_000)
    };
    bed.accept(job(vec![together]));
    let tick = bed.round();
    let orders = bed.standing(tick);
    for order in &orders[..2] {
        bed.carry_out(order);
    }
    let Order::Start {
        worker, task, run, ..
    } = &orders[2]
    else {
        panic!("not a start");
    };
    let now = bed.now;
    bed.cell
        .answered(worker, task, *run, Outcome::Withdrawn, now);
    let stops = bed.tick();
    let stops = stops
        .iter()
        .filter(|order| matches!(order, Order::Stop { .. }));
    assert_eq!(stops.count(), 2);
}

// A worker says that it drains while the commit of a start on it is under way.
fn drains() {
    let mut bed = Bed::new(&["w-1"]);
    bed.accept(job(vec![step(1, 1_000)]));
    let tick = bed.round();
    bed.cell.register(Worker {
        draining: true,
        ..worker("w-1")
    });
    assert_eq!(starts(&bed.standing(tick)), Vec::new());
}

// A lasting task is to leave a worker that is emptied, since its step can miss one. While the commit of the stop is under way the
// other task of the step ends by itself. The stop would take away one task more than may be missed.
fn stop_of_a_move() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3"]);
    let lasting = Step {
        lasting: true,
        may_miss: 1,
        most_per_worker: 1,
        ..step(2, 1_000)
    };
    let id = bed.accept(job(vec![lasting]));
    bed.tick();
    bed.settle();
    bed.after(100);
    bed.tick();
    let from = Name::clone(&bed.on(&task(&id, 0, 0))[0]);
    let other = Name::clone(&bed.on(&task(&id, 0, 1))[0]);
    bed.cell.empty(&from, Some(Purpose::Move));
    let tick = bed.round();
    assert_eq!(tick.orders.len(), 1);
    bed.end(&other, &task(&id, 0, 1), End::Failed);
    bed.after(1_000);
    assert_eq!(bed.standing(tick), Vec::new());
    assert_eq!(bed.on(&task(&id, 0, 0)), vec![from]);
    // Once the other one is at work again it goes.
    bed.tick();
    bed.settle();
    bed.after(100);
    let orders = bed.tick();
    assert!(
        orders
            .iter()
            .any(|order| matches!(order, Order::Stop { .. }))
    );
}

// A worker is emptied for a move, and let go while the commit of a stop there is under way. Its lasting task was moved for nothing.
fn let_go() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let lasting = Step {
        lasting: true,
        may_miss: 1,
        ..step(1, 1_000)
    };
    let id = bed.accept(job(vec![lasting]));
    bed.tick();
    bed.settle();
    bed.after(100);
    bed.tick();
    let on = Name::clone(&bed.on(&task(&id, 0, 0))[0]);
    bed.cell.empty(&on, Some(Purpose::Move));
    let tick = bed.round();
    assert_eq!(tick.orders.len(), 1);
    bed.cell.empty(&on, None);
    assert_eq!(bed.standing(tick), Vec::new());
    bed.after(1_000);
    assert_eq!(bed.tick(), Vec::new());
    assert_eq!(bed.on(&task(&id, 0, 0)), vec![on]);
}
