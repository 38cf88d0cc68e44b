//! What a look at a worker tells: runs that go on, ends, and starts that came to nothing.

use crate::{
    cell::Cell,
    crash,
    job::Begun,
    life,
    limits::{Limits, Millis},
    row::Phase,
    worker::{Known, Origin, Run, Stop},
};
use primroseroute_domain::work::{End, Name, State, Step, TaskId};
use primroseroute_platform::worker::{Ended, Running, WorkerStatus};
use std::collections::BTreeMap;

/// Most ends that one look lists: with so many, others may be missing from it.
const FULL: usize = 500;

pub(crate) fn take(
    cell: &mut Cell,
    id: &Name,
    look: &WorkerStatus,
    sent_at: Millis,
    now: Millis,
    wall_ms: u64,
) {
    if !life::recognise(cell, id, look, sent_at, now, wall_ms) {
        return;
    }
    let Some(worker) = cell.workers.get_mut(id) else {
        return;
    };
    worker.looked_at = Some(now);
    let shown_at = shown_at(cell.limits, sent_at, now);
    worker.shown_at = worker.shown_at.max(Some(shown_at));
    worker.paced = false;
    worker.lapsed = None;
    let known = worker.seen;
    for ended in look.ended.iter().filter(|ended| ended.number > known) {
        end(cell, id, ended, now, wall_ms);
    }
    let listed = look.running.iter().map(|running| (&running.task, running));
    let listed: BTreeMap<&TaskId, &Running> = listed.collect();
    if look.ended.len() < FULL {
        missing(cell, id, &listed, sent_at);
    }
    for running in listed.values() {
        shown(cell, id, running, now);
    }
    crash::acquit(cell, id);
}

/// Up to when what a look shows surely was so.
///
/// A look is answered within its own wait. One that is taken in later was answered long before: its owner's process stood still, or
/// got no processor time. Taken for new, it showed tasks at work that had ended seconds ago, and others of their step were ended
/// beside them, more than it may miss. That the worker answers at all is as good as new: a busy owner that took its workers for
/// silent by this would place nothing on them.
fn shown_at(limits: Limits, sent_at: Millis, now: Millis) -> Millis {
    if now <= sent_at + limits.look {
        now
    } else {
        sent_at
    }
}

/// Takes in an end that wasn't seen before.
fn end(cell: &mut Cell, id: &Name, ended: &Ended, now: Millis, wall_ms: u64) {
    let limits = cell.limits;
    let Some(worker) = cell.workers.get_mut(id) else {
        return;
    };
    worker.seen = worker.seen.max(ended.number);
    if worker
        .runs
        .get(&ended.task)
        .is_some_and(|run| run.run == ended.run)
    {
        worker.runs.remove(&ended.task);
    }
    match ended.how {
        End::Done => worker.failures.clear(),
        End::Failed => {
            worker.failures.insert(ended.task.job.clone());
            if worker.failures.len() >= limits.failures as usize {
                worker.shunned_until = now + limits.quarantine;
            }
        }
        _ => {}
    }
    let Some(job) = cell.jobs.get_mut(&ended.task.job) else {
        return;
    };
    job.begun = Begun::Yes;
    let Some(step) = job.step(ended.task.step).cloned() else {
        return;
    };
    let max_attempts = job.accepted.max_attempts as usize;
    let Some(task) = job.task_mut(&ended.task) else {
        return;
    };
    if task.phase == Phase::Done {
        return;
    }
    if ended.how == End::Done && !step.lasting {
        done(cell, ended, step.gang, wall_ms);
        return;
    }
    let mut failed = false;
    if ended.how == End::Failed && !step.lasting {
        // By its number, so that an end that a successor sees again isn't counted twice.
        task.failed.insert(ended.run);
        failed = if step.gang {
            job.gang_runs(&ended.task, |task| &task.failed) >= max_attempts
        } else {
            task.failed.len() >= max_attempts
        };
        cell.dirty.insert(ended.task.job.clone());
    }
    cell.back_to_waiting(id, &ended.task, ended.run, ended.checkpoint.clone());
    if failed {
        cell.finish(&ended.task.job, State::Failed, wall_ms);
    }
}

