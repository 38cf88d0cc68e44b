//! Migration of long-running tasks off workers that are being evacuated or that drain by
//! themselves.

use crate::{
    cell::Cell,
    limits::Millis,
    row::Phase,
    worker::{StartState, StopState, Worker},
};
use primroseroute_domain::work::{Name, TaskId};

/// Progress in percent at which a long-running task is ready.
const READY_PERCENT: u32 = 100;

pub(crate) fn run(cell: &mut Cell, now: Millis) {
    // Tasks stopped now couldn't start elsewhere.
    if !cell.may_start(now) {
        return;
    }
    let ids: Vec<Name> = cell.workers.keys().map(Name::clone).collect();
    for id in ids {
        let worker = &cell.workers[&id];
        if worker.is_draining() {
            stop_long_running(cell, &id);
        } else if worker.evacuating.is_some() {
            evacuate(cell, &id, now);
        }
    }
}

fn movable_runs(cell: &Cell, worker: &Name) -> Vec<TaskId> {
    let runs = cell.workers[worker].runs.iter();
    let movable = runs.filter(|(_task, run)| {
        run.lasting
            && run.stop == StopState::No
            && matches!(run.start_state, StartState::Confirmed(_))
    });
    movable.map(|(task, _run)| task.clone()).collect()
}

/// Whether the account of a task is within its limit: beyond it, the task couldn't start elsewhere.
pub(crate) fn may_start_again(cell: &Cell, task: &TaskId) -> bool {
    let job = cell.jobs.get(&task.job);
    let charge = job.and_then(|job| job.charge(task.step));
    charge.is_none_or(|charge| cell.meter.admits(charge, 0))
}

/// A draining worker ends its runs when it shuts down, so its long-running tasks are stopped at
/// once.
fn stop_long_running(cell: &mut Cell, id: &Name) {
    for task in movable_runs(cell, id) {
        request_stop(cell, id, &task);
    }
}

/// Planned work stops a long-running task only if its step tolerates one more unavailable task,
/// whatever the cause of the others, and only if another worker has free capacity for it.
fn evacuate(cell: &mut Cell, id: &Name, now: Millis) {
    for task in movable_runs(cell, id) {
        if tolerates_unavailable(cell, &task, now)
            && may_start_again(cell, &task)
            && crate::placement::fits_somewhere(cell, &task, now)
        {
            request_stop(cell, id, &task);
        }
    }
}

/// Whether planned work may make a long-running task unavailable.
pub(crate) fn tolerates_unavailable(cell: &Cell, task: &TaskId, now: Millis) -> bool {
    let Some(step) = cell.step(task) else {
        return false;
    };
    let may_miss = usize::from(step.may_miss);
    may_miss == 0 || unavailable_peers(cell, task, now) < may_miss
}

/// Whether a stop of `task` that may have been sent before may be sent again.
///
/// The first one may have had no effect, and tasks that are unavailable now were available when it
/// was decided: an order to a worker behind a network partition arrives when the partition has
/// healed, and a new owner reads from the row what the previous one decided seconds ago. Without
/// this check, a repeated stop ended a ready task while a crash had taken another one of its step.
/// The check doesn't hold back stops of other tasks, or on a draining worker.
pub(crate) fn may_repeat_stop(cell: &Cell, worker: &Name, task: &TaskId, now: Millis) -> bool {
    let leaving = cell.workers.get(worker).is_some_and(Worker::is_draining);
    leaving || !is_to_leave(cell, worker, task) || tolerates_unavailable(cell, task, now)
}

/// Whether the newest run of a task is on a worker and is to stop there while its job goes on.
pub(crate) fn is_to_leave(cell: &Cell, worker: &Name, task: &TaskId) -> bool {
    let newest = cell.jobs.get(&task.job).and_then(|job| job.task(task));
    let on = cell.workers.get(worker).and_then(|on| on.runs.get(task));
    newest.zip(on).is_some_and(|(newest, on)| {
        newest.run == on.run && newest.phase == Phase::Leaving(Name::clone(worker))
    })
}

fn request_stop(cell: &mut Cell, worker: &Name, task: &TaskId) {
    if let Some(worker) = cell.workers.get_mut(worker)
        && let Some(run) = worker.runs.get_mut(task)
    {
        run.stop = StopState::Requested;
    }
}

/// Number of other tasks in the step of `task` that aren't certainly ready.
pub(crate) fn unavailable_peers(cell: &Cell, task: &TaskId, now: Millis) -> usize {
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
    let unavailable = others.filter(|(index, other)| {
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
        let is_ready = worker.runs.get(&id).is_some_and(|run| {
            let goes_on = !run.may_be_stopping(now, &cell.limits);
            matches!(run.start_state, StartState::Confirmed(_))
                && goes_on
                && run.percent >= READY_PERCENT
        });
        !is_ready || !worker.has_current_status(now, &cell.limits)
    });
    unavailable.count()
}
