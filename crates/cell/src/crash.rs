//! Tasks that crash the workers that start them.
//!
//! Nothing tells what has crashed a worker: its life is over, and all that ran there is lost with it. A crash is held against the
//! runs that were new then. Most of them are innocent, so a task with several crashes is a *suspect*: it is started on a worker
//! on which nothing else is new, and a crash during this *trial* is held against it alone. While there are suspects, the tasks
//! with a single crash are tried in small groups, apart from those without: otherwise the second crash of each culprit would be held
//! against all that is new on a full worker. A run that goes on for a while after its start has shown that its worker survives it,
//! and so has one of a predecessor that is seen to go on: its task is acquitted. Otherwise a successor, which can't tell how long
//! ago a run began, would take it for the suspect of a trial.
//!
//! A task that is given up fails its job. One of a lasting step is only started no more, since the others of its step serve on.
//!
//! The crashes of a task are in its row, by the numbers of its runs, so they outlast their owner. Those of a gang count for the
//! gang as a whole. A worker that was only cut off hasn't crashed: its runs go back to waiting when its lease has lapsed, and
//! they are blamed only if its life turns out to be over.

use crate::{
    cell::Cell,
    limits::Millis,
    order::{Cause, Loss},
    row::{Phase, Task},
    worker::{Known, Origin, Worker},
};
use primroseroute_domain::work::{Name, State, TaskId};

/// Crashes after which a task is a suspect.
const SUSPECT: usize = 2;

/// Crashes after which a task is given up: those from the third one on came during trials.
const PROVEN: usize = 4;

/// Most tasks with a single crash that share a trial: a crash makes suspects of them all, and each of these is tried alone.
const SHARED: usize = 4;

/// A task that is given up since it crashes its workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Culprit {
    /// The task.
    pub task: TaskId,
    /// Number of its crashes.
    pub crashes: usize,
}

/// The runs of a worker that may have crashed it.
pub(crate) fn new_runs(worker: &Worker, settle: u64) -> Vec<(TaskId, u32)> {
    // One that is doubtful was blamed when the worker's life ended.
    worker.runs_where(|_task, run| run.doubtful_until.is_none() && worker.is_new(run, settle))
}

/// Takes in that runs of a worker are lost without an end: their tasks wait again, and a crash is held against those of the runs
/// that were `new`.
pub(crate) fn lose(
    cell: &mut Cell,
    id: &Name,
    cause: Cause,
    runs: Vec<(TaskId, u32)>,
    new: &[(TaskId, u32)],
    wall_ms: u64,
) {
    for (task, run) in &runs {
        if let Some(worker) = cell.workers.get_mut(id) {
            worker.runs.remove(task);
        }
        cell.back_to_waiting(id, task, *run, None);
    }
    let blamed = match cause {
        Cause::Crash => record(cell, new, wall_ms),
        Cause::Planned | Cause::Lapse => Vec::new(),
    };
    cell.losses.push(Loss {
        worker: Name::clone(id),
        cause,
        runs,
        blamed,
    });
}

/// Holds a worker's crash against the tasks of `runs`, which were new there; which of them are blamed.
fn record(cell: &mut Cell, runs: &[(TaskId, u32)], wall_ms: u64) -> Vec<TaskId> {
    let suspects = runs.iter().filter(|(task, _run)| is_suspect(cell, task));
    let suspects: Vec<(TaskId, u32)> = suspects.cloned().collect();
    let held = match suspects.len() {
        0 => runs,
        1 => &suspects,
        // No trial: their owner has found them, and can't tell which of them is new.
        _ => &[],
    };
    let mut blamed = Vec::new();
    for (task, run) in held {
        let Some(job) = cell.jobs.get_mut(&task.job) else {
            continue;
        };
        let Some(known) = job.task_mut(task).filter(|task| task.phase != Phase::Done) else {
            continue;
        };
        known.crashed.insert(*run);
        cell.crashed.insert(task.clone(), known.crashed.len());
        cell.dirty.insert(task.job.clone());
        blamed.push(task.clone());
    }
    for task in &blamed {
        let crashes = crashes(cell, task);
        if crashes >= PROVEN {
            let task = task.clone();
            let lasting = cell.step(&task).is_some_and(|step| step.lasting);
            if !lasting {
                cell.finish(&task.job, State::Failed, wall_ms);
            }
            cell.culprits.push(Culprit { task, crashes });
        }
    }
    blamed
}

