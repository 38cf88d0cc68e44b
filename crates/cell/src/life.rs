//! Incarnations of workers that keep their ids.
//!
//! A worker may restart under the same id. The new incarnation runs nothing, numbers its ended runs
//! anew, and has seen no fencing token and accepted no stop. Calls carry the worker's id only, so a
//! call that was meant for one incarnation may reach the next. A status tells by its start time
//! which incarnation has answered.

use crate::{
    cell::Cell,
    crash,
    limits::Millis,
    order::Cause,
    row::Life,
    worker::{Gone, Known, Origin, Stop},
};
use primroseroute_domain::work::{Name, TaskId};
use primroseroute_platform::worker::Look;
use std::collections::BTreeSet;

/// Determines which incarnation of a worker has answered a status poll. Returns whether it is the
/// one that is now known.
pub(crate) fn recognise(
    cell: &mut Cell,
    id: &Name,
    look: &Look,
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

/// Applies the first status of a worker: runs that a previous owner placed in an earlier
/// incarnation of it are lost.
///
/// The row of a task with crashes stores a tag of the incarnation that it was placed in: if that is
/// the current one, its start never reached the worker and crashed nothing. Tags repeat after some
/// time, and an incarnation that began after the takeover has no runs of a previous owner. Other
/// rows have no tag. A run whose job was accepted before this incarnation began, and which the
/// status doesn't list, was placed in an earlier one, unless the previous owner never came to send
/// its start.
fn lose_found(cell: &mut Cell, id: &Name, look: &Look, now: Millis, wall_ms: u64) {
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

/// Begins the next incarnation of a worker: the runs of the previous one are lost.
fn begin(cell: &mut Cell, id: &Name, look: &Look, sent_at: Millis, now: Millis, wall_ms: u64) {
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
        // Stops that the previous incarnation accepted don't count.
        run.stopped_at = None;
        run.doubtful_until = None;
        if run.known == Known::Unsure {
            run.stop = Stop::Wanted;
            // Calls from now on carry a token that makes the worker refuse starts meant for the
            // previous incarnation.
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
    // A renewal that was meant for the previous incarnation may have reached this one.
    worker.lapses_at = worker.lapses_at.max(now + limits.stretched(limits.lease));
    cell.stops_due = true;
    new.retain(|(task, run)| !of_this_life.contains(&(task, *run)));
    for policy in cell.policies.values_mut() {
        policy.begin_life(id);
    }
    crash::lose(cell, id, cause, lost, &new, wall_ms);
}

/// The runs that a status lists.
fn shown(look: &Look) -> BTreeSet<(&TaskId, u32)> {
    let running = look
        .running
        .iter()
        .map(|running| (&running.task, running.run));
    let ended = look.ended.iter().map(|ended| (&ended.task, ended.run));
    running.chain(ended).collect()
}
