//! Preemption for long-running tasks that can't be placed.

use super::{
    allows_apart_from_policy,
    rooms::Rooms,
    turn::{Waiting, task_id, waiting_tasks},
};
use crate::{
    advice,
    cell::Cell,
    limits::Millis,
    worker::{Run, Stop, Worker},
};
use primroseroute_domain::work::{Name, Step};

/// Reserves a worker for a long-running task that can't be placed: the one with the most free
/// capacity that may run it gets no new batch tasks, and after a while those that are in the way
/// are stopped.
///
/// If every worker has the maximum number of tasks of a spread step, or is full of long-running
/// tasks, only another worker helps: the estimate of needed workers has to count it.
pub(super) fn make_room(cell: &mut Cell, waiting: &Waiting, rooms: &mut Rooms, now: Millis) {
    let Some(job) = cell.jobs.get(&waiting.job) else {
        return;
    };
    let Some(step) = job.step(waiting.step).cloned() else {
        return;
    };
    let mut indexes = waiting_tasks(job, waiting.occurrence, waiting.step);
    let Some(index) = indexes.next() else {
        return;
    };
    let others = indexes.count() as u64;
    let task = task_id(waiting, index);
    let is_able = |place: &usize| {
        let id = rooms.id(*place);
        let worker = &cell.workers[id];
        allows_apart_from_policy(worker, &task, &step, 0)
            && advice::allows(cell, &task, id)
            && could_hold(worker, &step)
    };
    let emptiest = rooms.unkept().filter(is_able).max_by_key(|&place| {
        let free = rooms.free(place);
        (free.cpu, free.memory)
    });
    let Some(place) = emptiest else {
        let is_only_spread = step.most_per_worker > 0 && step.label.is_none();
        let is_crowded = is_only_spread && !rooms.places().any(|place| is_able(&place));
        if is_crowded && !advice::needs_ticket(cell, &task) {
            let wanted = (1 + others).div_ceil(u64::from(step.most_per_worker));
            cell.crowded = cell.crowded.max(wanted);
        }
        return;
    };
    rooms.keep(place);
    let id = Name::clone(rooms.id(place));
    let since = *cell.waiting.entry(task).or_insert(now);
    if now >= since + cell.limits.patience {
        preempt(cell, &id, &step);
    }
}

/// Whether a worker has capacity for a task of `step` once its batch tasks are gone.
pub(super) fn could_hold(worker: &Worker, step: &Step) -> bool {
    let short = worker.runs.values().filter(|run| !run.lasting);
    let freed = short.fold(worker.room(), |room, run| room.plus(run.reserved));
    step.reserved().fits(freed)
}

/// Stops batch tasks, those with the least progress first, until a task of `step` fits.
fn preempt(cell: &mut Cell, id: &Name, step: &Step) {
    let Some(worker) = cell.workers.get_mut(id) else {
        return;
    };
    let mut room = worker.room();
    let stopping = worker.runs.values().filter(|run| run.stop != Stop::No);
    room = stopping.fold(room, |room, run| room.plus(run.reserved));
    let mut runs: Vec<&mut Run> = worker.runs.values_mut().collect();
    runs.sort_by_key(|run| run.percent);
    for run in runs {
        if step.reserved().fits(room) {
            break;
        }
        if !run.lasting && run.stop == Stop::No {
            run.stop = Stop::Wanted;
            room = room.plus(run.reserved);
        }
    }
}
