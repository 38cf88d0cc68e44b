//! Summary of the unfinished work, for the admission of further jobs.

use crate::{
    cell::Cell, job::Job, placement, row::Phase, unplaceable::blocked_steps, worker::StopState,
};
use primroseroute_admission::{Backlog, Waiting};
use primroseroute_domain::work::{Demand, Name, TaskId};
use std::collections::BTreeMap;

/// Whether a job counts at all: what a long-running or a scheduled job occupies is capacity that
/// isn't there, and a long overdue one keeps no other waiting.
fn counts(job: &Job, wall_ms: u64) -> bool {
    let accepted = &job.accepted;
    !job.progress.state.is_final()
        && accepted.job.schedule.is_none()
        && !accepted.job.lasting()
        && !placement::is_long_overdue(job, 0, wall_ms)
}

/// Predicted core-milliseconds of a job's unfinished tasks; without those that can't run, which
/// keep no other waiting.
fn remaining_core_ms(cell: &Cell, job: &Job) -> u64 {
    let blocked = blocked_steps(&cell.capability, job);
    let counts = |number: u16| !blocked.get(usize::from(number)).copied().unwrap_or(false);
    if job.progress.next > 0 {
        return placement::work_left_of(job, 0, counts);
    }
    let steps = (0..).zip(&job.accepted.job.steps);
    let steps = steps.filter(|(number, _step)| counts(*number));
    let work = steps.map(|(number, step)| {
        let mean_ms = job.prediction.of(number, step).mean_ms;
        core_ms(step.demand.cpu, mean_ms, u64::from(step.count))
    });
    work.fold(0, u64::saturating_add)
}

/// Core-milliseconds of `count` tasks with `cpu` thousandths of a core each.
pub(crate) fn core_ms(cpu: u64, run_time_ms: u64, count: u64) -> u64 {
    let cpu = cpu.saturating_mul(count);
    cpu.saturating_mul(run_time_ms) / 1_000
}

/// Predicted core-milliseconds of a batch task; 0 for one that is completed or isn't known.
pub(crate) fn task_core_ms(cell: &Cell, task: &TaskId) -> u64 {
    let job = cell.jobs.get(&task.job);
    let job = job.filter(|job| {
        job.task(task)
            .is_some_and(|known| known.phase != Phase::Done)
    });
    let step = job.and_then(|job| Some((job, job.step(task.step)?)));
    let step = step.filter(|(_job, step)| !step.lasting);
    step.map_or(0, |(job, step)| {
        let mean_ms = job.prediction.of(task.step, step).mean_ms;
        core_ms(step.demand.cpu, mean_ms, 1)
    })
}

/// Thousandths of a core that batch tasks can use on the workers that accept runs.
fn capacity_cpu(cell: &Cell) -> u64 {
    let workers = cell.workers.values();
    let open = workers.filter(|worker| worker.accepts_runs(cell.round_at, &cell.limits));
    let capacities = open.map(|worker| {
        let capacity = worker.registration.as_ref().map(|info| info.capacity);
        let long_running = worker.runs.values().filter(|run| run.lasting);
        let reserved = long_running.fold(Demand::default(), |all, run| all.plus(run.reserved));
        capacity.unwrap_or_default().minus(reserved).cpu
    });
    capacities.fold(0, u64::saturating_add)
}

/// Subtracts the work of running tasks: it keeps no other waiting, since its workers are in use
/// and the rate of the pool includes them. A pool with free workers would otherwise seem to make
/// jobs wait.
fn subtract_running(cell: &Cell, accounts: &mut BTreeMap<Option<Name>, Waiting>, wall_ms: u64) {
    let runs = cell.workers.values().flat_map(|worker| &worker.runs);
    for (task, run) in runs {
        if run.lasting || run.stop != StopState::No {
            continue;
        }
        let Some(job) = cell.jobs.get(&task.job).filter(|job| counts(job, wall_ms)) else {
            continue;
        };
        let is_newest = job
            .task(task)
            .is_some_and(|known| known.run == run.run && known.phase.worker().is_some());
        let (true, Some(step)) = (is_newest, job.step(task.step)) else {
            continue;
        };
        let mean_ms = job.prediction.of(task.step, step).mean_ms;
        if let Some(waiting) = accounts.get_mut(&job.accepted.account) {
            let sum = work_of(cell, job, waiting);
            *sum = sum.saturating_sub(core_ms(step.demand.cpu, mean_ms, 1));
        }
    }
}

/// The sum that a job's work belongs to.
fn work_of<'a>(cell: &Cell, job: &Job, waiting: &'a mut Waiting) -> &'a mut u64 {
    if job.is_within_entitlement(&cell.meter) {
        &mut waiting.within_core_ms
    } else {
        &mut waiting.beyond_core_ms
    }
}

/// The unfinished work of each account, and the number of jobs that it has submitted.
pub(crate) fn backlog(cell: &Cell, wall_ms: u64) -> Backlog {
    let mut accounts = cell.marking.accepted().clone();
    for job in cell.jobs.values().filter(|job| counts(job, wall_ms)) {
        let account = job.accepted.account.clone();
        let sum = work_of(cell, job, accounts.entry(account).or_default());
        *sum = sum.saturating_add(remaining_core_ms(cell, job));
    }
    subtract_running(cell, &mut accounts, wall_ms);
    Backlog {
        capacity_cpu: capacity_cpu(cell),
        largest_worker: Demand::default(),
        accounts,
    }
}
