//! How many workers a pool asks for. Each has ten cores.

use crate::{
    bed::{Bed, job, step},
    cases,
};
use primroseroute_cell::{Need, Purpose};
use primroseroute_domain::work::{End, Name, Step};

cases! {
    pool_without_jobs_wants_one_worker => assert_eq!(wanted(&mut Bed::new(&["w-1", "w-2"])), 1);
    running_and_waiting_tasks_count_with_headroom => running_and_waiting();
    short_tasks_that_wait_share_workers => short_tasks();
    tasks_that_must_be_spread_want_a_worker_each => spread();
    hopeless_jobs_ask_for_nothing => hopeless();
    rise_is_taken_to_go_on => rise();
    fall_is_followed_after_a_while => fall();
    silent_worker_is_replaced => silent();
    worker_emptied_for_maintenance_is_replaced => emptied();
}

fn need(bed: &mut Bed) -> Need {
    bed.now += 25;
    let tick = bed.round();
    for order in &tick.orders {
        bed.carry_out(order);
    }
    tick.need
}

fn wanted(bed: &mut Bed) -> u64 {
    need(bed).workers
}

/// Four tasks of five cores and two seconds run on two workers, and four wait: 40 cores and a quarter
/// more are five workers, and one is to spare.
fn running_and_waiting() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let long = Step {
        estimate_ms: 2_000,
        ..step(8, 5_000)
    };
    bed.accept(job(vec![long]));
    let need = need(&mut bed);
    assert_eq!(need.runs.cpu, 20_000);
    assert_eq!(need.waits.cpu, 20_000);
    assert_eq!(need.workers, 6);
}

/// Sixty tasks of one core and a tenth of a second wait beside ten that run: six cores do them in a
/// second.
fn short_tasks() {
    let mut bed = Bed::new(&["w-1"]);
    let short = Step {
        estimate_ms: 100,
        ..step(70, 1_000)
    };
    bed.accept(job(vec![short]));
    assert_eq!(need(&mut bed).waits.cpu, 6_000);
}

fn spread() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let apart = Step {
        most_per_worker: 1,
        ..step(7, 100)
    };
    bed.accept(job(vec![apart]));
    assert_eq!(wanted(&mut bed), 7);
}

/// Past three times its objective of 2.5 s a job earns nothing; it goes on where there is room.
fn hopeless() {
    let mut bed = Bed::new(&["w-1"]);
    bed.accept(job(vec![step(9, 9_000)]));
    assert!(need(&mut bed).waits.cpu > 0);
    bed.now += 8_000;
    assert_eq!(need(&mut bed).waits.cpu, 0);
}

/// The need was 1 worker and is 3 within less than the time that an instance takes to come: it is
/// expected to go on to 5.
fn rise() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3"]);
    for _look in 0..30 {
        bed.now += 100;
        bed.look();
        assert_eq!(wanted(&mut bed), 1);
    }
    bed.accept(job(vec![step(3, 5_000)]));
    assert_eq!(wanted(&mut bed), 5);
}

/// Others may have a worker a second after it was needed, and it may be switched off after four.
fn fall() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3"]);
    let id = bed.accept(job(vec![step(3, 5_000)]));
    wanted(&mut bed);
    for (worker, runs) in bed.running.clone() {
        for task in runs.into_keys().filter(|task| task.job == id) {
            bed.end(&worker, &task, End::Done);
        }
    }
    bed.look();
    let before = need(&mut bed);
    assert_eq!((before.workers, before.kept), (3, 3));
    bed.now += 1_000;
    bed.look();
    let later = need(&mut bed);
    assert_eq!((later.workers, later.kept), (1, 3));
    bed.now += 3_000;
    bed.look();
    assert_eq!(need(&mut bed).kept, 1);
}

/// A worker that was there and is silent is no help: another is asked for in its place. One that has
/// just come and wasn't looked at yet is waited for.
fn silent() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    assert_eq!(wanted(&mut bed), 1);
    bed.cell.register(crate::bed::worker("w-3"));
    assert_eq!(wanted(&mut bed), 1);
    bed.running.remove(&Name::from("w-2"));
    bed.now += 4_000;
    bed.look_at(&"w-1".into());
    assert_eq!(need(&mut bed).unfit, 1);
}

/// A lasting task is on one of two workers of which neither has room for another. The one that is due for
/// maintenance can't be emptied before a third worker is there.
fn emptied() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let lasting = Step {
        lasting: true,
        ..step(2, 6_000)
    };
    bed.accept(job(vec![lasting]));
    let before = need(&mut bed);
    assert_eq!((before.now, before.unfit), (2, 0));
    bed.cell.empty(&"w-1".into(), Some(Purpose::Move));
    assert_eq!(need(&mut bed).unfit, 0);
    bed.cell.empty(&"w-1".into(), Some(Purpose::Maintenance));
    let after = need(&mut bed);
    assert_eq!((after.now, after.unfit), (3, 1));
}
