//! Placement: which waiting task starts next, and on which worker.

mod aging;
mod candidates;
mod isolation;
mod moves;
mod preempt;
mod urgency;

pub(crate) use aging::Reservation;
pub(crate) use moves::{Move, run as move_runs};
pub(crate) use preempt::fits_without_batch;
pub(crate) use urgency::{
    WaitingStep, WaitingSteps, is_long_overdue, is_overdue, long_overdue, still_waiting,
    waiting_steps, work_left_of,
};

use crate::{
    advice,
    cell::Cell,
    crash,
    limits::Millis,
    order::Order,
    row::{IncarnationTag, Phase},
    worker::{Run, Worker},
};
use aging::AgedSteps;
use candidates::Candidates;
use isolation::IsolatedRuns;
use preempt::reserve_or_preempt;
use primroseroute_domain::work::{Demand, Name, State, Step, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use urgency::{Class, task_id, waiting_tasks};

/// Places as many of the `waiting` steps as fit, in their order. Returns the starts.
pub(crate) fn run(cell: &mut Cell, waiting: &[WaitingStep], now: Millis) -> Vec<Order> {
    cell.spread_shortage = 0;
    if !cell.may_start(now) {
        return Vec::new();
    }
    let mut candidates = Candidates::of(cell, now);
    let mut orders = Vec::new();
    let first_batch = waiting.partition_point(|waiting| waiting.class == Class::Lasting);
    let (long_running, batch) = waiting.split_at(first_batch);
    for waiting in long_running {
        if !is_admitted(cell, waiting) {
            continue;
        }
        if !place_step(cell, waiting, usize::MAX, &mut candidates, &mut orders) {
            reserve_or_preempt(cell, waiting, &mut candidates, now);
        }
    }
    let mut isolated_runs = IsolatedRuns::of(cell, &candidates, waiting);
    orders.extend(isolated_runs.run(cell, &mut candidates, now));
    let mut aged = AgedSteps::of(cell, batch);
    orders.extend(aged.run_reserved(cell, &mut candidates));
    let mut no_fit = NoFit::default();
    for class in batch.chunk_by(|one, next| one.class == next.class) {
        orders.extend(aged.place(cell, class[0].class, &mut candidates, &mut no_fit));
        for waiting in class {
            if candidates.is_full() {
                break;
            }
            no_fit.place(cell, waiting, usize::MAX, &mut candidates, &mut orders);
        }
    }
    orders.extend(isolated_runs.run_idle(cell, &mut candidates, now));
    orders
}

/// Maximum number of new runs on one worker whose tasks have crashes. Tasks that were lost together
/// would otherwise meet again, and the one that crashes its worker would take all others with it a
/// second time.
const MAX_CRASH_RETRIES: usize = 4;

/// Demands for which no worker had free capacity in this round. Free capacity only shrinks during a
/// round, so equal or larger demands needn't be tried: under overload that is nearly all that
/// waits.
#[derive(Default)]
struct NoFit(Vec<Demand>);

impl NoFit {
    /// Places up to `most` tasks of a step, unless that is hopeless.
    fn place(
        &mut self,
        cell: &mut Cell,
        waiting: &WaitingStep,
        most: usize,
        candidates: &mut Candidates,
        orders: &mut Vec<Order>,
    ) {
        if self.covers(cell, waiting) || !is_admitted(cell, waiting) {
            return;
        }
        if !place_step(cell, waiting, most, candidates, orders) {
            self.record(cell, waiting);
        }
    }

    fn covers(&self, cell: &Cell, waiting: &WaitingStep) -> bool {
        let job = cell.jobs.get(&waiting.job);
        let step = job.and_then(|job| job.step(waiting.step));
        step.is_some_and(|step| self.0.iter().any(|least| least.fits(step.reserved())))
    }

    /// Records that a task of the step couldn't be placed. A step with constraints of its own may
    /// have failed because of those, which says nothing of others.
    fn record(&mut self, cell: &Cell, waiting: &WaitingStep) {
        let job = cell.jobs.get(&waiting.job);
        let Some(step) = job.and_then(|job| job.step(waiting.step)) else {
            return;
        };
        let advised = job.is_some_and(|job| cell.advised_queues.contains(&job.accepted.queue));
        let plain = step.label.is_none() && step.most_per_worker == 0 && !step.gang && !advised;
        // A worker that is still stopping an earlier run of a task is excluded for that task only,
        // and a worker with many new runs of tasks with crashes is excluded only for such tasks.
        let is_task_specific = job.is_some_and(|job| {
            let mut tasks = waiting_tasks(job, waiting.occurrence, waiting.step);
            tasks.any(|index| {
                let task = task_id(waiting, index);
                crash::has_crashes(cell, &task) || may_be_running(cell, &task)
            })
        });
        if plain && !is_task_specific {
            self.0.push(step.reserved());
        }
    }
}

/// Whether the account of a step may have another of its tasks running; if not, all that wait count
/// as refused.
fn is_admitted(cell: &mut Cell, waiting: &WaitingStep) -> bool {
    let Some(job) = cell.jobs.get(&waiting.job) else {
        return true;
    };
    let Some(charge) = job.charge(waiting.step) else {
        return true;
    };
    let is_gang = job.step(waiting.step).is_some_and(|step| step.gang);
    let tasks = waiting_tasks(job, waiting.occurrence, waiting.step).count();
    let is_admitted = cell.meter.admits(charge, if is_gang { tasks } else { 1 });
    if !is_admitted {
        cell.meter.refuse(charge, tasks);
    }
    is_admitted
}

/// Places the waiting tasks of a step, but no more than `most` unless it is a gang. Returns whether
/// all of these could be placed, as far as their account may have more running.
fn place_step(
    cell: &mut Cell,
    waiting: &WaitingStep,
    most: usize,
    candidates: &mut Candidates,
    orders: &mut Vec<Order>,
) -> bool {
    let Some(job) = cell.jobs.get(&waiting.job) else {
        return true;
    };
    let Some(step) = job.step(waiting.step).cloned() else {
        return true;
    };
    let charge = job.charge(waiting.step);
    let indexes: Vec<u16> = waiting_tasks(job, waiting.occurrence, waiting.step).collect();
    if step.gang {
        return place_gang(cell, waiting, &step, &indexes, candidates, orders);
    }
    let mut all_placed = true;
    for (placed, &index) in indexes.iter().take(most).enumerate() {
        if let Some(charge) = charge
            && !cell.meter.admits(charge, 1)
        {
            cell.meter.refuse(charge, indexes.len() - placed);
            break;
        }
        let task = task_id(waiting, index);
        if candidates.needs_isolation(cell, &task) {
            continue;
        }
        let has_crashes = crash::has_crashes(cell, &task);
        let Some(candidate) = choose(cell, &task, &step, candidates, &BTreeMap::new()) else {
            all_placed = false;
            if has_crashes {
                continue;
            }
            break;
        };
        candidates.allocate(candidate, step.reserved());
        if has_crashes {
            candidates.add_crash_retry(candidate);
        }
        orders.extend(start(cell, candidates.id(candidate), task, &step, None));
    }
    all_placed
}

/// Places all members of a gang with the same run number, or none.
fn place_gang(
    cell: &mut Cell,
    waiting: &WaitingStep,
    step: &Step,
    indexes: &[u16],
    candidates: &mut Candidates,
    orders: &mut Vec<Order>,
) -> bool {
    let Some(job) = cell.jobs.get(&waiting.job) else {
        return true;
    };
    if indexes.len() < usize::from(step.count) {
        // Members of the last run may still exist: they first end as broken or alone.
        return true;
    }
    let members = indexes.iter().map(|&index| task_id(waiting, index));
    let members: Vec<TaskId> = members.collect();
    if members.iter().any(|task| may_be_running(cell, task)) {
        return true;
    }
    let known = members.iter().filter_map(|task| job.task(task));
    let run = known.clone().map(|task| task.run).max().unwrap_or(0) + 1;
    let checkpoint = known.filter_map(|task| task.checkpoint.clone()).next_back();
    let Some(chosen) = choose_gang(cell, &members, step, candidates) else {
        return false;
    };
    for (task, candidate) in members.into_iter().zip(chosen) {
        let given = Some((run, checkpoint.clone()));
        orders.extend(start(cell, candidates.id(candidate), task, step, given));
    }
    true
}

/// Reserves capacity for all members of a gang, or for none.
fn choose_gang(
    cell: &Cell,
    members: &[TaskId],
    step: &Step,
    candidates: &mut Candidates,
) -> Option<Vec<usize>> {
    let mut chosen: Vec<usize> = Vec::with_capacity(members.len());
    let mut extra: BTreeMap<usize, u16> = BTreeMap::new();
    for task in members {
        let Some(candidate) = choose(cell, task, step, candidates, &extra) else {
            for candidate in chosen {
                candidates.release(candidate, step.reserved());
            }
            return None;
        };
        candidates.allocate(candidate, step.reserved());
        *extra.entry(candidate).or_default() += 1;
        chosen.push(candidate);
    }
    Some(chosen)
}

fn may_be_running(cell: &Cell, task: &TaskId) -> bool {
    let mut workers = cell.workers.values();
    workers.any(|worker| worker.runs.contains_key(task))
}

/// The candidate on which a task is best placed. `extra` counts tasks of the step that are about to
/// be placed on a candidate.
fn choose(
    cell: &Cell,
    task: &TaskId,
    step: &Step,
    candidates: &Candidates,
    extra: &BTreeMap<usize, u16>,
) -> Option<usize> {
    let advised = advice::needs_ticket(cell, task);
    let has_crashes = crash::has_crashes(cell, task);
    let worker = |candidate: usize| &cell.workers[candidates.id(candidate)];
    let is_allowed = |&candidate: &usize| {
        let beside = extra.get(&candidate).copied().unwrap_or(0);
        (step.lasting || !candidates.is_blocked(candidate))
            && allows_ignoring_policy(worker(candidate), task, step, beside)
            && (!advised || advice::ticket(cell, task, candidates.id(candidate)).is_some())
            && !(has_crashes && candidates.crash_retries(candidate) >= MAX_CRASH_RETRIES)
    };
    let fitting = candidates.fitting(step.reserved()).filter(is_allowed);
    let found = best(cell, task, step, candidates, fitting);
    if found.is_some() || !candidates.has_slow() {
        return found;
    }
    // A task that only slow workers may run, whatever their free capacity, runs there. Where
    // siblings of a batch task are in the way, they end.
    let may_run = |candidate: usize| {
        let on = worker(candidate);
        let beside = extra.get(&candidate).copied().unwrap_or(0);
        let label = step.label.as_ref();
        let is_allowed = if step.lasting || step.gang {
            allows_ignoring_policy(on, task, step, beside)
        } else {
            label.is_none_or(|label| on.has_label(label))
        };
        let capacity = on.registration.as_ref().map(|info| info.capacity);
        !candidates.is_slow(candidate)
            && is_allowed
            && capacity.is_some_and(|capacity| step.reserved().fits(capacity))
            && (!advised || advice::ticket(cell, task, candidates.id(candidate)).is_some())
    };
    if candidates.all().any(may_run) {
        return None;
    }
    let fitting = candidates.slow_fitting(step.reserved()).filter(is_allowed);
    best(cell, task, step, candidates, fitting)
}

/// The candidate among `fitting`, which may run a task, on which it is best placed.
fn best(
    cell: &Cell,
    task: &TaskId,
    step: &Step,
    candidates: &Candidates,
    mut fitting: impl Iterator<Item = usize>,
) -> Option<usize> {
    let worker = |candidate: usize| &cell.workers[candidates.id(candidate)];
    let has_failed = |candidate: usize| worker(candidate).failures.contains(&task.job);
    let is_plain = !step.lasting && !step.same_rack && step.rack.is_none();
    if is_plain {
        // Best fit: the least free capacity, on a worker without a failure of the job if possible.
        let mut failed = None;
        let healthy = fitting.find(|&candidate| {
            let has_failed = has_failed(candidate);
            if has_failed {
                failed.get_or_insert(candidate);
            }
            !has_failed
        });
        return healthy.or(failed);
    }
    let siblings = if step.same_rack {
        sibling_labels(cell, task)
    } else {
        Vec::new()
    };
    fitting.min_by_key(|&candidate| {
        let worker = worker(candidate);
        let wrong_rack = step
            .rack
            .as_ref()
            .is_some_and(|rack| !worker.has_label(rack));
        let other_rack = !siblings.is_empty() && !siblings.contains(&labels(worker));
        let near_target = step.lasting && is_near_target(cell, worker);
        // Long-running tasks are packed together: a worker without any can move to another pool or
        // be switched off.
        let no_long_running = step.lasting && long_running_on(worker) == 0;
        let free = candidates.free(candidate).cpu;
        (
            wrong_rack,
            other_rack,
            has_failed(candidate),
            near_target,
            no_long_running,
            free,
        )
    })
}

/// Share of its target, in percent, from which the tail latency of a long-running task keeps
/// further ones off its worker.
const NEAR_TARGET_PERCENT: u64 = 60;

/// Whether a long-running task on a worker comes near its response time target.
fn is_near_target(cell: &Cell, worker: &Worker) -> bool {
    worker.runs.iter().any(|(task, run)| {
        let target = cell.step(task).map_or(0, |step| step.target_ms);
        run.lasting
            && target > 0
            && run.load.saturating_mul(100) >= target.saturating_mul(NEAR_TARGET_PERCENT)
    })
}

/// Whether a worker may run a task, regardless of free capacity and of its queue's policy.
pub(crate) fn allows_ignoring_policy(
    worker: &Worker,
    task: &TaskId,
    step: &Step,
    extra: u16,
) -> bool {
    let labelled = step
        .label
        .as_ref()
        .is_none_or(|label| worker.has_label(label));
    let is_spread = step.most_per_worker == 0 || {
        let beside = worker.runs.keys().filter(|other| is_sibling(other, task));
        beside.count() + usize::from(extra) < usize::from(step.most_per_worker)
    };
    // An earlier run of the same task that is still being stopped there would be taken for the new
    // one.
    labelled && is_spread && !worker.runs.contains_key(task)
}

pub(crate) fn is_sibling(other: &TaskId, task: &TaskId) -> bool {
    other.job == task.job && other.occurrence == task.occurrence && other.step == task.step
}

fn long_running_on(worker: &Worker) -> usize {
    worker.runs.values().filter(|run| run.lasting).count()
}

fn labels(worker: &Worker) -> Option<&BTreeSet<Name>> {
    worker.registration.as_ref().map(|info| &info.labels)
}

/// Labels of the workers that run siblings of `task`.
fn sibling_labels<'a>(cell: &'a Cell, task: &TaskId) -> Vec<Option<&'a BTreeSet<Name>>> {
    let with = cell
        .workers
        .values()
        .filter(|worker| worker.runs.keys().any(|run| is_sibling(run, task)));
    with.map(labels).collect()
}