/// A task has done its work, be it in its newest run or in one that was given up.
fn done(cell: &mut Cell, ended: &Ended, gang: bool, wall_ms: u64) {
    let Some(job) = cell.jobs.get_mut(&ended.task.job) else {
        return;
    };
    let id = &ended.task;
    let may_run_on = job.may_run_on;
    // Tasks of which further runs may be under way.
    let mut over = Vec::new();
    if let Some(steps) = job.progress.steps.get_mut(&id.occurrence)
        && let Some(tasks) = steps.get_mut(usize::from(id.step))
    {
        for (index, task) in (0..).zip(tasks) {
            if gang || index == id.index {
                task.phase = Phase::Done;
                if may_run_on {
                    over.push(TaskId {
                        index,
                        ..id.clone()
                    });
                }
            }
        }
    }
    cell.dirty.insert(id.job.clone());
    let settled = job.settle();
    if may_run_on {
        for worker in cell.workers.values_mut() {
            for task in &over {
                if let Some(run) = worker.runs.get_mut(task)
                    && run.stop == Stop::No
                {
                    run.stop = Stop::Wanted;
                }
            }
        }
    }
    if settled {
        cell.finish(&ended.task.job, State::Completed, wall_ms);
    }
}

/// Runs that the look doesn't list: over, if it would have to list them.
fn missing(cell: &mut Cell, id: &Name, listed: &BTreeMap<&TaskId, &Running>, sent_at: Millis) {
    let Some(worker) = cell.workers.get_mut(id) else {
        return;
    };
    let mut over = Vec::new();
    worker.runs.retain(|task, run| {
        let shown = listed.get(task).is_some_and(|shown| shown.run == run.run);
        let ended = match run.known {
            Known::Sent => false,
            Known::Runs(at) => at < sent_at,
            // No start that hasn't taken effect by then ever does: the worker refuses it as late, or
            // as older than a run that was stopped there.
            Known::Unsure => {
                let stopped = run.stopped_at.is_some_and(|at| at < sent_at);
                stopped || sent_at >= run.sure_after
            }
        };
        if shown || !ended {
            return true;
        }
        over.push((task.clone(), run.run));
        false
    });
    for (task, run) in over {
        cell.back_to_waiting(id, &task, run, None);
    }
}

/// A run that the look lists.
fn shown(cell: &mut Cell, id: &Name, running: &Running, now: Millis) {
    let found = cell.workers.get(id);
    if found.is_some_and(|worker| !worker.runs.contains_key(&running.task)) {
        find(cell, id, running, now);
    }
    let worker = cell.workers.get_mut(id);
    let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&running.task)) else {
        return;
    };
    if run.run != running.run {
        return;
    }
    if !matches!(run.known, Known::Runs(_)) {
        run.known = Known::Runs(now);
        if let Some(job) = cell.jobs.get_mut(&running.task.job) {
            job.begun = Begun::Yes;
        }
    }
    run.percent = running.percent;
    run.load = running.load;
    if running.checkpoint.is_some()
        && let Some(job) = cell.jobs.get_mut(&running.task.job)
        && let Some(task) = job.task_mut(&running.task)
        && task.run == running.run
    {
        task.checkpoint.clone_from(&running.checkpoint);
    }
}

/// Takes in a run that nothing committed asks for: it was given up, or its job ended.
fn find(cell: &mut Cell, id: &Name, running: &Running, now: Millis) {
    let step = cell.step(&running.task);
    let reserved = step.map(Step::reserved);
    let lasting = step.is_some_and(|step| step.lasting);
    if let Some(job) = cell.jobs.get_mut(&running.task.job) {
        job.begun = Begun::Yes;
    }
    let Some(worker) = cell.workers.get_mut(id) else {
        return;
    };
    // What a run of an ended job occupies isn't known any more: nothing fits beside it until it is stopped.
    let reserved = reserved.or_else(|| worker.info.as_ref().map(|info| info.capacity));
    let run = Run {
        known: Known::Runs(now),
        sure_after: now,
        stop: Stop::Wanted,
        origin: Origin::Found,
        ..Run::new(running.run, reserved.unwrap_or_default(), lasting)
    };
    worker.runs.insert(running.task.clone(), run);
    cell.stops_due = true;
}
