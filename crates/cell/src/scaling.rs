//! Estimate of how many workers a pool can use, from its running and waiting tasks and the capacity
//! of its workers.
//!
//! Owners publish this estimate. From it and from the list of instances each of them derives which
//! instances change pools, so it errs upwards: it follows a rise at once and a fall only after a
//! while.

use crate::{
    advice,
    cell::Cell,
    crash,
    limits::Millis,
    placement::{self, WaitingStep},
    row::DesiredWorkers,
    speed::NORMAL,
    worker::{EvacuationReason, StopState, Worker},
};
use primroseroute_domain::work::{Demand, Step};
use std::collections::VecDeque;

/// Time in which waiting work should be started. Short batch tasks that wait share workers within
/// it; a task that takes longer needs all of its demand. An instance takes about as long to change
/// pools, so a lower value would ask for instances that come too late.
const HORIZON_MS: u64 = 1_000;

/// Capacity asked for relative to what is used, in percent: jobs arrive irregularly, and short ones
/// are late before another instance can come.
const HEADROOM_PERCENT: u64 = 125;

/// Minimum number of workers: without any, the next job would wait for the seconds that a move
/// takes.
const MIN_WORKERS: u64 = 1;

/// How long a pool keeps the workers that it has needed before they are switched off. Switching an
/// instance off and on again costs two moves, during which it runs nothing; keeping it idle for
/// much longer than those take costs more than they do.
const SCALE_DOWN_DELAY_MS: Millis = 2_000;

/// How long a pool keeps its initial workers while no work has arrived: none may ever arrive.
const INITIAL_KEEP_MS: Millis = 60_000;

/// Minimum time between two recorded estimates.
const SAMPLE_MS: Millis = 100;

/// How many workers a pool can use, and the figures behind it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScalingEstimate {
    /// Number of workers that the pool can use, now or when an instance that is requested now
    /// becomes available.
    pub workers: u64,
    /// Number of workers that it can use now, without overdue work; at least one.
    pub now: u64,
    /// Number of workers that it will be able to use when an instance that is requested now becomes
    /// available, without headroom; at least `now`.
    pub soon: u64,
    /// Number of workers beyond `now` that it can use for overdue work and for isolated runs.
    pub late: u64,
    /// No workers are switched off below this number.
    pub scale_down_floor: u64,
    /// Demand of running tasks.
    pub running: Demand,
    /// Demand of waiting tasks, as far as they should be started soon.
    pub waiting: Demand,
    /// Expected demand of incoming work when an instance that is requested now becomes available.
    pub expected: Demand,
    /// Workers that belong to the pool but accept no new runs; slow ones count in part.
    pub unusable: u64,
}

impl ScalingEstimate {
    /// The part that is published to other entries.
    pub fn published(&self) -> DesiredWorkers {
        DesiredWorkers {
            workers: self.workers,
            now: self.now,
            soon: self.soon,
            late: self.late,
        }
    }
}

/// Recent estimates.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentEstimates {
    recent: VecDeque<(Millis, u64)>,
    /// Last known mean capacity of one worker.
    worker: Demand,
}

impl RecentEstimates {
    /// Records the current estimate and drops expired ones.
    fn record(&mut self, now: Millis, need: u64) {
        while self
            .recent
            .front()
            .is_some_and(|known| known.0 + SCALE_DOWN_DELAY_MS <= now)
        {
            self.recent.pop_front();
        }
        match self.recent.back_mut() {
            Some((at, known)) if now < *at + SAMPLE_MS => *known = need.max(*known),
            _ => self.recent.push_back((now, need)),
        }
    }

    /// The highest recorded estimate.
    fn highest(&self) -> u64 {
        self.recent
            .iter()
            .map(|(_at, need)| *need)
            .max()
            .unwrap_or(0)
    }
}

/// Demand of tasks, split by whether they can still meet their objective.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    in_time: Demand,
    late: Demand,
}

impl Load {
    fn add(&mut self, demand: Demand, late: bool) {
        let sum = if late {
            &mut self.late
        } else {
            &mut self.in_time
        };
        *sum = sum.plus(demand);
    }

    fn all(self) -> Demand {
        self.in_time.plus(self.late)
    }
}

/// `value * factor / divisor`, or the maximum if that is larger.
fn scaled(value: u64, factor: u64, divisor: u64) -> u64 {
    let product = u128::from(value) * u128::from(factor);
    u64::try_from(product / u128::from(divisor)).unwrap_or(u64::MAX)
}

fn with_headroom(demand: Demand) -> Demand {
    Demand {
        cpu: scaled(demand.cpu, HEADROOM_PERCENT, 100),
        memory: scaled(demand.memory, HEADROOM_PERCENT, 100),
        accelerators: demand.accelerators,
    }
}

