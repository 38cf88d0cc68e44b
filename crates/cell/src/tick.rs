//! One round of decisions.

use crate::{
    advice,
    cell::Cell,
    crash, drain,
    limits::{Limits, Millis},
    need,
    order::{Cause, Order, Tick},
    pace, place,
    row::Progress,
    worker::{Gone, Lapsed, Run, Stop, Worker},
};
use bytes::Bytes;
use primroseroute_domain::work::{JobId, Name, State, TaskId};
use std::collections::BTreeMap;

/// How long the rows of finished jobs are kept, in percent of the promised time: clocks of entries
/// differ.
const KEEP_PERCENT: u64 = 125;

/// Time after which the deletion of rows is tried again.
const FORGET_AGAIN: u64 = 5_000;

/// How long a job whose rows are deleted is remembered. A full read that had begun before may still
/// return its acceptance, and the job would run again; such a read takes seconds over one entry's
/// slow link.
const REMEMBER: u64 = 60_000;

/// Maximum number of finished jobs whose rows are deleted in one round, which keeps rounds short.
const FORGET: usize = 10;

pub(crate) fn run(cell: &mut Cell, now: Millis, wall_ms: u64) -> Tick {
    expire(cell, now, wall_ms);
    begin(cell, wall_ms);
    drain::run(cell, now);
    advice::expire(cell, now);
    let waiting = place::sorted(cell, wall_ms);
    let mut orders = place::run(cell, &waiting, now);
    orders.extend(pace_all(cell));
    let stops = stops(cell, now);
    orders.extend(stops.go_on);
    let urgent = stops.ended;
    let (puts, ended) = rows(cell);
    let seen = cell.workers.iter();
    let seen = seen.map(|(id, worker)| (Name::clone(id), worker.taken_in()));
    let seen = seen.collect();
    cell.counts = cell.count_queued();
    Tick {
        questions: advice::questions(cell, &waiting, now),
        puts,
        ended,
        forget: forget(cell, wall_ms),
        urgent,
        orders,
        glances: crash::glances(cell, now),
        losses: std::mem::take(&mut cell.losses),
        culprits: std::mem::take(&mut cell.culprits),
        acquitted: std::mem::take(&mut cell.acquitted),
        seen,
        need: need::need(cell, &waiting, now, wall_ms),
    }
}

/// Removes the runs of workers that have terminated or whose lease has certainly expired.
///
/// An unresponsive worker may go on behind a network partition. Its runs end when its lease expires
/// on its own clock; only then may their tasks start elsewhere. A start without an answer may be
/// carried out seconds later: if the worker has terminated and may come back under its id, the task
/// waits until the next incarnation has been told to refuse the start.
fn expire(cell: &mut Cell, now: Millis, wall_ms: u64) {
    let limits = cell.limits;
    let over = |worker: &Worker| {
        let unsure = worker.runs.values().map(|run| run.sure_after).max();
        let lapsed = now >= worker.lapses_at + limits.margin
            && unsure.is_none_or(|sure_after| now >= sure_after);
        let waits = |run: &Run| run.doubtful_until.is_some_and(|until| now < until);
        if worker.is_gone() {
            worker.gone == Gone::ForGood || !worker.runs.values().all(waits)
        } else {
            lapsed && !worker.is_fresh(now, &limits)
        }
    };
    let mut lost = Vec::new();
    for (id, worker) in &mut cell.workers {
        if !worker.runs.is_empty() && over(worker) {
            let cause = cause(worker);
            let new = crash::new_runs(worker, limits.settle);
            if cause == Cause::Lapse && !new.is_empty() {
                worker.lapsed = Some(Lapsed {
                    at: now,
                    runs: new.clone(),
                });
            }
            let runs = take_lost(worker, now, &limits).into_iter();
            let runs: Vec<(TaskId, u32)> = runs.map(|(task, run)| (task, run.run)).collect();
            lost.push((Name::clone(id), cause, runs, new));
        } else if worker.is_gone()
            && let Some(lapsed) = worker.lapsed.take()
        {
            lost.push((Name::clone(id), Cause::Crash, Vec::new(), lapsed.runs));
        }
        let is_old = |lapsed: &mut Lapsed| now >= lapsed.at + limits.doubt;
        worker.lapsed.take_if(is_old);
    }
    for (id, cause, runs, new) in lost {
        crash::lose(cell, &id, cause, runs, &new, wall_ms);
    }
    cell.workers.retain(|_id, worker| {
        let matters = worker.registered || worker.emptying.is_some() || worker.lapsed.is_some();
        let known = !worker.is_gone() && matters;
        known || !worker.runs.is_empty() || worker.is_fresh(now, &limits)
    });
}

/// Removes the lost runs of a worker, except those whose starts may still reach its next
/// incarnation.
fn take_lost(worker: &mut Worker, now: Millis, limits: &Limits) -> BTreeMap<TaskId, Run> {
    let runs = std::mem::take(&mut worker.runs);
    if worker.gone != Gone::ItsLife {
        return runs;
    }
    let over_by = worker.over_by;
    let (doubtful, over) = runs.into_iter().partition(|(_task, run)| {
        run.may_be_of_next_life(over_by) && run.doubtful_until.is_none_or(|until| now < until)
    });
    worker.runs = doubtful;
    for run in worker.runs.values_mut() {
        run.doubtful_until.get_or_insert(now + limits.late_order);
    }
    over
}

/// Why the runs of a worker are lost.
fn cause(worker: &Worker) -> Cause {
    if !worker.is_gone() {
        Cause::Lapse
    } else if worker.is_leaving() {
        Cause::Planned
    } else {
        Cause::Crash
    }
}

