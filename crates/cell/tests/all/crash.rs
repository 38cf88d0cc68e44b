//! Tasks under which workers crash.

use crate::{
    bed::{Bed, job, starts, step, task, worker},
    cases,
};
use primroseroute_cell::{Cause, Loss, Millis, Order, Outcome, Tick, row::Progress};
use primroseroute_domain::work::{JobId, Name, State, Step, TaskId};
use std::collections::{BTreeMap, BTreeSet};

cases! {
    /// Unbounded retries of a task that crashes its workers.
    task_is_given_up_after_its_fourth_crash => given_up();
    /// A crash that is held against what had been at work for long.
    settled_neighbour_is_not_blamed => settled();
    /// Tasks that are lost with a suspect again and again.
    suspect_is_tried_apart_from_new_runs => apart();
    /// A suspect that never starts, since short tasks begin on its worker all the time.
    suspect_gets_a_worker_of_a_busy_pool => busy_pool();
    /// A count of crashes that is lost with its owner.
    successor_goes_on_with_the_count => successor();
    /// A task given up for a crash long after its start, by an owner that hasn't started it.
    run_that_a_successor_finds_at_work_is_not_blamed => found_at_work();
    /// A crash that is held against tasks of a worker that left as planned.
    planned_end_is_no_crash => planned();
    /// A lapsed lease that is taken for a crash.
    lapsed_lease_is_no_crash => lapsed();
    /// Crashes by other causes that add up over a long life.
    task_that_passes_its_trial_is_acquitted => acquitted();
    /// A trial on a worker that has died by itself, whose end is held against the suspect.
    trial_waits_until_its_worker_answers => answers_first();
    /// A suspect that has long outlived its trial, by nobody's knowledge when its owner dies.
    end_of_a_trial_is_looked_for_at_once => end_of_trial();
    /// A crash that becomes known only after the lease has lapsed.
    lapse_that_was_a_crash_counts => lapse_was_crash();
    /// A lapse that is taken for a crash, of a worker that comes back and crashes then.
    worker_that_came_back_after_a_lapse_did_not_crash_by_it => came_back();
    /// Crashes that make suspects of tasks which have never crashed a worker, and take them down as well.
    tasks_with_a_crash_start_apart_from_those_without => apart_from_the_sound();
    /// Trials of all that loses a worker, for good, since a lasting task was given up once.
    lasting_task_that_is_given_up_is_no_suspect => given_up_for_good();
    /// Trials that follow each other one by one while other workers have nothing to do.
    suspects_are_tried_on_all_idle_workers => on_all_idle();
    /// A crash that is held against a run which its worker has outlived behind a cut.
    run_that_a_cut_worker_outlives_is_not_blamed => outlived();
    /// A culprit that is acquitted by a start which never reached its worker.
    start_without_an_answer_acquits_nobody => never_started();
    /// A crash that goes uncounted, since the worker's next life passes for the one that has crashed.
    next_life_under_the_same_id_acquits_nobody => next_life_named();
    /// Tasks that were lost together and are all lost together again.
    tasks_of_one_crash_are_spread => spread();
}

/// Ends a worker's life; the round after it.
fn crash(bed: &mut Bed, id: &Name) -> Tick {
    crash_unplaced(bed, id);
    bed.round()
}

/// Starts a worker.
fn join(bed: &mut Bed, id: &str) {
    bed.cell.register(worker(id));
    bed.running.insert(id.into(), BTreeMap::new());
    bed.look();
}

/// Where a task is started in this round.
fn started(bed: &mut Bed, task: &TaskId) -> Option<Name> {
    let starts = starts(&bed.tick());
    let found = starts.into_iter().find(|(of, _on)| of == task);
    found.map(|(_task, on)| on)
}

fn state(tick: &Tick, id: &JobId) -> State {
    let row = tick.puts.iter().find(|(of, _row)| of == id);
    let (_id, row) = row.expect("its row is written");
    let progress: Progress = serde_json::from_slice(row).expect("progress");
    progress.state
}