/// Computes the number of workers that the pool can use.
pub(crate) fn estimate(
    cell: &mut Cell,
    waiting: &[WaitingStep],
    now: Millis,
    wall_ms: u64,
) -> ScalingEstimate {
    if let Some(capacity) = mean_capacity(cell) {
        cell.estimates.worker = capacity;
    }
    let capacity = cell.estimates.worker;
    let running = running_demand(cell, wall_ms);
    let waiting_sum = waiting_demand(cell, waiting);
    cell.arrivals.round(now);
    let expected = cell.arrivals.expected(now);
    let current = running.in_time.plus(waiting_sum.in_time);
    let long_running = long_running_demand(cell);
    let coming = running
        .in_time
        .larger(long_running.plus(expected))
        .plus(waiting_sum.in_time);
    let least = spread_width(cell)
        .max(spread_need(cell, now))
        .max(MIN_WORKERS);
    let workers = workers_for(with_headroom(coming), capacity).max(least);
    let current_workers = workers_for(current, capacity).max(least);
    let with_late = workers_for(current.plus(running.late).plus(waiting_sum.late), capacity);
    let with_isolation = current_workers.saturating_add(crash::isolation_workers_needed(cell));
    let with_overdue = overdue_need(cell, waiting, now);
    let all_workers = cell.workers.values();
    let unusable = all_workers
        .filter(|worker| is_unusable(cell, worker, now))
        .count() as u64;
    let unusable = unusable + lost_to_slowness(cell);
    cell.estimates.record(now, workers);
    ScalingEstimate {
        workers: workers.saturating_add(unusable),
        now: current_workers.saturating_add(unusable),
        soon: workers_for(coming, capacity)
            .max(current_workers)
            .saturating_add(unusable),
        late: with_late
            .max(with_isolation)
            .max(with_overdue)
            .saturating_sub(current_workers),
        scale_down_floor: scale_down_floor(cell, now).saturating_add(unusable),
        running: running.all(),
        waiting: waiting_sum.all(),
        expected,
        unusable,
    }
}

/// Number of workers below which none is switched off.
///
/// Before any work has arrived, the initial number of workers is all that is known of the pool's
/// demand: when they were switched off while a site started, instances were missing when the first
/// burst of jobs came.
fn scale_down_floor(cell: &Cell, now: Millis) -> u64 {
    if cell.arrivals.any_work() || now >= cell.taken_at + INITIAL_KEEP_MS {
        return cell.estimates.highest();
    }
    let registered = cell.workers.values().filter(|worker| worker.registered);
    registered.count() as u64
}

/// Mean capacity of the workers; `None` without any.
fn mean_capacity(cell: &Cell) -> Option<Demand> {
    let capacities = cell.capacities();
    let (count, sum) = capacities.fold((0, Demand::default()), |(count, sum), capacity| {
        (count + 1, sum.plus(capacity))
    });
    (count > 0).then(|| Demand {
        cpu: sum.cpu / count,
        memory: sum.memory / count,
        accelerators: sum.accelerators / count,
    })
}

/// Demand of running tasks. Runs that are to stop are left out: their tasks wait, or are over.
fn running_demand(cell: &Cell, wall_ms: u64) -> Load {
    let mut load = Load::default();
    let runs = cell.workers.values().flat_map(|worker| &worker.runs);
    for (task, run) in runs.filter(|(_task, run)| run.stop == StopState::No) {
        let job = cell.jobs.get(&task.job);
        let step = job.and_then(|job| job.step(task.step));
        let demand = step.map_or(run.reserved, |step| step.demand);
        let late = job.is_some_and(|job| placement::is_overdue(job, task.occurrence, wall_ms));
        load.add(demand, late);
    }
    load
}

/// Demand of long-running tasks.
fn long_running_demand(cell: &Cell) -> Demand {
    let runs = cell
        .workers
        .values()
        .flat_map(|worker| worker.runs.values());
    let long_running = runs.filter(|run| run.lasting && run.stop == StopState::No);
    long_running.fold(Demand::default(), |sum, run| sum.plus(run.reserved))
}

/// Demand of waiting tasks whose jobs are not long overdue.
fn waiting_demand(cell: &Cell, waiting: &[WaitingStep]) -> Load {
    let mut load = Load::default();
    for (step, count, run_time, late) in placement::still_waiting(cell, waiting) {
        load.add(near_term_demand(step, count, run_time.mean_ms), late);
    }
    load
}

