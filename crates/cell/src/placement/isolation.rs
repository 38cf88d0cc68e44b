//! Isolated runs of tasks that may crash their workers.
//!
//! A worker is *reserved* for isolated runs before one can begin: batch tasks start there all the
//! time, and a new run beside a suspect could be what crashes the worker. Reserved workers get no
//! other batch tasks; an isolated run begins once all runs there have shown that their worker
//! survives them. A suspect runs alone. Tasks with a single crash run in small groups.

use super::{
    allows_ignoring_policy,
    candidates::Candidates,
    preempt::fits_without_batch,
    start,
    urgency::{WaitingStep, task_id, waiting_tasks},
};
use crate::{advice, cell::Cell, crash, limits::Millis, order::Order, worker::Origin};
use primroseroute_domain::work::{Name, Step, TaskId};
use std::collections::BTreeMap;

/// Isolated runs may reserve one in this many workers. They may reserve more if none of these may
/// run a task, or if no other task waits for them.
const WORKERS_PER_RESERVATION: usize = 4;

/// Age up to which a status shows that a worker responds.
const RECENT_STATUS_MS: Millis = 200;

/// Age up to which a status that was requested for an isolated run is used: a round may have to
/// wait for the store.
const REQUESTED_STATUS_MS: Millis = 1_000;

/// A worker that is reserved for an isolated run.
#[derive(Debug)]
struct Reservation {
    /// Number of tasks that run isolated there, or wait for it.
    tasks: usize,
    /// Maximum number of them.
    max_tasks: usize,
    /// Whether the isolated run has begun in this round.
    begun: bool,
}

/// The isolated runs of one round.
#[derive(Debug)]
pub(super) struct IsolatedRuns {
    /// Tasks that wait for an isolated run and have no worker reserved, the most urgent first.
    pending: Vec<TaskId>,
    reservations: BTreeMap<usize, Reservation>,
}

impl IsolatedRuns {
    /// The `waiting` tasks that need an isolated run.
    pub(super) fn of(cell: &Cell, candidates: &Candidates, waiting: &[WaitingStep]) -> Self {
        Self {
            pending: pending(cell, candidates, waiting),
            reservations: BTreeMap::new(),
        }
    }

    /// Starts tasks, and reserves workers for those that have to wait. Runs before other batch
    /// tasks are placed.
    pub(super) fn run(
        &mut self,
        cell: &mut Cell,
        candidates: &mut Candidates,
        now: Millis,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        for task in std::mem::take(&mut self.pending) {
            let Some(step) = cell.step(&task).cloned() else {
                continue;
            };
            let shared = self.shared_candidate(cell, candidates, &task, &step);
            match shared.or_else(|| self.candidate_to_reserve(cell, candidates, &task, &step)) {
                Some(candidate) => orders
                    .extend(self.start_or_wait(cell, candidates, candidate, &task, &step, now)),
                None => self.pending.push(task),
            }
        }
        let reserved = self.reservations.keys();
        cell.isolation_workers = reserved
            .map(|&candidate| Name::clone(candidates.id(candidate)))
            .collect();
        orders
    }

    /// Starts more tasks on workers that still have no new runs after other batch tasks were
    /// placed.
    pub(super) fn run_idle(
        &mut self,
        cell: &mut Cell,
        candidates: &mut Candidates,
        now: Millis,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        for task in std::mem::take(&mut self.pending) {
            let Some(step) = cell.step(&task).cloned() else {
                continue;
            };
            let shared = self.shared_candidate(cell, candidates, &task, &step);
            if let Some(candidate) =
                shared.or_else(|| idle_candidate(cell, candidates, &task, &step))
            {
                orders.extend(self.start_or_wait(cell, candidates, candidate, &task, &step, now));
            }
        }
        orders
    }

    /// Starts a task on a worker that is ready for it, or lets it wait there.
    fn start_or_wait(
        &mut self,
        cell: &mut Cell,
        candidates: &mut Candidates,
        candidate: usize,
        task: &TaskId,
        step: &Step,
        now: Millis,
    ) -> Option<Order> {
        candidates.block(candidate);
        let reservation = self.reservations.entry(candidate).or_insert(Reservation {
            tasks: 0,
            max_tasks: crash::max_isolated_together(cell, task),
            begun: false,
        });
        reservation.tasks += 1;
        let worker = Name::clone(candidates.id(candidate));
        reservation.begun |=
            is_ready(cell, candidates, candidate, step) && has_answered(cell, &worker, now);
        if !reservation.begun {
            return None;
        }
        candidates.allocate(candidate, step.reserved());
        let order = start(cell, &worker, task.clone(), step, None);
        let run = cell.workers.get_mut(&worker)?.runs.get_mut(task)?;
        run.origin = Origin::Isolated;
        order
    }

