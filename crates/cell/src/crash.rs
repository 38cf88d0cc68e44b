//! Detection of tasks that crash the workers they run on.
//!
//! Nothing tells which task has crashed a worker: its incarnation is over, and all its runs are
//! lost. A crash is attributed to the runs that were new at the time. Most of them didn't cause it,
//! so a task with several crashes becomes a *suspect*: it is started on a worker without other new
//! runs, and a crash during this *isolated run* is attributed to it alone. While there are
//! suspects, tasks with a single crash are run in small isolated groups, apart from those without:
//! otherwise the second crash of each crashing task would be attributed to all new runs on a full
//! worker. A run that goes on for a while after its start has shown that its worker survives it,
//! and so has a run of a previous owner that is seen to go on: the crash record of its task is
//! cleared. Otherwise a new owner, which can't tell how long ago a run began, would take it for the
//! isolated run of a suspect.
//!
//! An abandoned task fails its job. A task of a long-running step is just not started again: the
//! job goes on, since the other tasks of the step still serve.
//!
//! The crashes of a task are stored in its row, by run number, so they survive a change of owner.
//! Crashes of gang members count for the gang as a whole. A worker that was only partitioned from
//! its owner hasn't crashed: its runs go back to waiting when its lease has expired, and the loss
//! is attributed to them only if its incarnation turns out to be over.
//!
//! A crash lies between the last sign of life of the worker and the first sign of its end. If that
//! is longer than it takes to notice that a start has crashed its worker, or if the worker may have
//! been listed since, the run may have ended long before the crash. Such an *inconclusive* crash
//! may make a suspect of a task, but doesn't count against one: the last two crashes before a task
//! is abandoned are conclusive.

use crate::{
    cell::Cell,
    limits::{Limits, MAX_LIST_AGE_MS, Millis},
    order::{Cause, Loss},
    row::{Phase, Task},
    worker::{Origin, Run, StartState, Worker},
};
use primroseroute_domain::work::{Name, State, TaskId};

/// Number of crashes from which a task is a suspect.
const SUSPECT_CRASHES: usize = 2;

/// Number of crashes from which a task is abandoned: those from the third one on came from isolated
/// runs.
const ABANDON_CRASHES: usize = 4;

/// Maximum number of tasks with a single crash that run isolated together: a crash makes all of
/// them suspects, each of which is then run alone.
const MAX_ISOLATED_TOGETHER: usize = 4;

/// A task that is abandoned because it crashes its workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoisonTask {
    /// The task.
    pub task: TaskId,
    /// Number of crashes attributed to it.
    pub crashes: usize,
}

/// A run that may have crashed its worker.
#[derive(Clone, Debug)]
pub(crate) struct NewRun {
    pub task: TaskId,
    pub run: u32,
    /// Time by which it had started, if it ever has, as far as this owner knows.
    pub started_by: Millis,
    /// A worker that is alive at this time has survived it.
    pub survived_at: Millis,
}

/// What is known of when a worker's incarnation ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evidence {
    /// It had ended by this time.
    pub ended_by: Millis,
    /// When the platform was last asked and listed it after a gap in which it could have ended.
    pub relisted_at: Option<Millis>,
}

impl Evidence {
    /// Whether the incarnation ended so soon after the start of a run that the run may be taken for
    /// the cause.
    fn is_conclusive(&self, new: &NewRun, limits: &Limits) -> bool {
        let listed_as_of = self
            .relisted_at
            .map(|at| at.saturating_sub(MAX_LIST_AGE_MS));
        let may_have_survived = listed_as_of.is_some_and(|at| at >= new.survived_at);
        let span = self.ended_by.abs_diff(new.started_by);
        span <= limits.crash_detection_time() && !may_have_survived
    }
}

/// The runs of a worker that may have crashed it.
pub(crate) fn new_runs(worker: &Worker, limits: &Limits) -> Vec<NewRun> {
    // A run whose start may still arrive late was counted when the worker's incarnation ended.
    new_runs_where(worker, limits, |_task, run| {
        run.late_start_until.is_none() && worker.is_new(run, limits.settle_time)
    })
}

/// Time by which a run had started, if it ever has. Of a run that was discovered, only the time of
/// the takeover is known.
fn started_by(run: &Run, limits: &Limits) -> Millis {
    let committed_at = || {
        let window = limits.max_local_span(limits.start_window);
        run.start_expires_at.saturating_sub(window)
    };
    match (run.start_state, run.origin) {
        (StartState::Confirmed(at), _) => at,
        (_, Origin::Discovered) => run.start_expires_at,
        (_, Origin::Started | Origin::Isolated) => committed_at(),
    }
}