/// Crashes two workers under the first task of a job, and lets it start no more.
fn suspect(bed: &mut Bed) -> JobId {
    let id = bed.accept(job(vec![step(1, 1_000)]));
    for _crash in 0..2 {
        let on = started(bed, &task(&id, 0, 0)).expect("it starts");
        bed.after(10);
        crash_unplaced(bed, &on);
    }
    id
}

/// Ends a worker's life without a round after it.
fn crash_unplaced(bed: &mut Bed, id: &Name) {
    bed.running.remove(id);
    // A new owner that hasn't looked at it knows no time of birth.
    let now = bed.now;
    assert!(bed.cell.gone(id, 1, now) || bed.cell.gone(id, 0, now));
}

fn given_up() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3", "w-4", "w-5"]);
    let id = suspect(&mut bed);
    let on = started(&mut bed, &task(&id, 0, 0)).expect("it starts");
    bed.after(10);
    crash_unplaced(&mut bed, &on);
    let on = started(&mut bed, &task(&id, 0, 0)).expect("it starts");
    bed.after(10);
    let tick = crash(&mut bed, &on);
    assert_eq!(state(&tick, &id), State::Failed);
    assert_eq!(tick.culprits.len(), 1);
    assert_eq!(tick.losses[0].cause, Cause::Crash);
    assert_eq!(starts(&tick.orders), Vec::new());
}

fn settled() {
    let mut bed = Bed::new(&["w-1"]);
    let old = bed.accept(job(vec![step(1, 1_000)]));
    bed.tick();
    bed.after(1_500);
    let new = bed.accept(job(vec![step(1, 1_000)]));
    bed.tick();
    bed.after(10);
    let tick = crash(&mut bed, &"w-1".into());
    assert_eq!(tick.losses[0].runs.len(), 2);
    assert_eq!(tick.losses[0].blamed, vec![task(&new, 0, 0)], "{old}");
}

fn apart() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3"]);
    let id = suspect(&mut bed);
    let other = bed.accept(job(vec![step(4, 1_000)]));
    let orders = starts(&bed.tick());
    assert_eq!(orders.len(), 1, "{other} starts beside a trial: {orders:?}");
    assert_eq!(orders[0].0, task(&id, 0, 0));
    bed.after(500);
    assert_eq!(starts(&bed.tick()), Vec::new());
    bed.after(600);
    assert_eq!(starts(&bed.tick()).len(), 4);
}

fn busy_pool() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3", "w-4", "w-5", "w-6"]);
    let id = suspect(&mut bed);
    let mut waited = 0;
    loop {
        // Each round brings more than fits, and all ends 300 ms after its start.
        bed.accept(job(vec![step(12, 2_000)]));
        if started(&mut bed, &task(&id, 0, 0)).is_some() {
            break;
        }
        bed.after(100);
        waited += 100;
        assert!(waited < 5_000, "it never starts");
        if waited % 300 == 0 {
            end_all(&mut bed, &id);
        }
    }
}

/// Ends all runs but those of `but`.
fn end_all(bed: &mut Bed, but: &JobId) {
    let all = bed.running.iter();
    let all = all.flat_map(|(id, runs)| runs.keys().map(|task| (Name::clone(id), task.clone())));
    let all: Vec<(Name, TaskId)> = all.filter(|(_id, task)| task.job != *but).collect();
    for (on, task) in all {
        bed.end(&on, &task, primroseroute_domain::work::End::Done);
    }
    bed.look();
}

fn successor() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3", "w-4"]);
    let id = suspect(&mut bed);
    bed.round();
    bed.after(3_000);
    bed.replace_owner();
    bed.look();
    let on = started(&mut bed, &task(&id, 0, 0)).expect("it starts");
    bed.replace_owner();
    crash(&mut bed, &on);
    bed.after(100);
    let on = started(&mut bed, &task(&id, 0, 0)).expect("it starts");
    bed.replace_owner();
    let tick = crash(&mut bed, &on);
    assert_eq!(state(&tick, &id), State::Failed);
}

fn found_at_work() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let id = bed.accept(job(vec![step(1, 1_000)]));
    let on = started(&mut bed, &task(&id, 0, 0)).expect("it starts");
    bed.after(3_000);
    bed.replace_owner();
    bed.look();
    let tick = crash(&mut bed, &on);
    assert_eq!(tick.losses[0].runs.len(), 1);
    assert_eq!(tick.losses[0].blamed, Vec::new());
}