fn begin(cell: &mut Cell, wall_ms: u64) {
    for (id, job) in &mut cell.jobs {
        let scheduled = job.accepted.job.schedule.is_some();
        // The first occurrence of a job without a schedule needs no row of its own: its first start
        // writes it.
        if !job.progress.state.is_final() && job.begin(wall_ms) && scheduled {
            cell.dirty.insert(id.clone());
        }
    }
}

fn pace_all(cell: &mut Cell) -> Vec<Order> {
    let mut looked = Vec::new();
    for (id, worker) in &mut cell.workers {
        if !std::mem::replace(&mut worker.paced, true) {
            looked.push(Name::clone(id));
        }
    }
    looked.iter().flat_map(|id| pace::run(cell, id)).collect()
}

/// Interval at which due stops are collected even if no event has requested any: stops without
/// effect are sent again.
const SEEK_AGAIN: Millis = 100;

/// Stops that are due.
#[derive(Default)]
struct Stops {
    /// Of runs whose jobs go on: they wait for a commit.
    go_on: Vec<Order>,
    /// Of runs whose jobs have ended.
    ended: Vec<Order>,
}

/// Stops that are due for runs of ended jobs; called after each event while a commit is under way.
pub(crate) fn urgent(cell: &mut Cell, now: Millis) -> Vec<Order> {
    let again = now >= cell.stops_sought_at + SEEK_AGAIN;
    if !cell.stops_due && !again {
        return Vec::new();
    }
    cell.stops_due = false;
    cell.stops_sought_at = now;
    let due = due_stops(cell, now);
    let ended = due.into_iter().filter(|due| !due.goes_on);
    ended.filter_map(|due| stop(cell, &due, now)).collect()
}

fn stops(cell: &mut Cell, now: Millis) -> Stops {
    cell.stops_due = false;
    cell.stops_sought_at = now;
    let mut stops = Stops::default();
    for due in due_stops(cell, now) {
        let order = stop(cell, &due, now);
        if due.goes_on {
            stops.go_on.extend(order);
        } else {
            stops.ended.extend(order);
        }
    }
    stops
}

/// Records that a due stop is sent; `None` if it has to wait.
fn stop(cell: &mut Cell, due: &Due, now: Millis) -> Option<Order> {
    let Due { worker, task, .. } = due;
    // Each stop that is sent may keep the next one back.
    if due.is_repeat && !drain::may_repeat(cell, worker, task, now) {
        return None;
    }
    let found = cell.workers.get_mut(worker);
    let run = found.and_then(|worker| worker.runs.get_mut(task))?;
    run.stop = Stop::SentAt(now);
    if due.is_repeat {
        run.stop_left_at = Some(now);
    }
    if run.lasting
        && due.goes_on
        && let Some(job) = cell.jobs.get_mut(&task.job)
        && job.leaves(task, worker, run.run)
    {
        cell.dirty.insert(task.job.clone());
    }
    Some(Order::Stop {
        worker: Name::clone(worker),
        task: task.clone(),
        run: run.run,
    })
}

/// A run whose stop is due.
struct Due {
    worker: Name,
    task: TaskId,
    /// Whether its job goes on.
    goes_on: bool,
    /// Whether this repeats a stop of a long-running task whose job goes on.
    is_repeat: bool,
}

fn due_stops(cell: &Cell, now: Millis) -> Vec<Due> {
    let limits = &cell.limits;
    let reached = cell.workers.iter();
    let reached = reached.filter(|(_id, worker)| !worker.is_gone() && worker.info.is_some());
    let mut due = Vec::new();
    for (id, worker) in reached {
        for (task, run) in &worker.runs {
            let is_due = match run.stop {
                Stop::No => false,
                Stop::Wanted => true,
                Stop::SentAt(at) => now >= at + limits.resend,
            };
            // A few out of thousands are due.
            if !is_due {
                continue;
            }
            let job = cell.jobs.get(&task.job);
            let goes_on = job.is_some_and(|job| !job.progress.state.is_final());
            due.push(Due {
                worker: Name::clone(id),
                task: task.clone(),
                goes_on,
                is_repeat: goes_on && run.lasting && run.stop_left_at.is_some(),
            });
        }
    }
    due
}

/// A job's progress row.
type Put = (JobId, Bytes);

/// Rows of changed jobs, and the final states of ended ones.
fn rows(cell: &mut Cell) -> (Vec<Put>, Vec<(JobId, State)>) {
    let mut puts = Vec::new();
    let mut over = Vec::new();
    for id in std::mem::take(&mut cell.dirty) {
        let Some(job) = cell.jobs.get(&id) else {
            continue;
        };
        puts.push((id.clone(), written(&job.progress)));
        if let Some(ended) = job.progress.ended_ms {
            over.push((id.clone(), job.progress.state));
            cell.jobs.remove(&id);
            cell.finished.insert(id, ended);
        }
    }
    (puts, over)
}

fn written(progress: &Progress) -> Bytes {
    let json = serde_json::to_vec(progress).expect("progress has no map with complex keys");
    json.into()
}

/// Finished jobs whose rows are to be deleted now; tried again after a while if that fails.
fn forget(cell: &mut Cell, wall_ms: u64) -> Vec<JobId> {
    cell.forgotten.retain(|_id, at| wall_ms < *at + REMEMBER);
    let keep = cell.limits.keep * KEEP_PERCENT / 100;
    let due = cell.finished.iter_mut();
    let due = due.filter(|(_id, ended)| wall_ms >= **ended + keep);
    let mut ids = Vec::new();
    for (id, ended) in due.take(FORGET) {
        *ended = wall_ms.saturating_sub(keep) + FORGET_AGAIN;
        ids.push(id.clone());
    }
    ids
}