/// The runs of a worker for which `holds` is true, as ones that may have crashed it.
pub(crate) fn new_runs_where(
    worker: &Worker,
    limits: &Limits,
    holds: impl Fn(&TaskId, &Run) -> bool,
) -> Vec<NewRun> {
    let runs = worker.runs.iter().filter(|(task, run)| holds(task, run));
    let new = runs.map(|(task, run)| NewRun {
        task: task.clone(),
        run: run.run,
        started_by: started_by(run, limits),
        survived_at: run.survived_at(limits.settle_time),
    });
    new.collect()
}

/// Records that runs of a worker are lost without an end: their tasks wait again, and a crash is
/// attributed to those of the runs that were `new`.
pub(crate) fn record_lost_runs(
    cell: &mut Cell,
    id: &Name,
    cause: Cause,
    runs: Vec<(TaskId, u32)>,
    (new, evidence): (&[NewRun], Evidence),
    wall_ms: u64,
) {
    for (task, run) in &runs {
        if let Some(worker) = cell.workers.get_mut(id) {
            worker.runs.remove(task);
        }
        cell.back_to_waiting(id, task, *run, None);
    }
    let attributed_to = match cause {
        Cause::Crash => attribute_crash(cell, new, evidence, wall_ms),
        Cause::Planned | Cause::Lapse => Vec::new(),
    };
    let starts = new.iter().map(|run| run.started_by);
    let span = |start| evidence.ended_by.saturating_sub(start);
    cell.losses.push(Loss {
        worker: Name::clone(id),
        cause,
        runs,
        attributed_to,
        span_ms: starts.max().map(span),
        relisted: evidence.relisted_at.is_some(),
    });
}

/// Attributes a worker's crash to the tasks of `runs`, which were new there. Returns the tasks that
/// it was attributed to.
fn attribute_crash(
    cell: &mut Cell,
    runs: &[NewRun],
    evidence: Evidence,
    wall_ms: u64,
) -> Vec<TaskId> {
    let suspects = runs.iter().filter(|new| is_suspect(cell, &new.task));
    let suspects: Vec<NewRun> = suspects.cloned().collect();
    let accountable = match suspects.len() {
        0 => runs,
        1 => &suspects,
        // Not an isolated run: this owner discovered the runs and can't tell which of them are new.
        _ => &[],
    };
    let mut attributed_to = Vec::new();
    for new in accountable {
        let NewRun { task, run, .. } = new;
        let is_suspect = crashes(cell, task) >= SUSPECT_CRASHES;
        if is_suspect && !evidence.is_conclusive(new, &cell.limits) {
            continue;
        }
        let Some(job) = cell.jobs.get_mut(&task.job) else {
            continue;
        };
        let Some(known) = job.task_mut(task).filter(|task| task.phase != Phase::Done) else {
            continue;
        };
        known.crashed.insert(*run);
        cell.crashed.insert(task.clone(), known.crashed.len());
        cell.dirty.insert(task.job.clone());
        attributed_to.push(task.clone());
    }
    for task in &attributed_to {
        let crashes = crashes(cell, task);
        if crashes >= ABANDON_CRASHES {
            let task = task.clone();
            let long_running = cell.step(&task).is_some_and(|step| step.lasting);
            if !long_running {
                cell.finish(&task.job, State::Failed, wall_ms);
            }
            cell.poison_tasks.push(PoisonTask { task, crashes });
        }
    }
    attributed_to
}

/// Clears the crash records of tasks whose runs have shown that the worker survives them.
pub(crate) fn clear_crashes(cell: &mut Cell, id: &Name) {
    if cell.crashed.is_empty() {
        return;
    }
    let Some(worker) = cell.workers.get(id) else {
        return;
    };
    // A start without an answer may never have reached the worker, however long the worker stays
    // up.
    let settled = worker.runs_where(|task, run| {
        has_crashes(cell, task)
            && matches!(run.start_state, StartState::Confirmed(_))
            && !worker.is_new(run, cell.limits.settle_time)
    });
    for (id, run) in settled {
        let job = cell.jobs.get_mut(&id.job);
        let task = job.and_then(|job| job.task_mut(&id));
        if let Some(task) = task.filter(|task| task.run == run) {
            task.crashed.clear();
            task.incarnation_tag = None;
            cell.crashed.remove(&id);
            cell.dirty.insert(id.job.clone());
            cell.crashes_cleared.push(id);
        }
    }
}

