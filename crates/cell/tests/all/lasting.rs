//! Lasting tasks leave workers that are emptied, and no step misses more than it may.

use crate::{
    bed::{Bed, job, step, task},
    cases,
};
use primroseroute_cell::{Order, Outcome, Purpose};
use primroseroute_domain::work::{JobId, Name, Step, TaskId};

cases! {
    one_task_of_a_step_moves_at_a_time => one_at_a_time();
    nothing_moves_while_another_is_away => none_while_away();
    nothing_moves_beside_a_task_that_only_a_late_look_shows => late_look();
    nothing_moves_without_room_elsewhere => no_room();
    leaving_worker_is_left_at_once => leaving();
    successor_counts_tasks_that_are_being_stopped => taken_over();
    stop_is_repeated_only_while_the_task_can_be_missed => repeated();
    successor_repeats_a_stop_only_while_the_task_can_be_missed => repeated_by_successor();
    stop_without_effect_holds_nothing_up_for_good => held_for_good();
    tasks_of_several_jobs_are_gathered => gathered();
    worker_near_its_target_gets_no_other_task => strained();
}

fn lasting(count: u16, cpu: u64) -> Step {
    Step {
        lasting: true,
        may_miss: 1,
        most_per_worker: 1,
        ..step(count, cpu)
    }
}

/// A bed with a step of two lasting tasks at work, and the workers that have them.
fn bed(workers: &[&str], cpu: u64) -> (Bed, JobId, [Name; 2]) {
    let mut bed = Bed::new(workers);
    let id = bed.accept(job(vec![lasting(2, cpu)]));
    bed.tick();
    bed.settle();
    bed.after(100);
    bed.tick();
    let on = [0, 1].map(|index| Name::clone(&bed.on(&task(&id, 0, index))[0]));
    (bed, id, on)
}

fn away(bed: &Bed, id: &JobId) -> usize {
    let indexes = 0..2;
    indexes
        .filter(|index| {
            let id = task(id, 0, *index);
            !bed.running.values().any(|running| {
                running
                    .get(&id)
                    .is_some_and(|(_run, percent)| *percent == 100)
            })
        })
        .count()
}

fn one_at_a_time() {
    let (mut bed, id, on) = bed(&["w-1", "w-2", "w-3", "w-4"], 1_000);
    for worker in &on {
        bed.cell.empty(worker, Some(Purpose::Maintenance));
    }
    for round in 0..40 {
        bed.tick();
        assert!(away(&bed, &id) <= 1, "two are away in round {round}");
        bed.after(100);
        if round % 5 == 4 {
            bed.settle();
            bed.after(10);
        }
    }
    for worker in &on {
        assert_eq!(bed.cell.runs_on(worker), 0, "{worker} isn't empty");
    }
}

fn none_while_away() {
    let (mut bed, id, on) = bed(&["w-1", "w-2", "w-3"], 1_000);
    // The second task works on, and its worker doesn't answer any more.
    bed.cell.empty(&on[0], Some(Purpose::Maintenance));
    let silent = Name::clone(&on[1]);
    for _tenth in 0..35 {
        bed.now += 100;
        for id in ["w-1", "w-2", "w-3"] {
            if *id != *silent {
                bed.look_at(&id.into());
            }
        }
    }
    bed.tick();
    assert_eq!(bed.on(&task(&id, 0, 0)), vec![Name::clone(&on[0])]);
}

// The owner's process stands still for twelve seconds. The worker of the second task dies meanwhile, and answers to looks that were
// sent before are taken in when the owner goes on. They show the second task at work, as it was then; the first one was moved by
// that, and both were away.
fn late_look() {
    let (mut bed, id, on) = bed(&["w-1", "w-2", "w-3"], 1_000);
    let sent_at = bed.now;
    bed.now += 12_000;
    bed.look_sent_at(&on[1], sent_at);
    for worker in ["w-1", "w-2", "w-3"].map(Name::from) {
        if worker != on[1] {
            bed.look_at(&worker);
        }
    }
    bed.cell.empty(&on[0], Some(Purpose::Maintenance));
    let orders = bed.tick();
    let stops = |order: &Order| matches!(order, Order::Stop { task: stopped, .. } if *stopped == task(&id, 0, 0));
    assert!(!orders.iter().any(stops), "{orders:?}");
}

fn no_room() {
    let (mut bed, id, on) = bed(&["w-1", "w-2"], 6_000);
    bed.cell.empty(&on[0], Some(Purpose::Maintenance));
    bed.tick();
    assert_eq!(bed.on(&task(&id, 0, 0)), vec![Name::clone(&on[0])]);
}

fn leaving() {
    let (mut bed, id, on) = bed(&["w-1", "w-2", "w-3"], 1_000);
    let mut info = crate::bed::worker(&on[0]);
    info.draining = true;
    bed.cell.register(info);
    bed.tick();
    bed.after(100);
    bed.tick();
    let now = bed.on(&task(&id, 0, 0));
    assert!(now.len() == 1 && now[0] != on[0], "{now:?}");
}

// An owner takes a task from a worker that is emptied, and another owner takes the pool over before
// the worker has ended the run: looks still show it at work. The successor empties a second worker.
// It must count the first task as away, or two are where one may be; and it must repeat the stop,
// which may never have been sent.
fn taken_over() {
    let (mut bed, id, on) = bed(&["w-1", "w-2", "w-3", "w-4"], 1_000);
    bed.cell.empty(&on[0], Some(Purpose::Maintenance));
    let first = Order::Stop {
        worker: Name::clone(&on[0]),
        task: task(&id, 0, 0),
        run: 1,
    };
    assert_eq!(bed.round().orders, vec![first.clone()]);
    bed.replace_owner();
    bed.after(100);
    bed.cell.empty(&on[1], Some(Purpose::Maintenance));
    assert_eq!(bed.tick(), vec![first]);
    for round in 0..40 {
        bed.after(100);
        bed.tick();
        assert!(away(&bed, &id) <= 1, "two are away in round {round}");
        if round % 5 == 4 {
            bed.settle();
        }
    }
    assert_eq!(bed.cell.runs_on(&on[1]), 0, "{} isn't empty", on[1]);
}

