//! Preemption for long-running tasks that can't be placed.

use super::{
    allows_ignoring_policy,
    candidates::Candidates,
    urgency::{WaitingStep, task_id, waiting_tasks},
};
use crate::{
    advice,
    cell::Cell,
    limits::Millis,
    worker::{Run, StopState, Worker},
};
use primroseroute_domain::work::{Name, Step};

/// Reserves a worker for a long-running task that can't be placed: the one with the most free
/// capacity that may run it gets no new batch tasks, and after a while those that are in the way
/// are stopped.
///
/// If every worker has the maximum number of tasks of a spread step, or is full of long-running
/// tasks, only another worker helps: the estimate of needed workers has to count it.
pub(super) fn reserve_or_preempt(
    cell: &mut Cell,
    waiting: &WaitingStep,
    candidates: &mut Candidates,
    now: Millis,
) {
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
    let is_able = |candidate: &usize| {
        let id = candidates.id(*candidate);
        let worker = &cell.workers[id];
        allows_ignoring_policy(worker, &task, &step, 0)
            && advice::allows(cell, &task, id)
            && fits_without_batch(worker, &step)
    };
    let emptiest = candidates
        .unblocked()
        .filter(is_able)
        .max_by_key(|&candidate| {
            let free = candidates.free(candidate);
            (free.cpu, free.memory)
        });
    let Some(candidate) = emptiest else {
        let is_only_spread = step.most_per_worker > 0 && step.label.is_none();
        let is_exhausted = is_only_spread && !candidates.all().any(|candidate| is_able(&candidate));
        if is_exhausted && !advice::needs_ticket(cell, &task) {
            let wanted = (1 + others).div_ceil(u64::from(step.most_per_worker));
            cell.spread_shortage = cell.spread_shortage.max(wanted);
        }
        return;
    };
    candidates.block(candidate);
    let id = Name::clone(candidates.id(candidate));
    let since = *cell.unplaced_since.entry(task).or_insert(now);
    if now >= since + cell.limits.preempt_after {
        preempt(cell, &id, &step);
    }
}

/// Whether a worker has capacity for a task of `step` once its batch tasks are gone.
pub(crate) fn fits_without_batch(worker: &Worker, step: &Step) -> bool {
    let batch = worker.runs.values().filter(|run| !run.lasting);
    let freed = batch.fold(worker.free_capacity(), |available, run| {
        available.plus(run.reserved)
    });
    step.reserved().fits(freed)
}

/// Stops batch tasks, those with the least progress first, until a task of `step` fits.
fn preempt(cell: &mut Cell, id: &Name, step: &Step) {
    let Some(worker) = cell.workers.get_mut(id) else {
        return;
    };
    let mut available = worker.free_capacity();
    let stopping = worker.runs.values().filter(|run| run.stop != StopState::No);
    available = stopping.fold(available, |available, run| available.plus(run.reserved));
    let mut runs: Vec<&mut Run> = worker.runs.values_mut().collect();
    runs.sort_by_key(|run| run.percent);
    for run in runs {
        if step.reserved().fits(available) {
            break;
        }
        if !run.lasting && run.stop == StopState::No {
            run.stop = StopState::Requested;
            available = available.plus(run.reserved);
        }
    }
}