/// Demand of waiting tasks of a step if they are to be started soon. The processor share of a filler
/// isn't reserved, but where all workers are full nothing is left for it.
fn near_term_demand(step: &Step, count: u64, mean_ms: u64) -> Demand {
    let all = step.demand.times(count);
    if step.lasting || mean_ms >= HORIZON_MS {
        return all;
    }
    let part = |all: u64, one: u64| {
        let rounded_up = all.saturating_mul(mean_ms).div_ceil(HORIZON_MS);
        rounded_up.max(one)
    };
    Demand {
        cpu: part(all.cpu, step.demand.cpu),
        memory: part(all.memory, step.demand.memory),
        accelerators: part(all.accelerators, step.demand.accelerators),
    }
}

/// Number of workers with a total capacity of `demand`.
fn workers_for(demand: Demand, worker: Demand) -> u64 {
    let of = |demand: u64, has: u64| demand.div_ceil(has.max(1));
    let known = worker != Demand::default();
    if !known {
        return u64::from(demand != Demand::default());
    }
    // More workers of the same kind don't provide an accelerator that none of them has.
    let accelerators = if worker.accelerators == 0 {
        0
    } else {
        of(demand.accelerators, worker.accelerators)
    };
    of(demand.cpu, worker.cpu)
        .max(of(demand.memory, worker.memory))
        .max(accelerators)
}

/// Number of workers that the widest step with spread tasks needs.
fn spread_width(cell: &Cell) -> u64 {
    let jobs = cell
        .jobs
        .values()
        .filter(|job| !job.progress.state.is_final());
    let begun = jobs.filter(|job| !job.progress.steps.is_empty());
    let steps = begun.flat_map(|job| &job.accepted.job.steps);
    let spread = steps.filter(|step| step.most_per_worker > 0);
    let widths = spread.map(|step| {
        let tasks = cell.capability.tasks(step);
        tasks.div_ceil(u64::from(step.most_per_worker))
    });
    widths.max().unwrap_or(0)
}

/// Number of workers that the pool needs if tasks of a spread step wait and no open worker can take
/// them, whatever its free capacity.
fn spread_need(cell: &Cell, now: Millis) -> u64 {
    if cell.spread_shortage == 0 {
        return 0;
    }
    let open = cell.workers.values();
    let open = open.filter(|worker| worker.accepts_runs(now, &cell.limits));
    open.count() as u64 + cell.spread_shortage
}

/// Number of workers that the pool needs if a long overdue task waits that no open worker can take,
/// even without its batch tasks.
///
/// Such tasks don't count as demand and run on free capacity only. Where long-running tasks leave
/// too little of it on each worker that the pool keeps, they would never run.
fn overdue_need(cell: &Cell, waiting: &[WaitingStep], now: Millis) -> u64 {
    let open: Vec<&Worker> = cell
        .workers
        .values()
        .filter(|worker| worker.accepts_runs(now, &cell.limits))
        .collect();
    let is_stuck = placement::long_overdue(cell, waiting).any(|(step, task)| {
        // Another worker of the same kind must help.
        step.label.is_none()
            && !advice::needs_ticket(cell, &task)
            && step.reserved().fits(cell.estimates.worker)
            && !open.iter().any(|worker| {
                placement::allows_ignoring_policy(worker, &task, step, 0)
                    && placement::fits_without_batch(worker, step)
            })
    });
    if is_stuck { open.len() as u64 + 1 } else { 0 }
}

/// Number of workers whose capacity equals what the pool's slow workers lack.
fn lost_to_slowness(cell: &Cell) -> u64 {
    let registered = cell.workers.values().filter(|worker| worker.registered);
    let lost = registered.map(|worker| NORMAL - worker.speed.capacity_permille());
    (lost.sum::<u64>() + NORMAL / 2) / NORMAL
}

/// Whether a worker belongs to the pool but accepts no new runs: it has become unresponsive, has
/// restarted and doesn't register, is cordoned, or is being evacuated for maintenance, in which case
/// its long-running tasks need capacity elsewhere. A worker that was never polled has just
/// registered, and one that is evacuated for a move is about to leave the pool.
fn is_unusable(cell: &Cell, worker: &Worker, now: Millis) -> bool {
    if !worker.registered || worker.is_terminated() {
        return false;
    }
    match worker.evacuating {
        Some(EvacuationReason::Maintenance) => true,
        Some(EvacuationReason::Move) => false,
        None => {
            let unresponsive =
                worker.status_at.is_some() && !worker.is_responsive(now, &cell.limits);
            let is_undescribed = !worker.is_described()
                && now >= worker.unready_since + cell.limits.unresponsive_after;
            unresponsive || is_undescribed || now < worker.cordoned_until
        }
    }
}