/// Whether an open worker has free capacity for a long-running task that is to be moved.
pub(crate) fn fits_somewhere(cell: &Cell, task: &TaskId, now: Millis) -> bool {
    let Some(step) = cell.step(task) else {
        return false;
    };
    let candidates = Candidates::of(cell, now);
    choose(cell, task, step, &candidates, &BTreeMap::new()).is_some()
}

/// Records the start of a run; the order is sent once it is committed. `None` if its account may not
/// have more running.
fn start(
    cell: &mut Cell,
    worker: &Name,
    id: TaskId,
    step: &Step,
    gang: Option<(u32, Option<Name>)>,
) -> Option<Order> {
    let ticket = advice::ticket(cell, &id, worker);
    let incarnation = cell
        .workers
        .get(worker)
        .map_or(0, |worker| worker.incarnation);
    let job = cell.jobs.get_mut(&id.job)?;
    let charge = job.charge(id.step);
    if let Some(charge) = charge {
        if !cell.meter.admits(charge, 1) {
            cell.meter.refuse(charge, 1);
            return None;
        }
        cell.meter.add(charge);
    }
    let payload = Name::clone(&job.accepted.job.payload);
    job.progress.state = State::Running;
    let task = job.task_mut(&id)?;
    let (run, checkpoint) = gang.unwrap_or_else(|| (task.run + 1, task.checkpoint.clone()));
    task.run = run;
    task.phase = Phase::Placed(Name::clone(worker));
    task.incarnation_tag = (!task.crashed.is_empty()).then(|| IncarnationTag::of(incarnation));
    job.may_have_other_runs |= run > 1 || step.gang;
    cell.dirty.insert(id.job.clone());
    cell.unplaced_since.remove(&id);
    let mut entry = Run {
        charge,
        ..Run::new(run, step.reserved(), step.lasting)
    };
    entry.trace.began_at_zero = checkpoint.is_none();
    let found = cell.workers.get_mut(worker)?;
    if !step.lasting {
        found.speed.record_start(&id);
    }
    found.runs.insert(id.clone(), entry);
    Some(Order::Start {
        worker: Name::clone(worker),
        task: id,
        run,
        payload,
        checkpoint,
        ticket,
    })
}
