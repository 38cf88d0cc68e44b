//! Bounded waiting in pools with client accounts.
//!
//! The order by entitlements and remaining work could keep a step waiting for as long as others
//! arrive. Steps that have waited for long are *aged* and go first within their class, the oldest
//! first, as long as little of the pool runs tasks that started this way. Long overdue steps don't
//! age: nobody waits for them any more.
//!
//! Going first doesn't help a gang or a task that needs much of a worker: smaller tasks take what is
//! free before enough of it is. Workers are reserved for one such step at a time: they get nothing
//! else until it has started. Nothing is stopped for it.

use super::{
    NoFit, allows_ignoring_policy,
    candidates::Candidates,
    choose, choose_gang, place_step,
    preempt::fits_without_batch,
    urgency::{Class, WaitingStep, task_id, waiting_tasks},
};
use crate::{advice, cell::Cell, order::Order, worker::Worker};
use primroseroute_domain::work::{Demand, JobId, Name, Step, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Time from which on a ready step is aged.
const AGED_MS: u64 = 5_000;

/// Part of the pool's processor share, as a divisor, that tasks may use that started as aged.
const SHARE_DIVISOR: u64 = 16;

/// Part of the largest worker, as a divisor, from which on a task is wide: what smaller tasks leave
/// free is seldom enough for it.
const WIDE_DIVISOR: u64 = 4;

/// Maximum number of steps that are considered for a reservation in one round, which bounds its
/// duration.
const MAX_CONSIDERED: usize = 8;

/// Workers that are reserved for an aged step.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    job: JobId,
    occurrence: u32,
    step: u16,
    workers: BTreeSet<Name>,
}

impl Reservation {
    fn is_for(&self, waiting: &WaitingStep) -> bool {
        (&self.job, self.occurrence, self.step) == (&waiting.job, waiting.occurrence, waiting.step)
    }
}

/// The aged steps of one round.
#[derive(Debug)]
pub(super) struct AgedSteps<'a> {
    /// The oldest first.
    steps: Vec<&'a WaitingStep>,
    /// Thousandths of a core that aged steps may still take; a step may exceed it with one task.
    left: u64,
    /// Largest capacity of a worker, for each resource.
    largest: Demand,
}

impl<'a> AgedSteps<'a> {
    /// The aged steps among `batch`.
    pub(super) fn of(cell: &Cell, batch: &'a [WaitingStep]) -> Self {
        let mut aged = Self {
            steps: Vec::new(),
            left: 0,
            largest: Demand::default(),
        };
        if !batch.iter().any(|waiting| waiting.has_account) {
            return aged;
        }
        let worthwhile = batch
            .iter()
            .filter(|waiting| waiting.class < Class::LongOverdue);
        let steps = worthwhile.filter(|waiting| waiting.waited_ms > AGED_MS);
        aged.steps = steps.collect();
        if aged.steps.is_empty() {
            return aged;
        }
        let age = |waiting: &&WaitingStep| std::cmp::Reverse(waiting.waited_ms);
        aged.steps.sort_by_key(age);
        let mut capacity: u64 = 0;
        for own in cell.capacities() {
            capacity = capacity.saturating_add(own.cpu);
            aged.largest = aged.largest.larger(own);
        }
        let runs = cell
            .workers
            .values()
            .flat_map(|worker| worker.runs.values());
        let running = runs.filter(|run| run.is_aged).map(|run| run.reserved.cpu);
        let running = running.fold(0, u64::saturating_add);
        aged.left = (capacity / SHARE_DIVISOR).saturating_sub(running);
        aged
    }

    /// Places the aged steps of one class.
    pub(super) fn place(
        &mut self,
        cell: &mut Cell,
        class: Class,
        candidates: &mut Candidates,
        no_fit: &mut NoFit,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        let steps = std::mem::take(&mut self.steps);
        for waiting in steps.iter().filter(|waiting| waiting.class == class) {
            if self.left == 0 || candidates.is_full() {
                break;
            }
            let most = self.most_tasks(cell, waiting, candidates);
            if most == 0 {
                continue;
            }
            let before = orders.len();
            no_fit.place(cell, waiting, most, candidates, &mut orders);
            self.record(cell, &orders[before..]);
        }
        self.steps = steps;
        orders
    }

