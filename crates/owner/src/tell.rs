//! The lines of a pool's loop.

use crate::digest::first;
use log::{info, warn};
use primroseroute_cell::{Loss, Order, PoisonTask, ScalingEstimate};
use primroseroute_domain::work::{JobId, State, TaskId};

/// One line for each order to a worker.
pub(crate) fn orders(pool: &str, orders: &[Order]) {
    for order in orders {
        match order {
            Order::Start {
                worker, task, run, ..
            } => info!(pool, worker = &**worker, task:% = task, run; "task placed"),
            Order::Stop { worker, task, run } => {
                info!(pool, worker = &**worker, task:% = task, run; "run is to stop");
            }
            Order::Throttle {
                worker,
                task,
                percent,
                ..
            } => info!(pool, worker = &**worker, task:% = task, percent; "run is paced"),
        }
    }
}

/// One line for an order that was committed and doesn't hold any more.
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
    } in losses
    {
        let tasks = first(runs.iter().map(|(task, run)| format!("{task}/{run}")));
        let attributed_to = first(attributed_to.iter().map(ToString::to_string));
        info!(pool, worker = &**worker, cause:? = cause, count = runs.len(), tasks = &*tasks, blamed = &*attributed_to; "runs lost with their worker");
    }
}

/// One line for each task that is given up since it crashes its workers.
pub(crate) fn culprits(pool: &str, culprits: &[PoisonTask]) {
    for PoisonTask { task, crashes } in culprits {
        warn!(pool, task:% = task, crashes; "a task that crashes its workers is given up");
    }
}

/// One line for each task that is held for innocent of the crashes of its workers.
pub(crate) fn acquitted(pool: &str, acquitted: &[TaskId]) {
    for task in acquitted {
        info!(pool, task:% = task; "a task has outlived its trial");
    }
}

/// One line for each job whose final state is stored, by a commit that took `commit_ms`.
pub(crate) fn ended(pool: &str, ended: &[(JobId, State)], commit_ms: u64) {
    for (job, state) in ended {
        info!(pool, job:% = job, state:? = state, commit_ms; "job ended");
    }
}

/// What the pool needs, with what it was worked out from.
pub(crate) fn need(pool: &str, need: &ScalingEstimate, registered: usize) {
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
    } = need;
    info!(pool, workers, now, soon, late, kept, running_cpu = running.cpu, waiting_cpu = waiting.cpu, expected_cpu = expected.cpu, unfit, registered; "need of workers published");
}
