//! Migration of long-running tasks off workers that are being evacuated or that drain by
//! themselves.

use crate::{
    cell::Cell,
    limits::Millis,
    row::Phase,
    worker::{Known, Stop, Worker},
};
use primroseroute_domain::work::{Name, TaskId};

/// Progress in percent at which a long-running task is ready.
const AT_WORK: u32 = 100;

pub(crate) fn run(cell: &mut Cell, now: Millis) {
    // Tasks stopped now couldn't start elsewhere.
    if !cell.may_start(now) {
        return;
    }
    let ids: Vec<Name> = cell.workers.keys().map(Name::clone).collect();
    for id in ids {
        let worker = &cell.workers[&id];
        if worker.is_leaving() {
            leave(cell, &id);
        } else if worker.emptying.is_some() {
            empty(cell, &id, now);
        }
    }
}

fn lasting_runs(cell: &Cell, worker: &Name) -> Vec<TaskId> {
    let runs = cell.workers[worker].runs.iter();
    let movable = runs.filter(|(_task, run)| {
        run.lasting && run.stop == Stop::No && matches!(run.known, Known::Runs(_))
    });
    movable.map(|(task, _run)| task.clone()).collect()
}

/// A draining worker ends its runs when it shuts down, so its long-running tasks are stopped at
/// once.
fn leave(cell: &mut Cell, id: &Name) {
    for task in lasting_runs(cell, id) {
        want_stop(cell, id, &task);
    }
}

/// Planned work stops a long-running task only if its step tolerates one more unavailable task,
/// whatever the cause of the others, and only if another worker has free capacity for it.
fn empty(cell: &mut Cell, id: &Name, now: Millis) {
    for task in lasting_runs(cell, id) {
        if can_miss(cell, &task, now) && crate::place::has_room(cell, &task, now) {
            want_stop(cell, id, &task);
        }
    }
}

/// Whether planned work may make a long-running task unavailable.
pub(crate) fn can_miss(cell: &Cell, task: &TaskId, now: Millis) -> bool {
    let Some(step) = cell.step(task) else {
        return false;
    };
    let may_miss = usize::from(step.may_miss);
    may_miss == 0 || away(cell, task, now) < may_miss
}

/// Whether a stop of `task` that may have been sent before may be sent again.
///
/// The first one may have had no effect, and tasks that are unavailable now were available when it
/// was decided: an order to a worker behind a network partition arrives when the partition has
/// healed, and a new owner reads from the row what the previous one decided seconds ago. Without
/// this check, a repeated stop ended a ready task while a crash had taken another one of its step.
/// The check doesn't hold back stops of other tasks, or on a draining worker.
pub(crate) fn may_repeat(cell: &Cell, worker: &Name, task: &TaskId, now: Millis) -> bool {
    let leaving = cell.workers.get(worker).is_some_and(Worker::is_leaving);
    leaving || !leaves(cell, worker, task) || can_miss(cell, task, now)
}

/// Whether the newest run of a task is on a worker and is to stop there while its job goes on.
pub(crate) fn leaves(cell: &Cell, worker: &Name, task: &TaskId) -> bool {
    let newest = cell.jobs.get(&task.job).and_then(|job| job.task(task));
    let on = cell.workers.get(worker).and_then(|on| on.runs.get(task));
    newest.zip(on).is_some_and(|(newest, on)| {
        newest.run == on.run && newest.phase == Phase::Leaving(Name::clone(worker))
    })
}

fn want_stop(cell: &mut Cell, worker: &Name, task: &TaskId) {
    if let Some(worker) = cell.workers.get_mut(worker)
        && let Some(run) = worker.runs.get_mut(task)
    {
        run.stop = Stop::Wanted;
    }
}

/// Number of other tasks in the step of `task` that aren't certainly ready.
pub(crate) fn away(cell: &Cell, task: &TaskId, now: Millis) -> usize {
    let Some(job) = cell.jobs.get(&task.job) else {
        return 0;
    };
    let steps = job.progress.steps.get(&task.occurrence);
    let Some(tasks) = steps.and_then(|steps| steps.get(usize::from(task.step))) else {
        return 0;
    };
    let others = (0..)
        .zip(tasks)
        .filter(|(index, _other)| *index != task.index);
    let gone = others.filter(|(index, other)| {
        let Some(worker) = other.phase.worker() else {
            return true;
        };
        let id = TaskId {
            index: *index,
            ..task.clone()
        };
        let Some(worker) = cell.workers.get(worker) else {
            return true;
        };
        let at_work = worker.runs.get(&id).is_some_and(|run| {
            let goes_on = !run.may_be_stopping(now, &cell.limits);
            matches!(run.known, Known::Runs(_)) && goes_on && run.percent >= AT_WORK
        });
        !at_work || !worker.is_shown(now, &cell.limits)
    });
    gone.count()
}
