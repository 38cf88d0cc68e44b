//! Lives of workers that keep their ids.
//!
//! A worker may start again under the id that it had. It then runs nothing, its ends are numbered anew, and it has seen no
//! fencing token and taken no stop. Calls name its id only, so what was meant for one life may reach the next. A look tells
//! by its time of birth which life has answered.

use crate::{
    cell::Cell,
    crash,
    limits::Millis,
    order::Cause,
    row::Life,
    worker::{Gone, Known, Origin, Stop},
};
use primroseroute_domain::work::{Name, TaskId};
use primroseroute_platform::worker::WorkerStatus;
use std::collections::BTreeSet;

/// Takes in which life of a worker has answered a look; whether the look tells of the life that is known now.
pub(crate) fn recognise(
    cell: &mut Cell,
    id: &Name,
    look: &WorkerStatus,
    sent_at: Millis,
    now: Millis,
    wall_ms: u64,
) -> bool {
    let Some(worker) = cell.workers.get_mut(id) else {
        return false;
    };
    if look.born == worker.born {
        return true;
    }
    if look.born == worker.born_before && worker.born != 0 {
        return false;
    }
    if worker.born == 0 {
        worker.born = look.born;
        lose_found(cell, id, look, now, wall_ms);
    } else {
        begin(cell, id, look, sent_at, now, wall_ms);
    }
    true
}

/// Takes in the first look at a worker: what a predecessor has placed in an earlier life of it is lost.
///
/// The row of a task with crashes says in which life it was placed: where it is this one, its start has never reached the worker, and
/// crashed nothing. That mark comes round after some time, and a life that began after the takeover has nothing of a predecessor's. The
/// other rows don't say it. What was accepted before this life began, and isn't there, was placed in an earlier one, but for a start that its
/// predecessor didn't come to send.
fn lose_found(cell: &mut Cell, id: &Name, look: &WorkerStatus, now: Millis, wall_ms: u64) {
    let (jobs, Some(worker)) = (&cell.jobs, cell.workers.get(id)) else {
        return;
    };
    let of_this_life = shown(look);
    let is_older = |task: &TaskId| {
        let job = jobs.get(&task.job);
        job.is_some_and(|job| job.accepted.at_ms < look.born)
    };
    let life = Life::of(look.born);
    let taken_over_ms = wall_ms.saturating_sub(now - cell.taken_at);
    let is_later = look.born > taken_over_ms;
    let lost = worker.runs_where(|task, run| {
        let may_be_older = (is_later || run.life != Some(life)) && is_older(task);
        run.origin == Origin::Found && may_be_older && !of_this_life.contains(&(task, run.run))
    });
    if !lost.is_empty() {
        let new = lost.clone();
        crash::lose(cell, id, Cause::Crash, lost, &new, wall_ms);
    }
}

/// Begins the next life of a worker: what ran in the one before is lost.
fn begin(
    cell: &mut Cell,
    id: &Name,
    look: &WorkerStatus,
    sent_at: Millis,
    now: Millis,
    wall_ms: u64,
) {
    let limits = cell.limits;
    let Some(worker) = cell.workers.get_mut(id) else {
        return;
    };
    let cause = if worker.is_leaving() {
        Cause::Planned
    } else {
        Cause::Crash
    };
    let mut new = crash::new_runs(worker, limits.settle);
    new.extend(
        worker
            .lapsed
            .take()
            .into_iter()
            .flat_map(|lapsed| lapsed.runs),
    );
    let of_this_life = shown(look);
    let lost = worker.runs_where(|task, run| {
        let answered = matches!(run.known, Known::Runs(at) if at < sent_at);
        answered && !of_this_life.contains(&(task, run.run))
    });
    for run in worker.runs.values_mut() {
        // No stop of the life before counts.
        run.stopped_at = None;
        run.doubtful_until = None;
        if run.known == Known::Unsure {
            run.stop = Stop::Wanted;
            // Calls from now on carry a token that keeps starts to the life before out.
            run.sure_after = now + 1;
        }
    }
    worker.born_before = worker.born;
    worker.born = look.born;
    worker.gone = Gone::No;
    worker.seen = 0;
    worker.shown_at = None;
    worker.named_at = None;
    worker.failures.clear();
    worker.shunned_until = 0;
    // A renewal that was meant for the life before may have reached this one.
    worker.lapses_at = worker.lapses_at.max(now + limits.stretched(limits.lease));
    cell.stops_due = true;
    new.retain(|(task, run)| !of_this_life.contains(&(task, *run)));
    for policy in cell.policies.values_mut() {
        policy.begin_life(id);
    }
    crash::lose(cell, id, cause, lost, &new, wall_ms);
}

/// The runs that a look tells of.
fn shown(look: &WorkerStatus) -> BTreeSet<(&TaskId, u32)> {
    let running = look
        .running
        .iter()
        .map(|running| (&running.task, running.run));
    let ended = look.ended.iter().map(|ended| (&ended.task, ended.run));
    running.chain(ended).collect()
}
