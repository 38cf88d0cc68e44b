//! Workers that start again under the ids that they had.

use crate::{
    bed::{Bed, WALL, job, starts, step, task},
    cases,
};
use primroseroute_cell::{Cause, Order, Outcome, Purpose, TakenIn, Tick, row::Life};
use primroseroute_domain::work::{End, JobId, Name};
use primroseroute_platform::worker::{Ended, Running, WorkerStatus};

cases! {
    /// Ends of a next life that are taken for old ones.
    ends_of_a_next_life_are_taken_in => next_life();
    /// Ends that are acknowledged to another life than the one that has listed them.
    acknowledgement_names_the_life => acknowledged();
    /// Runs that wait for the lease of a life that is over.
    runs_of_the_life_before_start_again => lost();
    /// A look of the life before that is taken for a third life.
    look_of_the_life_before_is_passed_over => stale();
    /// A start of the life before that runs in the next one beside another run.
    unanswered_start_is_stopped_in_the_next_life => unanswered();
    /// A stop that only the life before has taken.
    stop_of_the_life_before_settles_nothing => stopped_before();
    /// A start that reaches the next life of a worker whose end was known before.
    unanswered_start_waits_for_the_next_life => waits();
    /// A task that waits for a life that never comes.
    unanswered_start_is_over_where_another_worker_answers => replaced();
    /// The same where nothing answers.
    unanswered_start_is_over_when_no_late_order_is => never_back();
    /// A crash that the next owner takes for a start that never left.
    crash_before_a_takeover_is_blamed => before_takeover();
    /// A start that never reached its worker, taken for one that crashed an earlier life of it.
    start_that_never_reached_its_life_is_not_blamed => never_reached();
    /// A crash that goes uncounted since the next life, begun after the takeover, has the same mark as the one before.
    crash_before_a_life_that_began_after_the_takeover_is_blamed => began_after();
    /// A life that is given up for the end of the one before, by a list that came late.
    end_of_the_life_before_ends_no_other => late_list();
    /// A start that is answered by the next life, and lost by a list from before that life.
    start_that_was_answered_after_the_list_waits_for_a_look => answered_by_the_next();
    /// A run of the next life that is taken for lost with the one before.
    start_that_has_reached_the_next_life_goes_on => reached();
    /// A task that crashes workers which keep their ids.
    crash_under_a_kept_id_is_blamed => crash();
}

const WORKER: &str = "w-1";

/// Birth of the next life; the bed's workers are born at 1.
const NEXT: u64 = 2;

fn worker() -> Name {
    WORKER.into()
}

/// A look that the life of `born` answers, with nothing in it.
fn look(born: u64) -> WorkerStatus {
    WorkerStatus {
        born,
        ..WorkerStatus::default()
    }
}

/// A look that the next life answers, with the first run of a job's first task.
fn at_work(id: &JobId, percent: u32) -> WorkerStatus {
    WorkerStatus {
        running: vec![Running {
            task: task(id, 0, 0),
            run: 1,
            checkpoint: None,
            percent,
            load: 0,
        }],
        ..look(NEXT)
    }
}

fn take(bed: &mut Bed, look: &WorkerStatus) {
    let now = bed.now;
    bed.cell.look(&worker(), look, now, now, WALL + now);
}

fn seen(tick: &Tick) -> TakenIn {
    let found = tick.seen.iter().find(|(id, _seen)| &**id == WORKER);
    found.expect("the worker is known").1
}

/// The end of a job's first task.
fn end(id: &JobId, number: u64, run: u32) -> Ended {
    Ended {
        number,
        task: task(id, 0, 0),
        run,
        how: End::Done,
        checkpoint: None,
    }
}

/// Runs some tasks to their ends on the bed's worker.
fn with_ends() -> Bed {
    let mut bed = Bed::new(&[WORKER]);
    let id = bed.accept(job(vec![step(5, 1_000)]));
    bed.tick();
    for index in 0..5 {
        bed.end(&worker(), &task(&id, 0, index), End::Done);
    }
    bed.after(100);
    let tick = bed.round();
    assert_eq!(seen(&tick), TakenIn { born: 1, number: 5 });
    bed
}