fn planned() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let id = bed.accept(job(vec![step(1, 1_000)]));
    let on = started(&mut bed, &task(&id, 0, 0)).expect("it starts");
    let mut leaving = worker(&on);
    leaving.draining = true;
    bed.cell.register(leaving);
    let tick = crash(&mut bed, &on);
    assert_eq!(tick.losses[0].cause, Cause::Planned);
    assert_eq!(tick.losses[0].blamed, Vec::new());
}

fn acquitted() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3", "w-4", "w-5", "w-6"]);
    let id = suspect(&mut bed);
    for _crash in 0..3 {
        let on = started(&mut bed, &task(&id, 0, 0)).expect("it starts");
        bed.after(1_100);
        bed.round();
        bed.replace_owner();
        // The next owner never hears of the worker, and can't tell how long ago the run began.
        let tick = crash(&mut bed, &on);
        assert_eq!(tick.culprits, Vec::new());
        bed.look();
    }
    assert!(started(&mut bed, &task(&id, 0, 0)).is_some());
}

fn answers_first() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3"]);
    let id = suspect(&mut bed);
    bed.now += 300;
    let tick = bed.round();
    let [on] = &*tick.glances else {
        panic!("one worker is asked: {:?}", tick.glances);
    };
    assert_eq!(starts(&tick.orders), Vec::new());
    assert_eq!(starts(&bed.round().orders), Vec::new());
    bed.now += 50;
    bed.look_at(on);
    // The store may hold the next round up.
    bed.now += 400;
    let placed = starts(&bed.round().orders);
    assert_eq!(placed, vec![(task(&id, 0, 0), Name::clone(on))]);
}

fn end_of_trial() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3"]);
    let id = suspect(&mut bed);
    let on = started(&mut bed, &task(&id, 0, 0)).expect("it starts");
    bed.now += 900;
    assert_eq!(bed.round().glances, Vec::<Name>::new());
    bed.now += 100;
    assert_eq!(bed.round().glances, vec![Name::clone(&on)]);
    assert_eq!(bed.round().glances, Vec::<Name>::new());
    bed.look_at(&on);
    assert_eq!(bed.round().acquitted, vec![task(&id, 0, 0)]);
}

/// A task whose worker falls silent until its lease has lapsed; the worker, and the loss.
fn lapse(bed: &mut Bed) -> (JobId, Name, Loss) {
    lapse_while_named(bed, |_now| false)
}

/// The same; the platform names the worker at the times for which `is_named` holds.
fn lapse_while_named(bed: &mut Bed, is_named: impl Fn(Millis) -> bool) -> (JobId, Name, Loss) {
    let id = bed.accept(job(vec![step(1, 1_000)]));
    let on = started(bed, &task(&id, 0, 0)).expect("it starts");
    let other: Name = if &*on == "w-1" { "w-2" } else { "w-1" }.into();
    loop {
        bed.now += 200;
        bed.look_at(&other);
        if bed.cell.suspected(bed.now).contains(&on) && is_named(bed.now) {
            bed.cell.named(&on, 1, bed.now);
        }
        let mut tick = bed.round();
        if let Some(loss) = tick.losses.pop() {
            return (id, on, loss);
        }
        assert!(bed.now < 20_000, "it is never lost");
    }
}

fn lapsed() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let (_id, _on, loss) = lapse(&mut bed);
    assert_eq!(loss.cause, Cause::Lapse);
    assert_eq!(loss.blamed, Vec::new());
}

fn lapse_was_crash() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let (id, on, _loss) = lapse(&mut bed);
    assert!(bed.cell.silent(bed.now).contains(&on));
    let tick = crash(&mut bed, &on);
    assert_eq!(tick.losses[0].cause, Cause::Crash);
    assert_eq!(tick.losses[0].blamed, vec![task(&id, 0, 0)]);
}

fn came_back() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let (_id, on, _loss) = lapse(&mut bed);
    bed.running.insert(Name::clone(&on), BTreeMap::new());
    bed.look_at(&on);
    let tick = crash(&mut bed, &on);
    assert_eq!(tick.losses, Vec::new());
}