/// Acquits the tasks whose runs on a worker have shown that it survives them.
pub(crate) fn acquit(cell: &mut Cell, id: &Name) {
    if cell.crashed.is_empty() {
        return;
    }
    let Some(worker) = cell.workers.get(id) else {
        return;
    };
    // A start without an answer may never have reached the worker, however long that lives on.
    let settled = worker.runs_where(|task, run| {
        has_crashed(cell, task)
            && matches!(run.known, Known::Runs(_))
            && !worker.is_new(run, cell.limits.settle)
    });
    for (id, run) in settled {
        let job = cell.jobs.get_mut(&id.job);
        let task = job.and_then(|job| job.task_mut(&id));
        if let Some(task) = task.filter(|task| task.run == run) {
            task.crashed.clear();
            task.life = None;
            cell.crashed.remove(&id);
            cell.dirty.insert(id.job.clone());
            cell.acquitted.push(id);
        }
    }
}

/// Workers that are to be looked at at once: those that trials wait for, and those of which a look may acquit a task.
///
/// The looks that go on anyway wait up to a second for an end. An owner that dies meanwhile leaves its successor a run of a suspect
/// that has been at work for long, and nothing that says so.
pub(crate) fn glances(cell: &mut Cell, now: Millis) -> Vec<Name> {
    let mut glances = std::mem::take(&mut cell.asked);
    if cell.crashed.is_empty() {
        return glances;
    }
    let (crashed, settle) = (&cell.crashed, cell.limits.settle);
    for (id, worker) in &mut cell.workers {
        let shown_at = worker.shown_at;
        for (task, run) in &mut worker.runs {
            let due = matches!(run.known, Known::Runs(at) if now >= at + settle && shown_at < Some(at + settle));
            if due && run.origin != Origin::Found && !run.glanced && crashed.contains_key(task) {
                run.glanced = true;
                glances.push(Name::clone(id));
            }
        }
    }
    glances.sort();
    glances.dedup();
    glances
}

/// Whether workers have crashed under a task.
pub(crate) fn has_crashed(cell: &Cell, task: &TaskId) -> bool {
    cell.crashed.contains_key(task)
}

/// Whether a task is to be tried apart from others.
///
/// A gang isn't: its members start together, on as many workers as they need.
pub(crate) fn is_suspect(cell: &Cell, task: &TaskId) -> bool {
    let crashes = cell.crashed.get(task);
    crashes.is_some_and(|crashes| *crashes >= SUSPECT) && !is_gang(cell, task)
}

/// Whether some task is a suspect that isn't given up yet.
pub(crate) fn has_suspects(cell: &Cell) -> bool {
    let mut crashed = cell.crashed.iter();
    crashed.any(|(task, crashes)| (SUSPECT..PROVEN).contains(crashes) && !is_gang(cell, task))
}

/// Whether a task has crashes and can be tried apart from others.
pub(crate) fn can_be_tried(cell: &Cell, task: &TaskId) -> bool {
    has_crashed(cell, task) && !is_gang(cell, task)
}

/// Number of workers on which all tasks that wait for a trial could be tried at once.
pub(crate) fn trials(cell: &Cell) -> u64 {
    if !has_suspects(cell) {
        return 0;
    }
    let waits = |task: &&TaskId| {
        let job = cell.jobs.get(&task.job);
        let row = job.and_then(|job| job.task(task));
        row.is_some_and(|row| row.phase == Phase::Waiting && !is_given_up(row))
    };
    let waiting = cell.crashed.keys().filter(waits);
    let triable = waiting.filter(|task| can_be_tried(cell, task));
    let (alone, shared): (Vec<&TaskId>, Vec<&TaskId>) =
        triable.partition(|task| is_suspect(cell, task));
    (alone.len() + shared.len().div_ceil(SHARED)) as u64
}

/// Most tasks like this one that share a trial.
pub(crate) fn most_tried_together(cell: &Cell, task: &TaskId) -> usize {
    if is_suspect(cell, task) { 1 } else { SHARED }
}

/// Whether a trial goes on on a worker: nothing else may start there.
pub(crate) fn has_trial(cell: &Cell, worker: &Worker) -> bool {
    let mut runs = worker.runs.values();
    runs.any(|run| run.origin == Origin::Tried && worker.is_new(run, cell.limits.settle))
}

/// Whether a task has crashed so many workers that it is started no more.
pub(crate) fn is_given_up(task: &Task) -> bool {
    task.crashed.len() >= PROVEN
}

/// Number of crashes of a task, or of its gang.
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