/// A bed whose first task is to leave its worker, which doesn't hear of it; and the stop.
fn unheard(workers: &[&str]) -> (Bed, JobId, [Name; 2], Order) {
    let (mut bed, id, on) = bed(workers, 1_000);
    bed.cell.empty(&on[0], Some(Purpose::Maintenance));
    let tick = bed.round();
    let orders = bed.standing(tick);
    let stop = Order::Stop {
        worker: Name::clone(&on[0]),
        task: task(&id, 0, 0),
        run: 1,
    };
    assert_eq!(orders, vec![stop.clone()]);
    (bed, id, on, stop)
}

/// All workers die but that of the first task.
fn lose_others(bed: &mut Bed, id: &JobId, on: &[Name; 2]) {
    let others: Vec<Name> = bed.running.keys().map(Name::clone).collect();
    for other in others.iter().filter(|other| **other != on[0]) {
        bed.cell.gone(other, 1, bed.now);
        bed.running.remove(other);
    }
    bed.round();
    assert_eq!(bed.on(&task(id, 0, 1)), Vec::<Name>::new());
}

/// Another worker comes, the second task is at work there, and the first one may go.
fn moves_once_missed(bed: &mut Bed, stop: &Order) {
    bed.cell.register(crate::bed::worker("w-9"));
    bed.running
        .insert("w-9".into(), std::collections::BTreeMap::new());
    bed.after(100);
    bed.tick();
    bed.settle();
    bed.after(100);
    assert!(bed.tick().contains(stop), "the first doesn't move any more");
}

// A step may miss one of two tasks. The stop of the first, which moves, doesn't reach its worker. Then the second one's worker
// dies. The stop was sent again every half second without a look at that, and once it arrived both were away.
fn repeated() {
    let (mut bed, id, on, stop) = unheard(&["w-1", "w-2", "w-3"]);
    lose_others(&mut bed, &id, &on);
    for _half_second in 0..6 {
        bed.after(600);
        assert!(!bed.tick().contains(&stop), "both are away");
    }
    moves_once_missed(&mut bed, &stop);
}

// The same, and another owner takes the pool over. It found in the row that the first task is to stop, and sent the stop in its
// first round, before it knew anything of the others.
fn repeated_by_successor() {
    let (mut bed, id, on, stop) = unheard(&["w-1", "w-2", "w-3"]);
    lose_others(&mut bed, &id, &on);
    bed.replace_owner();
    assert!(!bed.tick().contains(&stop), "nothing is known of the other");
    bed.after(600);
    assert!(!bed.tick().contains(&stop), "both are away");
    moves_once_missed(&mut bed, &stop);
}

// The starts of both tasks of a step get no answer, nor do the stops that are to settle them, and both are at work. Each is to
// stop, and counts as away for the other. Once no stop can be on its way any more both count as at work again, and their runs
// are settled one after the other; never both at once.
fn held_for_good() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3"]);
    let id = bed.accept(job(vec![lasting(2, 1_000)]));
    let tick = bed.round();
    let mut runs: Vec<(Name, TaskId)> = Vec::new();
    for order in bed.standing(tick) {
        let Order::Start {
            worker, task, run, ..
        } = order
        else {
            continue;
        };
        let running = bed.running.entry(Name::clone(&worker)).or_default();
        running.insert(task.clone(), (run, 0));
        let now = bed.now;
        bed.cell
            .answered(&worker, &task, run, Outcome::Unknown, now);
        runs.push((worker, task));
    }
    let tick = bed.round();
    bed.standing(tick);
    bed.settle();
    for _second in 0..40 {
        bed.after(1_000);
        bed.tick();
        assert!(away(&bed, &id) <= 1, "both are away");
        bed.settle();
    }
    let settled = |(worker, task): &(Name, TaskId)| {
        bed.running[worker]
            .get(task)
            .is_none_or(|(run, _percent)| *run > 1)
    };
    assert!(runs.iter().all(settled), "a stop waits for good");
}

/// Workers with lasting tasks.
fn occupied(bed: &Bed) -> usize {
    let running = bed.running.values();
    running.filter(|running| !running.is_empty()).count()
}

// A pool of many workers whose lasting tasks need few of them: the others can go to where a turn has begun, or be switched off.
fn gathered() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3", "w-4", "w-5", "w-6"]);
    for _job in 0..3 {
        bed.accept(job(vec![lasting(2, 3_000)]));
        bed.tick();
        bed.settle();
        bed.after(100);
    }
    assert_eq!(occupied(&bed), 2);
    bed.accept(job(vec![lasting(2, 3_000)]));
    bed.tick();
    assert_eq!(occupied(&bed), 4);
}

// The tail of one task's response time comes near its target: what else is placed on its worker would push it over.
fn strained() {
    let mut bed = Bed::new(&["w-1", "w-2", "w-3"]);
    let step = Step {
        target_ms: 100,
        ..lasting(1, 1_000)
    };
    let first = bed.accept(job(vec![step.clone()]));
    bed.tick();
    bed.tails.insert(task(&first, 0, 0), 70);
    bed.settle();
    bed.after(100);
    let second = bed.accept(job(vec![step]));
    bed.tick();
    let on = |id: &JobId| bed.on(&task(id, 0, 0));
    assert_ne!(on(&first), on(&second));
}
