//! The log lines of a pool's loop.

use crate::log_digest::first_names;
use log::{info, warn};
use primroseroute_cell::{
    Inflow, Loss, MovedRun, Order, PoisonTask, RoundOutput, ScalingEstimate, SlowWorker,
    Stragglers, UnplaceableStep,
};
use primroseroute_domain::work::{JobId, State, TaskId};

/// One line for each order to a worker.
pub(crate) fn orders(pool: &str, orders: &[Order]) {
    for order in orders {
        match order {
            Order::Start {
                worker, task, run, ..
            } => info!(pool, worker = &**worker, task:% = task, run; "task placed"),
            Order::Stop { worker, task, run } => {
                info!(pool, worker = &**worker, task:% = task, run; "stopping run");
            }
            Order::Throttle {
                worker,
                task,
                percent,
                ..
            } => info!(pool, worker = &**worker, task:% = task, percent; "throttling run"),
        }
    }
}

/// One line for an order that was committed and is no longer valid.
pub(crate) fn withdrawn(pool: &str, order: &Order) {
    match order {
        Order::Start {
            worker, task, run, ..
        } => info!(pool, worker = &**worker, task:% = task, run; "start withdrawn"),
        Order::Stop { worker, task, run } => {
            info!(pool, worker = &**worker, task:% = task, run; "stop withdrawn");
        }
        Order::Throttle { .. } => {}
    }
}

/// One line for each worker whose runs were lost without an end.
pub(crate) fn losses(pool: &str, losses: &[Loss]) {
    for Loss {
        worker,
        cause,
        runs,
        attributed_to,
        span_ms,
        relisted,
    } in losses
    {
        let tasks = first_names(runs.iter().map(|(task, run)| format!("{task}/{run}")));
        let attributed_to = first_names(attributed_to.iter().map(ToString::to_string));
        info!(pool, worker = &**worker, cause:? = cause, count = runs.len(), tasks = &*tasks, blamed = &*attributed_to, span_ms = *span_ms, relisted; "runs lost with their worker");
    }
}

/// One line for each task that is abandoned because it crashes its workers.
pub(crate) fn poison_tasks(pool: &str, poison_tasks: &[PoisonTask]) {
    for PoisonTask { task, crashes } in poison_tasks {
        warn!(pool, task:% = task, crashes; "abandoning task that crashes its workers");
    }
}

/// One line for each task that is cleared of the crashes of its workers.
pub(crate) fn crashes_cleared(pool: &str, cleared: &[TaskId]) {
    for task in cleared {
        info!(pool, task:% = task; "task cleared of crashing its workers");
    }
}

/// One line for each step that no instance can run, and one when that is over.
pub(crate) fn unplaceable(pool: &str, round: &RoundOutput) {
    for UnplaceableStep {
        job,
        step,
        count,
        demand,
        label,
    } in &round.unplaceable
    {
        let label = label.as_deref().unwrap_or_default();
        warn!(pool, job:% = job, step, tasks = count, cpu = demand.cpu, memory_mb = demand.memory, accelerators = demand.accelerators, label; "no instance can run the tasks of a step; it waits");
    }
    for (job, step) in &round.placeable_again {
        info!(pool, job:% = job, step; "step waits no longer for an instance that can run it");
    }
}

/// One line for each worker that has become slow or is no longer slow, and for each run that is moved
/// off a slow worker.
pub(crate) fn stragglers(pool: &str, stragglers: &Stragglers) {
    for SlowWorker {
        worker,
        percent,
        runs,
        age_ms,
    } in &stragglers.slowed
    {
        info!(pool, worker = &**worker, percent, runs, age_ms; "worker is slow");
    }
    for worker in &stragglers.recovered {
        info!(pool, worker = &**worker; "worker is no longer slow");
    }
    for MovedRun {
        worker,
        task,
        run,
        percent,
        left_ms,
        elsewhere_ms,
    } in &stragglers.moved
    {
        info!(pool, worker = &**worker, task:% = task, run, percent, left_ms, elsewhere_ms; "moving run off slow worker");
    }
}

/// One line for each job whose final state is stored, by a commit that took `commit_ms`.
pub(crate) fn jobs_ended(pool: &str, ended: &[(JobId, State)], commit_ms: u64) {
    for (job, state) in ended {
        info!(pool, job:% = job, state:? = state, commit_ms; "job ended");
    }
}

/// The number of workers that the pool needs, with the figures behind it and what arrives in its
/// busiest queue.
pub(crate) fn scaling(
    pool: &str,
    scaling: &ScalingEstimate,
    inflow: Option<&Inflow>,
    registered: usize,
) {
    let ScalingEstimate {
        workers,
        now,
        soon,
        late,
        scale_down_floor: kept,
        running,
        waiting,
        expected,
        unusable: unfit,
    } = scaling;
    let queue = inflow.map_or("", |inflow| &*inflow.queue);
    let jobs_per_s = inflow.map_or(0, |inflow| inflow.jobs_per_second);
    let job_core_ms = inflow.map_or(0, |inflow| inflow.job_core_ms);
    info!(pool, workers, now, soon, late, kept, running_cpu = running.cpu, waiting_cpu = waiting.cpu, expected_cpu = expected.cpu, queue, jobs_per_s, job_core_ms, unfit, registered; "need of workers published");
}
