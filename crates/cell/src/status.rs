//! Processing of worker statuses: active runs, ended runs, and starts that never took effect.

use crate::{
    cell::Cell,
    crash, incarnation,
    job::HasStarted,
    limits::{Limits, Millis},
    row::{Phase, overflow::is_storable},
    run_times, speed, straggler,
    worker::{Origin, Run, StartState, StopState},
};
use primroseroute_domain::work::{End, Name, State, Step, TaskId};
use primroseroute_platform::worker::{Ended, Running, WorkerStatus};
use std::collections::BTreeMap;

/// Maximum number of ended runs that one status lists: a full list may be incomplete.
const MAX_ENDS: usize = 500;

pub(crate) fn apply(
    cell: &mut Cell,
    id: &Name,
    status: &WorkerStatus,
    sent_at: Millis,
    now: Millis,
    wall_ms: u64,
) {
    if !incarnation::identify(cell, id, status, sent_at, now, wall_ms) {
        return;
    }
    let Some(worker) = cell.workers.get_mut(id) else {
        return;
    };
    cell.capacities_changed |= !worker.has_answered();
    worker.status_at = Some(now);
    let status_as_of = status_as_of(cell.limits, sent_at, now);
    worker.status_as_of = worker.status_as_of.max(Some(status_as_of));
    worker.throttle_checked = false;
    let is_current = status_as_of == now;
    let held_at = worker.speed.held_at(sent_at, now, status.clock_ms);
    worker.speed.begin_list();
    worker.expired_lease = None;
    worker.relisted_at.clear();
    let recorded = worker.last_end;
    for ended in status.ended.iter().filter(|ended| ended.number > recorded) {
        if is_current {
            observe_end(cell, id, ended, now);
        }
        straggler::observe_ended(cell, id, ended, held_at);
        apply_end(cell, id, ended, now, wall_ms);
    }
    if let Some(worker) = cell.workers.get_mut(id) {
        let foreign = status.foreign_ends.iter().copied();
        worker.last_end = foreign.fold(worker.last_end, u64::max);
    }
    let listed = status
        .running
        .iter()
        .map(|running| (&running.task, running));
    let listed: BTreeMap<&TaskId, &Running> = listed.collect();
    if status.ended.len() + status.foreign_ends.len() < MAX_ENDS {
        remove_unlisted(cell, id, &listed, sent_at);
    }
    for running in listed.values() {
        apply_listed(cell, id, running, is_current, now);
        straggler::observe_listed(cell, id, running, held_at);
    }
    crash::clear_crashes(cell, id);
}

/// The time up to which a status certainly held.
///
/// A status poll is answered within its own timeout. One that is processed later was answered long
/// before: its owner's process was suspended or got no processor time. When such a status was
/// treated as current, it showed tasks as ready that had ended seconds ago, and other tasks of
/// their step were stopped too, more than may be unavailable. For the question whether the worker
/// responds at all, a late status counts as current: otherwise a busy owner would take its workers
/// for unresponsive and place nothing on them.
fn status_as_of(limits: Limits, sent_at: Millis, now: Millis) -> Millis {
    if now <= sent_at + limits.poll_timeout {
        now
    } else {
        sent_at
    }
}

/// Learns the run time of a run that has ended.
fn observe_end(cell: &mut Cell, id: &Name, ended: &Ended, now: Millis) {
    if ended.how != End::Done {
        return;
    }
    let worker = cell.workers.get(id);
    let worker = worker.filter(|worker| worker.speed.state == speed::State::Normal);
    let run = worker.and_then(|worker| worker.runs.get(&ended.task));
    let run = run.filter(|run| run.run == ended.run);
    if let Some(whole_ms) = run.and_then(|run| run_times::measured(run, now)) {
        run_times::observe(cell, &ended.task, whole_ms, now);
    }
}

/// Applies the end of a run that wasn't recorded before.
fn apply_end(cell: &mut Cell, id: &Name, ended: &Ended, now: Millis, wall_ms: u64) {
    let limits = cell.limits;
    let Some(worker) = cell.workers.get_mut(id) else {
        return;
    };
    worker.last_end = worker.last_end.max(ended.number);
    let job = ended.task.job.clone();
    worker.uncommitted_ends.push((ended.number, job));
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
            if worker.failures.len() >= limits.max_failures as usize {
                worker.cordoned_until = now + limits.quarantine;
            }
        }
        _ => {}
    }
    let Some(job) = cell.jobs.get_mut(&ended.task.job) else {
        return;
    };
    job.has_started = HasStarted::Yes;
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
        complete_task(cell, ended, step.gang, wall_ms);
        return;
    }
    let mut failed = false;
    if ended.how == End::Failed && !step.lasting {
        // Recorded by run number, so that an end that a new owner sees again isn't counted twice.
        task.failed.insert(ended.run);
        failed = if step.gang {
            job.gang_runs(&ended.task, |task| &task.failed) >= max_attempts
        } else {
            task.failed.len() >= max_attempts
        };
        cell.dirty.insert(ended.task.job.clone());
    }
    let checkpoint = ended.checkpoint.clone().filter(is_storable);
    cell.back_to_waiting(id, &ended.task, ended.run, checkpoint);
    if failed {
        cell.finish(&ended.task.job, State::Failed, wall_ms);
    }
}