fn next_life() {
    let mut bed = with_ends();
    take(&mut bed, &look(NEXT));
    let id = bed.accept(job(vec![step(1, 1_000)]));
    assert_eq!(starts(&bed.round().orders).len(), 1);
    bed.now += 100;
    let ended = WorkerStatus {
        ended: vec![end(&id, 1, 1)],
        ..look(NEXT)
    };
    take(&mut bed, &ended);
    let tick = bed.round();
    assert_eq!(tick.ended.len(), 1, "the job is completed");
    assert_eq!(starts(&tick.orders), Vec::new());
}

fn acknowledged() {
    let mut bed = with_ends();
    take(&mut bed, &look(NEXT));
    let tick = bed.round();
    let none = TakenIn {
        born: NEXT,
        number: 0,
    };
    assert_eq!(seen(&tick), none);
}

fn lost() {
    let mut bed = Bed::new(&[WORKER]);
    bed.accept(job(vec![step(3, 1_000)]));
    assert_eq!(starts(&bed.tick()).len(), 3);
    bed.after(1_500);
    bed.now += 100;
    take(&mut bed, &look(NEXT));
    let tick = bed.round();
    assert_eq!(starts(&tick.orders).len(), 3);
    assert_eq!(tick.losses[0].cause, Cause::Crash);
    assert_eq!(tick.losses[0].blamed, Vec::new());
}

fn stale() {
    let mut bed = with_ends();
    take(&mut bed, &look(NEXT));
    let id = bed.accept(job(vec![step(1, 1_000)]));
    bed.tick();
    bed.now += 100;
    take(&mut bed, &look(1));
    let tick = bed.round();
    assert_eq!(seen(&tick).born, NEXT);
    assert_eq!(starts(&tick.orders), Vec::new(), "{id} runs");
}

/// A job whose only start got no answer.
fn without_answer(bed: &mut Bed) -> JobId {
    let id = bed.accept(job(vec![step(1, 1_000)]));
    bed.round();
    let now = bed.now;
    let unknown = Outcome::Unknown;
    bed.cell
        .answered(&worker(), &task(&id, 0, 0), 1, unknown, now);
    id
}

fn stops(tick: &Tick) -> usize {
    let stops = tick.orders.iter();
    let stops = stops.filter(|order| matches!(order, Order::Stop { .. }));
    stops.count()
}

fn unanswered() {
    let mut bed = Bed::new(&[WORKER]);
    let id = without_answer(&mut bed);
    bed.now += 3_000;
    take(&mut bed, &look(NEXT));
    let tick = bed.round();
    assert_eq!(starts(&tick.orders), Vec::new());
    assert_eq!(stops(&tick), 1);
    bed.cell.stopped(&worker(), &task(&id, 0, 0), 1, bed.now);
    bed.now += 10;
    take(&mut bed, &look(NEXT));
    assert_eq!(starts(&bed.round().orders).len(), 1);
}

fn stopped_before() {
    let mut bed = Bed::new(&[WORKER]);
    let id = without_answer(&mut bed);
    bed.round();
    bed.cell.stopped(&worker(), &task(&id, 0, 0), 1, bed.now);
    bed.now += 3_000;
    take(&mut bed, &look(NEXT));
    let tick = bed.round();
    assert_eq!(starts(&tick.orders), Vec::new());
    assert_eq!(stops(&tick), 1);
}

fn waits() {
    let mut bed = Bed::new(&[WORKER, "w-2"]);
    let id = lost_without_answer(&mut bed);
    assert_eq!(starts(&bed.round().orders), Vec::new());
    bed.now += 3_000;
    bed.look_at(&"w-2".into());
    take(&mut bed, &look(NEXT));
    assert_eq!(stops(&bed.round()), 1);
    bed.cell.stopped(&worker(), &task(&id, 0, 0), 1, bed.now);
    bed.now += 10;
    take(&mut bed, &look(NEXT));
    assert_eq!(starts(&bed.round().orders).len(), 1);
}

/// A job whose only start got no answer from a worker whose life is over; another worker is free.
fn lost_without_answer(bed: &mut Bed) -> JobId {
    bed.cell.empty(&"w-2".into(), Some(Purpose::Move));
    let id = without_answer(bed);
    bed.cell.empty(&"w-2".into(), None);
    assert!(bed.cell.gone(&worker(), 1, bed.now));
    id
}

fn replaced() {
    let mut bed = Bed::new(&[WORKER, "w-2"]);
    lost_without_answer(&mut bed);
    assert_eq!(starts(&bed.round().orders), Vec::new());
    bed.cell.replaced(&worker());
    assert_eq!(starts(&bed.round().orders).len(), 1);
}