    /// A reserved worker that a task can share.
    fn shared_candidate(
        &self,
        cell: &Cell,
        candidates: &Candidates,
        task: &TaskId,
        step: &Step,
    ) -> Option<usize> {
        let max_tasks = crash::max_isolated_together(cell, task);
        let mut shareable = self
            .reservations
            .iter()
            .filter(|(_candidate, reservation)| {
                reservation.max_tasks == max_tasks && reservation.tasks < reservation.max_tasks
            });
        let found = shareable.find(|&(&candidate, reservation)| {
            let fits = if reservation.begun {
                step.reserved().fits(candidates.free(candidate))
            } else {
                fits_without_batch(&cell.workers[candidates.id(candidate)], step)
            };
            fits && may_run_on(cell, candidates, candidate, task, step)
        });
        found.map(|(&candidate, _reservation)| candidate)
    }

    /// The worker on which a task is to run isolated, or has to wait for that.
    fn candidate_to_reserve(
        &self,
        cell: &Cell,
        candidates: &Candidates,
        task: &TaskId,
        step: &Step,
    ) -> Option<usize> {
        let able = candidates.all().filter(|&candidate| {
            fits_without_batch(&cell.workers[candidates.id(candidate)], step)
                && may_run_on(cell, candidates, candidate, task, step)
        });
        let able: Vec<usize> = able.collect();
        let has_reservation = |candidate: &usize| self.reservations.contains_key(candidate);
        let is_reserved = |candidate: &usize| {
            has_reservation(candidate) || cell.isolation_workers.contains(candidates.id(*candidate))
        };
        let (reserved, others): (Vec<usize>, Vec<usize>) = able.into_iter().partition(is_reserved);
        let unused = || {
            reserved
                .iter()
                .copied()
                .filter(|candidate| !has_reservation(candidate))
        };
        let ready = unused().find(|&candidate| is_ready(cell, candidates, candidate, step));
        if let Some(candidate) = ready.or_else(|| unused().next()) {
            return Some(candidate);
        }
        let held = candidates.isolating() + candidates.all().filter(is_reserved).count();
        let total = candidates.isolating() + candidates.all().count();
        if held >= total.div_ceil(WORKERS_PER_RESERVATION) && !reserved.is_empty() {
            return None;
        }
        others.into_iter().max_by_key(|&candidate| {
            let mut runs = cell.workers[candidates.id(candidate)].runs.values();
            let is_ready = is_ready(cell, candidates, candidate, step);
            // A crash does least damage on a worker without long-running tasks and with few runs.
            (
                !runs.any(|run| run.lasting),
                is_ready,
                candidates.free(candidate).cpu,
            )
        })
    }
}

/// An unreserved worker on which an isolated run can begin at once.
fn idle_candidate(
    cell: &Cell,
    candidates: &Candidates,
    task: &TaskId,
    step: &Step,
) -> Option<usize> {
    let mut idle = candidates.unblocked().filter(|&candidate| {
        is_ready(cell, candidates, candidate, step)
            && may_run_on(cell, candidates, candidate, task, step)
    });
    idle.next()
}

/// Waiting tasks that need an isolated run and whose dependencies are done.
fn pending(cell: &Cell, candidates: &Candidates, waiting: &[WaitingStep]) -> Vec<TaskId> {
    if cell.crashed.is_empty() {
        return Vec::new();
    }
    let tasks = waiting.iter().filter_map(|waiting| {
        let job = cell.jobs.get(&waiting.job)?;
        let tasks = waiting_tasks(job, waiting.occurrence, waiting.step);
        Some(tasks.map(|index| task_id(waiting, index)))
    });
    tasks
        .flatten()
        .filter(|task| candidates.needs_isolation(cell, task))
        .collect()
}

/// Whether a worker may run a task, regardless of free capacity.
fn may_run_on(
    cell: &Cell,
    candidates: &Candidates,
    candidate: usize,
    task: &TaskId,
    step: &Step,
) -> bool {
    let id = candidates.id(candidate);
    allows_ignoring_policy(&cell.workers[id], task, step, 0) && advice::allows(cell, task, id)
}

/// Whether a worker has answered a moment ago; one that hasn't is polled.
///
/// A worker that has died for another reason still looks as in its last status, which may be a
/// second old. The loss of an isolated run that begins on it would be attributed to a task whose
/// start never arrived.
fn has_answered(cell: &mut Cell, id: &Name, now: Millis) -> bool {
    let Some(worker) = cell.workers.get_mut(id) else {
        return false;
    };
    let is_within = |age: Millis| worker.status_as_of.is_some_and(|at| now <= at + age);
    let answered =
        worker.poll_requested_at.is_some() && worker.status_as_of >= worker.poll_requested_at;
    if is_within(RECENT_STATUS_MS) || (answered && is_within(REQUESTED_STATUS_MS)) {
        worker.poll_requested_at = None;
        return true;
    }
    if worker
        .poll_requested_at
        .is_none_or(|at| now >= at + RECENT_STATUS_MS)
    {
        worker.poll_requested_at = Some(now);
        cell.poll_requests.push(Name::clone(id));
    }
    false
}

/// Whether a task can be started on a worker now and run isolated there.
fn is_ready(cell: &Cell, candidates: &Candidates, candidate: usize, step: &Step) -> bool {
    let worker = &cell.workers[candidates.id(candidate)];
    let mut runs = worker.runs.values();
    step.reserved().fits(candidates.free(candidate))
        && !runs.any(|run| worker.is_new(run, cell.limits.settle_time))
}
