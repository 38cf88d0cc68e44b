//! Incarnations of workers that keep their ids.
//!
//! A worker may restart under the same id. The new incarnation runs nothing, numbers its ended runs
//! anew, and has seen no fencing token and accepted no stop. Calls carry the worker's id only, so a
//! call that was meant for one incarnation may reach the next. A status tells by its start time
//! which incarnation has answered, and a registration which one it describes: a worker whose
//! registration is of another incarnation gets no new runs.

use crate::{
    cell::Cell,
    crash::{self, Evidence},
    limits::Millis,
    order::Cause,
    row::IncarnationTag,
    speed::State,
    worker::{Origin, Run, StartState, StopState, Termination},
};
use primroseroute_domain::work::{Name, TaskId};
use primroseroute_platform::worker::WorkerStatus;
use std::collections::BTreeSet;

/// Determines which incarnation of a worker has answered a status poll. Returns whether it is the
/// one that is now known.
pub(crate) fn identify(
    cell: &mut Cell,
    id: &Name,
    status: &WorkerStatus,
    sent_at: Millis,
    now: Millis,
    wall_ms: u64,
) -> bool {
    let Some(worker) = cell.workers.get_mut(id) else {
        return false;
    };
    if status.born == worker.incarnation {
        return true;
    }
    if status.born == worker.previous_incarnation && worker.incarnation != 0 {
        return false;
    }
    if worker.incarnation == 0 {
        worker.incarnation = status.born;
        lose_earlier_runs(cell, id, status, (sent_at, now), wall_ms);
    } else {
        begin_next(cell, id, status, sent_at, now, wall_ms);
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
fn lose_earlier_runs(
    cell: &mut Cell,
    id: &Name,
    status: &WorkerStatus,
    (sent_at, now): (Millis, Millis),
    wall_ms: u64,
) {
    let (jobs, Some(worker)) = (&cell.jobs, cell.workers.get(id)) else {
        return;
    };
    let listed = listed_runs(status);
    let is_older = |task: &TaskId| {
        let job = jobs.get(&task.job);
        job.is_some_and(|job| job.accepted.at_ms < status.born)
    };
    let tag = IncarnationTag::of(status.born);
    let taken_over_ms = wall_ms.saturating_sub(now - cell.taken_at);
    let is_later = status.born > taken_over_ms;
    let is_lost = |task: &TaskId, run: &Run| {
        let may_be_older = (is_later || run.incarnation_tag != Some(tag)) && is_older(task);
        run.origin == Origin::Discovered && may_be_older && !listed.contains(&(task, run.run))
    };
    let lost = worker.runs_where(is_lost);
    if !lost.is_empty() {
        let new = crash::new_runs_where(worker, &cell.limits, is_lost);
        let evidence = Evidence {
            ended_by: sent_at,
            relisted_at: None,
        };
        crash::record_lost_runs(cell, id, Cause::Crash, lost, (&new, evidence), wall_ms);
    }
}

/// Begins the next incarnation of a worker: the runs of the previous one are lost.
fn begin_next(
    cell: &mut Cell,
    id: &Name,
    status: &WorkerStatus,
    sent_at: Millis,
    now: Millis,
    wall_ms: u64,
) {
    let limits = cell.limits;
    let Some(worker) = cell.workers.get_mut(id) else {
        return;
    };
    let cause = if worker.is_draining() {
        Cause::Planned
    } else {
        Cause::Crash
    };
    let mut new = crash::new_runs(worker, &limits);
    new.extend(
        worker
            .expired_lease
            .take()
            .into_iter()
            .flat_map(|expired| expired.runs),
    );
    let listed = listed_runs(status);
    let lost = worker.runs_where(|task, run| {
        let answered = matches!(run.start_state, StartState::Confirmed(at) if at < sent_at);
        answered && !listed.contains(&(task, run.run))
    });
    for run in worker.runs.values_mut() {
        // Stops that the previous incarnation accepted don't count.
        run.stop_accepted_at = None;
        run.late_start_until = None;
        if run.start_state == StartState::Uncertain {
            run.stop = StopState::Requested;
            // Calls from now on carry a token that makes the worker refuse starts meant for the
            // previous incarnation.
            run.start_expires_at = now + 1;
        }
    }
    worker.previous_incarnation = worker.incarnation;
    worker.incarnation = status.born;
    worker.unready_since = now;
    worker.termination = Termination::NotKnown;
    worker.last_end = 0;
    worker.uncommitted_ends.clear();
    worker.status_as_of = None;
    worker.listed_at = None;
    worker.relisted_at.clear();
    worker.failures.clear();
    let speed = std::mem::take(&mut worker.speed);
    if speed.state != State::Normal {
        cell.recovered.push(Name::clone(id));
    }
    worker.cordoned_until = 0;
    // A renewal that was meant for the previous incarnation may have reached this one.
    worker.lease_expires_at = worker
        .lease_expires_at
        .max(now + limits.max_local_span(limits.lease));
    cell.stops_due = true;
    new.retain(|new| !listed.contains(&(&new.task, new.run)));
    for policy in cell.policies.values_mut() {
        policy.begin_incarnation(id);
    }
    // Listings after a gap may have been of the incarnation that has answered now.
    let evidence = Evidence {
        ended_by: sent_at,
        relisted_at: None,
    };
    crash::record_lost_runs(cell, id, cause, lost, (&new, evidence), wall_ms);
}

/// The runs that a status lists.
fn listed_runs(status: &WorkerStatus) -> BTreeSet<(&TaskId, u32)> {
    let running = status
        .running
        .iter()
        .map(|running| (&running.task, running.run));
    let ended = status.ended.iter().map(|ended| (&ended.task, ended.run));
    running.chain(ended).collect()
}