fn spread() {
    let mut bed = Bed::new(&["w-1"]);
    let id = bed.accept(job(vec![step(8, 1_000)]));
    assert_eq!(starts(&bed.tick()).len(), 8);
    bed.after(10);
    crash_unplaced(&mut bed, &"w-1".into());
    join(&mut bed, "w-2");
    join(&mut bed, "w-3");
    let starts = starts(&bed.tick());
    assert_eq!(starts.len(), 8, "{id}");
    let on_second = starts.iter().filter(|(_task, on)| &**on == "w-2");
    assert_eq!(on_second.count(), 4);
}

/// Crashes a worker under the tasks of a job, as often as is said, before all of them wait.
fn crash_under(bed: &mut Bed, id: &JobId, crashes: usize) {
    for _crash in 0..crashes {
        let on = started(bed, &task(id, 0, 0)).expect("it starts");
        bed.after(10);
        crash_unplaced(bed, &on);
    }
}

fn apart_from_the_sound() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7", "w-8"]);
    suspect(&mut bed);
    let once = bed.accept(job(vec![step(2, 1_000)]));
    crash_under(&mut bed, &once, 1);
    let sound = bed.accept(job(vec![step(20, 1_000)]));
    let starts = starts(&bed.tick());
    let on = |id: &JobId| -> BTreeSet<Name> {
        let of_job = starts.iter().filter(|(task, _on)| task.job == *id);
        of_job.map(|(_task, on)| Name::clone(on)).collect()
    };
    assert_eq!(on(&once).len(), 1, "they share a worker: {starts:?}");
    assert_eq!(on(&sound).len(), 2, "{starts:?}");
    assert!(on(&once).is_disjoint(&on(&sound)), "{starts:?}");
}

fn on_all_idle() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7"]);
    let id = bed.accept(job(vec![step(4, 1_000)]));
    crash_under(&mut bed, &id, 2);
    let starts = starts(&bed.tick());
    let on: BTreeSet<&Name> = starts.iter().map(|(_task, on)| on).collect();
    assert_eq!((starts.len(), on.len()), (4, 4), "{starts:?}");
}

fn outlived() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let (_id, on, loss) = lapse_while_named(&mut bed, |_now| true);
    assert_eq!(loss.blamed, Vec::new());
    let tick = crash(&mut bed, &on);
    assert_eq!(tick.losses, Vec::new());
}

fn next_life_named() {
    let mut bed = Bed::new(&["w-1", "w-2"]);
    let (id, on, _loss) = lapse_while_named(&mut bed, |now| !(2_000..4_500).contains(&now));
    let tick = crash(&mut bed, &on);
    assert_eq!(tick.losses[0].blamed, vec![task(&id, 0, 0)]);
}

fn never_started() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3"]);
    let id = suspect(&mut bed);
    let tick = bed.round();
    let [
        Order::Start {
            worker, task, run, ..
        },
    ] = &*tick.orders
    else {
        panic!("one trial begins: {:?}", tick.orders);
    };
    assert_eq!(task.job, id);
    bed.cell
        .answered(worker, task, *run, Outcome::Unknown, bed.now);
    for _list in 0..60 {
        bed.now += 100;
        if bed.cell.suspected(bed.now).contains(worker) {
            bed.cell.named(worker, 1, bed.now);
        }
        assert_eq!(bed.round().acquitted, Vec::new());
    }
}

fn given_up_for_good() {
    let ids: Vec<String> = (1..=9).map(|number| format!("w-{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut bed = Bed::new(&ids);
    let lasting = Step {
        lasting: true,
        ..step(1, 1_000)
    };
    let id = bed.accept(job(vec![lasting]));
    crash_under(&mut bed, &id, 4);
    assert_eq!(bed.round().culprits.len(), 1);
    let once = bed.accept(job(vec![step(2, 1_000)]));
    crash_under(&mut bed, &once, 1);
    bed.accept(job(vec![step(8, 1_000)]));
    let starts = starts(&bed.tick());
    let on: BTreeSet<&Name> = starts.iter().map(|(_task, on)| on).collect();
    assert_eq!((starts.len(), on.len()), (10, 1), "{starts:?}");
}