    /// Number of tasks of a step that may start as aged now, of which its account may have all
    /// running; 0 if those of a gang may not.
    fn most_tasks(&self, cell: &Cell, waiting: &WaitingStep, candidates: &Candidates) -> usize {
        let Some(job) = cell.jobs.get(&waiting.job) else {
            return 0;
        };
        let Some(step) = job.step(waiting.step) else {
            return 0;
        };
        let mut indexes = waiting_tasks(job, waiting.occurrence, waiting.step);
        let Some(first) = indexes.next() else {
            return 0;
        };
        if candidates.needs_isolation(cell, &task_id(waiting, first)) {
            return 0;
        }
        let count = 1 + indexes.count();
        let admits = |count: &usize| {
            let charge = job.charge(waiting.step);
            charge.is_none_or(|charge| cell.meter.admits(charge, *count))
        };
        if step.gang {
            return Some(count).filter(admits).unwrap_or(0);
        }
        if !admits(&1) {
            return 0;
        }
        let most = self.left.div_ceil(step.reserved().cpu.max(1)).max(1);
        let most = usize::try_from(most).unwrap_or(usize::MAX);
        (1..=most.min(count)).rev().find(admits).unwrap_or(0)
    }

    /// Records the starts of aged steps.
    fn record(&mut self, cell: &mut Cell, orders: &[Order]) {
        for order in orders {
            let Order::Start { worker, task, .. } = order else {
                continue;
            };
            let worker = cell.workers.get_mut(worker);
            if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(task)) {
                run.is_aged = true;
                self.left = self.left.saturating_sub(run.reserved.cpu);
            }
        }
    }

    /// Starts the step for which workers are reserved, once these have room. Otherwise keeps them
    /// reserved, or reserves workers for another step if there is none. Runs before other batch
    /// tasks are placed.
    pub(super) fn run_reserved(
        &mut self,
        cell: &mut Cell,
        candidates: &mut Candidates,
    ) -> Vec<Order> {
        let before = cell.aged_reservation.take();
        let steps = std::mem::take(&mut self.steps);
        let held = before
            .as_ref()
            .and_then(|known| steps.iter().find(|waiting| known.is_for(waiting)));
        let mut orders = Vec::new();
        let held = held.map(|waiting| (waiting, self.most_tasks(cell, waiting, candidates)));
        if let Some((waiting, most)) = held.filter(|(_waiting, most)| *most > 0) {
            place_step(cell, waiting, most, candidates, &mut orders);
            self.record(cell, &orders);
            if orders.is_empty() {
                let workers = before.map(|known| known.workers).unwrap_or_default();
                self.reserve(cell, waiting, &workers, candidates);
            }
        }
        if self.left > 0 && orders.is_empty() && cell.aged_reservation.is_none() {
            let wide = steps.iter().filter(|waiting| {
                step_of(cell, waiting).is_some_and(|step| is_wide(step, self.largest))
            });
            let wide: Vec<&&WaitingStep> = wide.take(MAX_CONSIDERED).collect();
            for waiting in wide {
                if self.most_tasks(cell, waiting, candidates) > 0
                    && !fits(cell, waiting, candidates)
                    && self.reserve(cell, waiting, &BTreeSet::new(), candidates)
                {
                    break;
                }
            }
        }
        self.steps = steps;
        orders
    }

    /// Reserves workers for all members of a gang, or one worker for one task of another step;
    /// those reserved `before` if possible, then the emptiest ones. Returns whether the step can
    /// start there once their batch tasks have ended.
    fn reserve(
        &mut self,
        cell: &mut Cell,
        waiting: &WaitingStep,
        before: &BTreeSet<Name>,
        candidates: &mut Candidates,
    ) -> bool {
        let Some(step) = step_of(cell, waiting) else {
            return false;
        };
        let Some(task) = first_task(cell, waiting) else {
            return false;
        };
        let able = candidates.unblocked().filter(|&candidate| {
            let id = candidates.id(candidate);
            let worker = &cell.workers[id];
            allows_ignoring_policy(worker, &task, step, 0)
                && advice::allows(cell, &task, id)
                && fits_without_batch(worker, step)
        });
        let mut able: Vec<usize> = able.collect();
        able.sort_by_key(|&candidate| {
            let free = candidates.free(candidate);
            let was_reserved = before.contains(candidates.id(candidate));
            std::cmp::Reverse((was_reserved, free.cpu, free.memory))
        });
        let mut missing = if step.gang { u64::from(step.count) } else { 1 };
        let mut reserved = Vec::new();
        for candidate in able {
            if missing == 0 {
                break;
            }
            let worker = &cell.workers[candidates.id(candidate)];
            missing = missing.saturating_sub(tasks_without_batch(worker, step, missing));
            reserved.push(candidate);
        }
        if missing > 0 {
            return false;
        }
        let cpu = step.reserved().cpu;
        let count = if step.gang { u64::from(step.count) } else { 1 };
        self.left = self.left.saturating_sub(cpu.saturating_mul(count));
        let workers = reserved
            .iter()
            .map(|&candidate| Name::clone(candidates.id(candidate)));
        cell.aged_reservation = Some(Reservation {
            job: waiting.job.clone(),
            occurrence: waiting.occurrence,
            step: waiting.step,
            workers: workers.collect(),
        });
        for candidate in reserved {
            candidates.block(candidate);
        }
        true
    }
}