/// Workers to poll at once: those that isolated runs wait for, and those whose status may clear the
/// crash record of a task.
///
/// The regular polls wait up to a second for a run to end. If the owner dies meanwhile, its
/// successor finds a run of a suspect that has been under way for long, with no evidence of that.
pub(crate) fn immediate_polls(cell: &mut Cell, now: Millis) -> Vec<Name> {
    let mut polls = std::mem::take(&mut cell.poll_requests);
    if cell.crashed.is_empty() {
        return polls;
    }
    let (crashed, settle_time) = (&cell.crashed, cell.limits.settle_time);
    for (id, worker) in &mut cell.workers {
        let status_as_of = worker.status_as_of;
        for (task, run) in &mut worker.runs {
            let due = matches!(run.start_state, StartState::Confirmed(at) if now >= at + settle_time && status_as_of < Some(at + settle_time));
            if due
                && run.origin != Origin::Discovered
                && !run.clearing_poll_requested
                && crashed.contains_key(task)
            {
                run.clearing_poll_requested = true;
                polls.push(Name::clone(id));
            }
        }
    }
    polls.sort();
    polls.dedup();
    polls
}

/// Whether crashes are attributed to a task.
pub(crate) fn has_crashes(cell: &Cell, task: &TaskId) -> bool {
    cell.crashed.contains_key(task)
}

/// Whether a task is to be run alone on a worker.
///
/// The members of a gang aren't: they start together, on as many workers as they need.
pub(crate) fn is_suspect(cell: &Cell, task: &TaskId) -> bool {
    let crashes = cell.crashed.get(task);
    crashes.is_some_and(|crashes| *crashes >= SUSPECT_CRASHES) && !is_gang(cell, task)
}

/// Whether there is a suspect that isn't abandoned yet.
pub(crate) fn has_suspects(cell: &Cell) -> bool {
    let mut crashed = cell.crashed.iter();
    crashed.any(|(task, crashes)| {
        (SUSPECT_CRASHES..ABANDON_CRASHES).contains(crashes) && !is_gang(cell, task)
    })
}

/// Whether a task has crashes and can be run isolated.
pub(crate) fn can_be_isolated(cell: &Cell, task: &TaskId) -> bool {
    has_crashes(cell, task) && !is_gang(cell, task)
}

/// Number of workers on which all tasks that wait for an isolated run could run at once.
pub(crate) fn isolation_workers_needed(cell: &Cell) -> u64 {
    if !has_suspects(cell) {
        return 0;
    }
    let waits = |task: &&TaskId| {
        let job = cell.jobs.get(&task.job);
        let row = job.and_then(|job| job.task(task));
        row.is_some_and(|row| row.phase == Phase::Waiting && !is_abandoned(row))
    };
    let waiting = cell.crashed.keys().filter(waits);
    let isolatable = waiting.filter(|task| can_be_isolated(cell, task));
    let (alone, shared): (Vec<&TaskId>, Vec<&TaskId>) =
        isolatable.partition(|task| is_suspect(cell, task));
    (alone.len() + shared.len().div_ceil(MAX_ISOLATED_TOGETHER)) as u64
}

/// Maximum number of tasks like this one that run isolated together.
pub(crate) fn max_isolated_together(cell: &Cell, task: &TaskId) -> usize {
    if is_suspect(cell, task) {
        1
    } else {
        MAX_ISOLATED_TOGETHER
    }
}

/// Whether an isolated run is under way on a worker: nothing else may start there.
pub(crate) fn has_isolated_run(cell: &Cell, worker: &Worker) -> bool {
    let mut runs = worker.runs.values();
    runs.any(|run| run.origin == Origin::Isolated && worker.is_new(run, cell.limits.settle_time))
}

/// Whether a task has crashed so many workers that it is not started again.
pub(crate) fn is_abandoned(task: &Task) -> bool {
    task.crashed.len() >= ABANDON_CRASHES
}

/// Number of crashes attributed to a task, or to its gang.
fn crashes(cell: &Cell, id: &TaskId) -> usize {
    let Some(job) = cell.jobs.get(&id.job) else {
        return 0;
    };
    if is_gang(cell, id) {
        job.gang_runs(id, |task| &task.crashed)
    } else {
        job.task(id).map_or(0, |task| task.crashed.len())
    }
}

fn is_gang(cell: &Cell, task: &TaskId) -> bool {
    cell.step(task).is_some_and(|step| step.gang)
}