fn never_back() {
    let mut bed = Bed::new(&[WORKER, "w-2"]);
    lost_without_answer(&mut bed);
    bed.round();
    let lost_at = bed.now;
    loop {
        bed.now += 500;
        bed.look_at(&"w-2".into());
        if !starts(&bed.round().orders).is_empty() {
            break;
        }
        assert!(bed.now < lost_at + 20_000, "it never starts");
    }
    assert!(bed.now >= lost_at + 12_000, "a late order may still come");
}

fn before_takeover() {
    let mut bed = Bed::new(&[WORKER]);
    let id = bed.accept(job(vec![step(1, 1_000)]));
    bed.tick();
    bed.now += 3_000;
    bed.replace_owner();
    take(&mut bed, &look(WALL + 2_000));
    let tick = bed.round();
    assert_eq!(tick.losses[0].blamed, vec![task(&id, 0, 0)]);
}

fn never_reached() {
    let mut bed = Bed::new(&[WORKER]);
    let id = bed.accept(job(vec![step(1, 1_000)]));
    bed.tick();
    bed.now += 3_000;
    let second = look(WALL + 2_000);
    take(&mut bed, &second);
    let tick = bed.round();
    assert_eq!(tick.losses[0].blamed, vec![task(&id, 0, 0)]);
    assert_eq!(starts(&tick.orders).len(), 1);
    bed.replace_owner();
    take(&mut bed, &second);
    let tick = bed.round();
    assert_eq!(tick.losses, Vec::new());
    assert_eq!(starts(&tick.orders).len(), 1);
}

fn began_after() {
    let mut bed = Bed::new(&[WORKER]);
    let id = bed.accept(job(vec![step(1, 1_000)]));
    bed.tick();
    bed.now += 3_000;
    let born = WALL + 2_000;
    take(&mut bed, &look(born));
    assert_eq!(starts(&bed.tick()).len(), 1);
    bed.replace_owner();
    bed.now += 20_000;
    let next = born + 20_000;
    assert_eq!(Life::of(born), Life::of(next));
    take(&mut bed, &look(next));
    let tick = bed.round();
    assert_eq!(tick.losses[0].blamed, vec![task(&id, 0, 0)]);
}

fn late_list() {
    let mut bed = Bed::new(&[WORKER]);
    take(&mut bed, &look(NEXT));
    bed.accept(job(vec![step(1, 1_000)]));
    assert_eq!(starts(&bed.tick()).len(), 1);
    assert!(!bed.cell.gone(&worker(), 1, bed.now));
    assert_eq!(bed.round().losses, Vec::new());
}

fn answered_by_the_next() {
    let mut bed = Bed::new(&[WORKER, "w-2"]);
    let id = bed.accept(job(vec![step(1, 1_000)]));
    bed.now += 100;
    let asked_at = bed.now;
    bed.now += 500;
    let started = bed.tick();
    let [(_task, on)] = &*starts(&started) else {
        panic!("{started:?}");
    };
    assert!(bed.cell.gone(on, 1, asked_at));
    assert_eq!(starts(&bed.tick()), Vec::new());
    bed.now += 300;
    let runs = at_work(&id, 30);
    let now = bed.now;
    bed.cell.look(on, &runs, now, now, WALL + now);
    let tick = bed.round();
    assert_eq!(starts(&tick.orders), Vec::new());
    let lost = tick.losses.iter().map(|loss| loss.runs.len());
    assert_eq!(lost.sum::<usize>(), 0);
}

fn reached() {
    let mut bed = Bed::new(&[WORKER]);
    let id = bed.accept(job(vec![step(1, 1_000)]));
    bed.tick();
    bed.now += 100;
    let runs = at_work(&id, 10);
    take(&mut bed, &runs);
    let tick = bed.round();
    assert_eq!(tick.orders, Vec::new());
    assert_eq!(tick.losses[0].runs, Vec::new());
}

fn crash() {
    let mut bed = Bed::new(&[WORKER]);
    let id = bed.accept(job(vec![step(1, 1_000)]));
    bed.tick();
    bed.now += 100;
    take(&mut bed, &look(NEXT));
    let tick = bed.round();
    assert_eq!(tick.losses[0].blamed, vec![task(&id, 0, 0)]);
}