fn step_of<'a>(cell: &'a Cell, waiting: &WaitingStep) -> Option<&'a Step> {
    cell.jobs.get(&waiting.job)?.step(waiting.step)
}

fn first_task(cell: &Cell, waiting: &WaitingStep) -> Option<TaskId> {
    let job = cell.jobs.get(&waiting.job)?;
    let index = waiting_tasks(job, waiting.occurrence, waiting.step).next()?;
    Some(task_id(waiting, index))
}

/// Whether what smaller tasks leave free is seldom enough for a step.
fn is_wide(step: &Step, largest: Demand) -> bool {
    let wide = |demand: u64, largest: u64| demand > 0 && demand >= largest / WIDE_DIVISOR;
    let demand = step.reserved();
    step.gang
        || wide(demand.cpu, largest.cpu)
        || wide(demand.memory, largest.memory)
        || wide(demand.accelerators, largest.accelerators)
}

/// Whether workers have room for a gang, or for a task of another step.
fn fits(cell: &Cell, waiting: &WaitingStep, candidates: &mut Candidates) -> bool {
    let Some(job) = cell.jobs.get(&waiting.job) else {
        return true;
    };
    let Some(step) = job.step(waiting.step) else {
        return true;
    };
    let tasks = waiting_tasks(job, waiting.occurrence, waiting.step);
    let mut tasks = tasks.map(|index| task_id(waiting, index));
    if !step.gang {
        let fits = |task| choose(cell, &task, step, candidates, &BTreeMap::new()).is_some();
        return tasks.next().is_none_or(fits);
    }
    let members: Vec<_> = tasks.collect();
    if members.len() < usize::from(step.count) {
        // Members of its last run have yet to end.
        return true;
    }
    let chosen = choose_gang(cell, &members, step, candidates);
    for &candidate in chosen.iter().flatten() {
        candidates.release(candidate, step.reserved());
    }
    chosen.is_some()
}

/// Number of tasks of a step, up to `most`, that a worker has capacity for once its batch tasks are
/// gone.
fn tasks_without_batch(worker: &Worker, step: &Step, most: u64) -> u64 {
    let batch = worker.runs.values().filter(|run| !run.lasting);
    let available = batch.fold(worker.free_capacity(), |available, run| {
        available.plus(run.reserved)
    });
    let most = match step.most_per_worker {
        0 => most,
        spread => most.min(u64::from(spread)),
    };
    (1..=most)
        .take_while(|&count| step.reserved().times(count).fits(available))
        .count() as u64
}
