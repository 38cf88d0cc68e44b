//! One round of decisions.

use crate::{
    advice,
    cell::Cell,
    crash::{self, Evidence},
    limits::{Limits, Millis},
    marking, migration,
    order::{Cause, Order, RoundOutput},
    placement::{self, WaitingSteps},
    row::overflow::{Change, Overflow},
    run_times, scaling, straggler, throttle, unplaceable,
    worker::{ExpiredLease, Run, StopState, Termination, Worker},
};
use bytes::Bytes;
use primroseroute_domain::work::{JobId, Name, State, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Time after which the deletion of rows is tried again.
const DELETE_RETRY_MS: u64 = 5_000;

/// How long a job whose rows are deleted is remembered. A full read that had begun before may still
/// return its acceptance, and the job would run again; such a read takes seconds over one entry's
/// slow link.
const DELETED_JOB_MEMORY_MS: u64 = 60_000;

/// Maximum number of finished jobs whose rows are deleted in one round, which keeps rounds short.
const MAX_DELETIONS: usize = 10;

pub(crate) fn run(cell: &mut Cell, now: Millis, wall_ms: u64) -> RoundOutput {
    cell.round_at = now;
    marking::run(cell, now, wall_ms);
    remove_lost_runs(cell, now, wall_ms);
    begin_occurrences(cell, wall_ms);
    migration::run(cell, now);
    advice::expire(cell, now);
    cell.count_account_usage();
    run_times::update(cell, now);
    let mut stragglers = straggler::judge(cell, now);
    cell.count_own_capacities();
    let WaitingSteps {
        placeable: waiting,
        unplaceable,
    } = placement::waiting_steps(cell, wall_ms);
    let unplaceable = unplaceable::record(cell, unplaceable);
    let mut orders = placement::run(cell, &waiting, now);
    stragglers.moved = placement::move_runs(cell, now);
    orders.extend(throttle_all(cell));
    let stops = collect_stops(cell, now);
    orders.extend(stops.go_on);
    let immediate_stops = stops.ended;
    let ChangedRows {
        puts,
        overflow,
        ended,
    } = changed_rows(cell, now);
    cell.queued_counts = cell.count_queued();
    RoundOutput {
        unplaceable: unplaceable.found,
        placeable_again: unplaceable.resolved,
        advice_requests: advice::requests(cell, &waiting, now),
        puts,
        overflow,
        ended,
        forget: expired_jobs(cell, wall_ms),
        immediate_stops,
        orders,
        immediate_polls: crash::immediate_polls(cell, now),
        losses: std::mem::take(&mut cell.losses),
        poison_tasks: std::mem::take(&mut cell.poison_tasks),
        crashes_cleared: std::mem::take(&mut cell.crashes_cleared),
        ends_committed: cell.ends_cursors(),
        scaling: scaling::estimate(cell, &waiting, now, wall_ms),
        stragglers,
    }
}

/// Removes the runs of workers that have terminated or whose lease has certainly expired.
///
/// An unresponsive worker may go on behind a network partition. Its runs end when its lease expires
/// on its own clock; only then may their tasks start elsewhere. A start without an answer may be
/// carried out seconds later: if the worker has terminated and may come back under its id, the task
/// waits until the next incarnation has been told to refuse the start.
fn remove_lost_runs(cell: &mut Cell, now: Millis, wall_ms: u64) {
    let limits = cell.limits;
    let over = |worker: &Worker| {
        let unsure = worker.runs.values().map(|run| run.start_expires_at).max();
        let expired = now >= worker.lease_expires_at + limits.margin
            && unsure.is_none_or(|start_expires_at| now >= start_expires_at);
        let waits = |run: &Run| run.late_start_until.is_some_and(|until| now < until);
        if worker.is_terminated() {
            worker.termination == Termination::Permanent || !worker.runs.values().all(waits)
        } else {
            expired && !worker.is_responsive(now, &limits)
        }
    };
    let mut lost = Vec::new();
    for (id, worker) in &mut cell.workers {
        if !worker.runs.is_empty() && over(worker) {
            let cause = loss_cause(worker);
            let new = crash::new_runs(worker, &limits);
            if cause == Cause::Lapse && !new.is_empty() {
                worker.expired_lease = Some(ExpiredLease {
                    at: now,
                    runs: new.clone(),
                });
            }
            let runs = take_lost(worker, now, &limits).into_iter();
            let runs: Vec<(TaskId, u32)> = runs.map(|(task, run)| (task, run.run)).collect();
            lost.push((Name::clone(id), cause, runs, new, evidence(worker, now)));
        } else if worker.is_terminated()
            && let Some(expired) = worker.expired_lease.take()
        {
            let evidence = evidence(worker, now);
            lost.push((
                Name::clone(id),
                Cause::Crash,
                Vec::new(),
                expired.runs,
                evidence,
            ));
        }
        let is_outdated = |expired: &mut ExpiredLease| now >= expired.at + limits.crash_check_time;
        worker.expired_lease.take_if(is_outdated);
    }
    for (id, cause, runs, new, evidence) in lost {
        crash::record_lost_runs(cell, &id, cause, runs, (&new, evidence), wall_ms);
    }
    cell.workers.retain(|_id, worker| {
        let matters =
            worker.registered || worker.evacuating.is_some() || worker.expired_lease.is_some();
        let known = !worker.is_terminated() && matters;
        known || !worker.runs.is_empty() || worker.is_responsive(now, &limits)
    });
}

/// Removes the lost runs of a worker, except those whose starts may still reach its next
/// incarnation.
fn take_lost(worker: &mut Worker, now: Millis, limits: &Limits) -> BTreeMap<TaskId, Run> {
    let runs = std::mem::take(&mut worker.runs);
    if worker.termination != Termination::Incarnation {
        return runs;
    }
    let terminated_before = worker.terminated_before;
    let (may_start_late, over) = runs.into_iter().partition(|(_task, run)| {
        run.may_be_in_next_incarnation(terminated_before)
            && run.late_start_until.is_none_or(|until| now < until)
    });
    worker.runs = may_start_late;
    for run in worker.runs.values_mut() {
        run.late_start_until
            .get_or_insert(now + limits.late_order_window);
    }
    over
}

/// What is known of when a terminated worker had ended.
fn evidence(worker: &Worker, now: Millis) -> Evidence {
    let ended_by = match worker.termination {
        Termination::Incarnation => worker.terminated_before,
        Termination::NotKnown | Termination::Permanent => now,
    };
    Evidence {
        ended_by,
        relisted_at: worker.relisted_at.last().copied(),
    }
}

/// Why the runs of a worker are lost.
fn loss_cause(worker: &Worker) -> Cause {
    if !worker.is_terminated() {
        Cause::Lapse
    } else if worker.is_draining() {
        Cause::Planned
    } else {
        Cause::Crash
    }
}

fn begin_occurrences(cell: &mut Cell, wall_ms: u64) {
    for (id, job) in &mut cell.jobs {
        let scheduled = job.accepted.job.schedule.is_some();
        // The first occurrence of a job without a schedule needs no row of its own: its first start
        // writes it.
        if !job.progress.state.is_final() && job.begin_due(wall_ms) && scheduled {
            cell.dirty.insert(id.clone());
        }
    }
}

fn throttle_all(cell: &mut Cell) -> Vec<Order> {
    let mut polled = Vec::new();
    for (id, worker) in &mut cell.workers {
        if !std::mem::replace(&mut worker.throttle_checked, true) {
            polled.push(Name::clone(id));
        }
    }
    polled
        .iter()
        .flat_map(|id| throttle::run(cell, id))
        .collect()
}

/// Interval at which due stops are collected even if no event has requested any: stops without
/// effect are sent again.
const STOP_COLLECTION_INTERVAL_MS: Millis = 100;

/// Stops that are due.
#[derive(Default)]
struct Stops {
    /// Of runs whose jobs go on: they wait for a commit.
    go_on: Vec<Order>,
    /// Of runs whose jobs have ended.
    ended: Vec<Order>,
}

/// Stops that are due for runs of ended jobs; called after each event while a commit is under way.
pub(crate) fn immediate_stops(cell: &mut Cell, now: Millis) -> Vec<Order> {
    let again = now >= cell.stops_collected_at + STOP_COLLECTION_INTERVAL_MS;
    if !cell.stops_due && !again {
        return Vec::new();
    }
    cell.stops_due = false;
    cell.stops_collected_at = now;
    let due = due_stops(cell, now);
    let ended = due.into_iter().filter(|due| !due.goes_on);
    ended.filter_map(|due| send_stop(cell, &due, now)).collect()
}

fn collect_stops(cell: &mut Cell, now: Millis) -> Stops {
    cell.stops_due = false;
    cell.stops_collected_at = now;
    let mut stops = Stops::default();
    for due in due_stops(cell, now) {
        let order = send_stop(cell, &due, now);
        if due.goes_on {
            stops.go_on.extend(order);
        } else {
            stops.ended.extend(order);
        }
    }
    stops
}

/// Records that a due stop is sent; `None` if it has to wait.
fn send_stop(cell: &mut Cell, due: &DueStop, now: Millis) -> Option<Order> {
    let DueStop { worker, task, .. } = due;
    // Each stop that is sent may keep the next one back.
    if due.is_repeat && !migration::may_repeat_stop(cell, worker, task, now) {
        return None;
    }
    let found = cell.workers.get_mut(worker);
    let run = found.and_then(|worker| worker.runs.get_mut(task))?;
    run.stop = StopState::SentAt(now);
    if due.is_repeat {
        run.last_stop_sent_at = Some(now);
    }
    if run.lasting
        && due.goes_on
        && let Some(job) = cell.jobs.get_mut(&task.job)
        && job.mark_leaving(task, worker, run.run)
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
struct DueStop {
    worker: Name,
    task: TaskId,
    /// Whether its job goes on.
    goes_on: bool,
    /// Whether this repeats a stop of a long-running task whose job goes on.
    is_repeat: bool,
}

fn due_stops(cell: &Cell, now: Millis) -> Vec<DueStop> {
    let limits = &cell.limits;
    let reachable = cell.workers.iter();
    let reachable =
        reachable.filter(|(_id, worker)| !worker.is_terminated() && worker.registration.is_some());
    let mut due = Vec::new();
    for (id, worker) in reachable {
        for (task, run) in &worker.runs {
            let is_due = match run.stop {
                StopState::No => false,
                StopState::Requested => true,
                StopState::SentAt(at) => now >= at + limits.stop_retry_interval,
            };
            // A few out of thousands are due.
            if !is_due {
                continue;
            }
            let job = cell.jobs.get(&task.job);
            let goes_on = job.is_some_and(|job| !job.progress.state.is_final());
            due.push(DueStop {
                worker: Name::clone(id),
                task: task.clone(),
                goes_on,
                is_repeat: goes_on && run.lasting && run.last_stop_sent_at.is_some(),
            });
        }
    }
    due
}

/// Rows of changed jobs, and the final states of ended ones.
#[derive(Default)]
struct ChangedRows {
    puts: Vec<(JobId, Bytes)>,
    overflow: BTreeMap<JobId, Change>,
    ended: Vec<(JobId, State)>,
}

fn changed_rows(cell: &mut Cell, now: Millis) -> ChangedRows {
    let mut rows = ChangedRows {
        puts: cell.due_last_rows(now),
        ..ChangedRows::default()
    };
    for (id, stored) in std::mem::take(&mut cell.stale_overflow) {
        let change = stored.change_to(&Overflow::default());
        rows.overflow.insert(id, change);
    }
    let (put_off, due): (BTreeSet<JobId>, BTreeSet<JobId>) = std::mem::take(&mut cell.dirty)
        .into_iter()
        .partition(|id| cell.is_put_off(id, now));
    cell.dirty = put_off;
    for id in due {
        let Some(job) = cell.jobs.get_mut(&id) else {
            continue;
        };
        let (own, change) = job.encode();
        rows.puts.push((id.clone(), own));
        if !change.is_empty() {
            rows.overflow.insert(id.clone(), change);
        }
        if let Some(ended) = job.progress.ended_ms {
            rows.ended.push((id.clone(), job.progress.state));
            cell.jobs.remove(&id);
            cell.finished.insert(id, ended);
        }
    }
    rows
}

/// Finished jobs whose rows are to be deleted now; tried again after a while if that fails.
fn expired_jobs(cell: &mut Cell, wall_ms: u64) -> Vec<JobId> {
    cell.deleted
        .retain(|_id, at| wall_ms < *at + DELETED_JOB_MEMORY_MS);
    let retention = cell.limits.row_retention();
    let due = cell.finished.iter_mut();
    let due = due.filter(|(_id, ended)| wall_ms >= **ended + retention);
    let mut ids = Vec::new();
    for (id, ended) in due.take(MAX_DELETIONS) {
        *ended = wall_ms.saturating_sub(retention) + DELETE_RETRY_MS;
        ids.push(id.clone());
    }
    ids
}