/// A task is completed, by its newest run or by one that was given up.
fn complete_task(cell: &mut Cell, ended: &Ended, gang: bool, wall_ms: u64) {
    let Some(job) = cell.jobs.get_mut(&ended.task.job) else {
        return;
    };
    let id = &ended.task;
    let may_have_other_runs = job.may_have_other_runs;
    // Tasks of which further runs may be under way.
    let mut over = Vec::new();
    if let Some(steps) = job.progress.steps.get_mut(&id.occurrence)
        && let Some(tasks) = steps.get_mut(usize::from(id.step))
    {
        for (index, task) in (0..).zip(tasks) {
            if gang || index == id.index {
                task.phase = Phase::Done;
                if may_have_other_runs {
                    over.push(TaskId {
                        index,
                        ..id.clone()
                    });
                }
            }
        }
    }
    job.record_ready_steps(id, wall_ms);
    cell.dirty.insert(id.job.clone());
    let settled = job.drop_finished_occurrences();
    if may_have_other_runs {
        for worker in cell.workers.values_mut() {
            for task in &over {
                if let Some(run) = worker.runs.get_mut(task)
                    && run.stop == StopState::No
                {
                    run.stop = StopState::Requested;
                }
            }
        }
    }
    if settled {
        cell.finish(&ended.task.job, State::Completed, wall_ms);
    }
}

/// Handles runs that the status doesn't list: they are over, if it would have to list them.
fn remove_unlisted(
    cell: &mut Cell,
    id: &Name,
    listed: &BTreeMap<&TaskId, &Running>,
    sent_at: Millis,
) {
    let Some(worker) = cell.workers.get_mut(id) else {
        return;
    };
    let mut over = Vec::new();
    worker.runs.retain(|task, run| {
        let shown = listed.get(task).is_some_and(|shown| shown.run == run.run);
        let ended = match run.start_state {
            StartState::Sent => false,
            StartState::Confirmed(at) => at < sent_at,
            // A start that hasn't taken effect by then never does: the worker refuses it as late,
            // or as older than a run that was stopped there.
            StartState::Uncertain => {
                let stopped = run.stop_accepted_at.is_some_and(|at| at < sent_at);
                stopped || sent_at >= run.start_expires_at
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

/// Handles a run that the status lists; `is_current` says whether the status still holds.
fn apply_listed(cell: &mut Cell, id: &Name, running: &Running, is_current: bool, now: Millis) {
    let found = cell.workers.get(id);
    if found.is_some_and(|worker| !worker.runs.contains_key(&running.task)) {
        add_discovered(cell, id, running, now);
    }
    // The time of a run on a slow worker says nothing of its task.
    let is_normal = cell
        .workers
        .get(id)
        .is_some_and(|worker| worker.speed.state == speed::State::Normal);
    let worker = cell.workers.get_mut(id);
    let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&running.task)) else {
        return;
    };
    if run.run != running.run {
        return;
    }
    if !matches!(run.start_state, StartState::Confirmed(_)) {
        run.start_state = StartState::Confirmed(now);
        if let Some(job) = cell.jobs.get_mut(&running.task.job) {
            job.has_started = HasStarted::Yes;
        }
    }
    let whole_ms = (is_current && is_normal)
        .then(|| run_times::projected(run, running.percent, now))
        .flatten();
    run.percent = running.percent;
    run.load = running.load;
    if running.checkpoint.as_ref().is_some_and(is_storable)
        && let Some(job) = cell.jobs.get_mut(&running.task.job)
        && let Some(task) = job.task_mut(&running.task)
        && task.run == running.run
    {
        if task.checkpoint != running.checkpoint {
            run.trace.checkpoint_percent = u64::from(running.percent).min(100);
        }
        task.checkpoint.clone_from(&running.checkpoint);
    }
    if let Some(whole_ms) = whole_ms {
        run_times::observe(cell, &running.task, whole_ms, now);
    }
}

/// Adds a listed run for which there is no committed placement: it was given up, or its job has
/// ended.
fn add_discovered(cell: &mut Cell, id: &Name, running: &Running, now: Millis) {
    let step = cell.step(&running.task);
    let reserved = step.map(Step::reserved);
    let long_running = step.is_some_and(|step| step.lasting);
    let job = cell.jobs.get(&running.task.job);
    let charge = job.and_then(|job| job.charge(running.task.step));
    if let Some(job) = cell.jobs.get_mut(&running.task.job) {
        job.has_started = HasStarted::Yes;
    }
    let Some(worker) = cell.workers.get_mut(id) else {
        return;
    };
    // The reservation of a run of an ended job isn't known any more, so it counts as the whole
    // worker until it is stopped.
    let reserved = reserved.or_else(|| worker.registration.as_ref().map(|info| info.capacity));
    let run = Run {
        start_state: StartState::Confirmed(now),
        start_expires_at: now,
        stop: StopState::Requested,
        origin: Origin::Discovered,
        charge,
        ..Run::new(running.run, reserved.unwrap_or_default(), long_running)
    };
    worker.runs.insert(running.task.clone(), run);
    cell.stops_due = true;
}
