//! How many workers a pool can use: what runs, and what waits, in units of its own workers.
//!
//! Owners publish this figure. From it and from the list of instances each works out which instances
//! change pools, so it errs upwards: it follows a rise at once and a fall only after a while.

use crate::{
    cell::Cell,
    crash,
    limits::Millis,
    place::{self, Waiting},
    row::Wanted,
    worker::{Purpose, Stop, Worker},
};
use primroseroute_domain::work::{Demand, Step};
use std::collections::VecDeque;

/// Time in milliseconds in which waiting work should be under way. Short tasks that wait share
/// workers within it; one that takes longer than this needs all that it occupies. An instance takes
/// about as long to change pools, so less would ask for instances that come too late.
const HORIZON_MS: u64 = 1_000;

/// Room that is asked for beyond what is used, in percent: jobs come in irregularly, and short ones
/// are late before another instance can come.
const HEADROOM_PERCENT: u64 = 125;

/// Least number of workers: a pool without any would let its next job wait for the seconds of a move.
const LEAST: u64 = 1;

/// How long a pool keeps the workers that it has needed before they are switched off. An instance that is switched off and on again
/// costs two moves and takes nothing for their time; kept idle for much longer than those take, it costs more than
/// they do.
const KEEP_MS: Millis = 2_000;

/// How long a pool keeps the workers that it was given while no work comes in: there may never be any.
const UNTRIED_MS: Millis = 60_000;

/// Least time between two figures that are remembered.
const SAMPLE_MS: Millis = 100;

/// What a pool needs, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Number of workers that the pool can use, now or when an instance that is asked for now works.
    pub workers: u64,
    /// Number of workers that it has use for at this moment, work that is late already left out; at least
    /// one.
    pub now: u64,
    /// Number of workers that it will have use for when an instance that is asked for now works, without
    /// headroom; at least `now`.
    pub soon: u64,
    /// Number of workers beyond `now` that it has use for, for work that is late already and for trials.
    pub late: u64,
    /// Number below which none is switched off.
    pub kept: u64,
    /// What runs.
    pub runs: Demand,
    /// What waits, as far as it should be under way soon.
    pub waits: Demand,
    /// What the work that comes in will occupy when an instance that is asked for now works.
    pub expected: Demand,
    /// Workers that are counted as the pool's and take nothing.
    pub unfit: u64,
}

impl Need {
    /// What of it others are told.
    pub fn wanted(&self) -> Wanted {
        Wanted {
            workers: self.workers,
            now: self.now,
            soon: self.soon,
            late: self.late,
        }
    }
}

/// The figures of the last while.
#[derive(Clone, Debug, Default)]
pub(crate) struct Needs {
    recent: VecDeque<(Millis, u64)>,
    /// Capacity of one worker, as last known.
    worker: Demand,
}

impl Needs {
    /// Takes in the figure of this moment, and drops what is too old.
    fn record(&mut self, now: Millis, need: u64) {
        while self
            .recent
            .front()
            .is_some_and(|known| known.0 + KEEP_MS <= now)
        {
            self.recent.pop_front();
        }
        match self.recent.back_mut() {
            Some((at, known)) if now < *at + SAMPLE_MS => *known = need.max(*known),
            _ => self.recent.push_back((now, need)),
        }
    }

    /// The highest figure that is remembered.
    fn highest(&self) -> u64 {
        self.recent
            .iter()
            .map(|(_at, need)| *need)
            .max()
            .unwrap_or(0)
    }
}

/// What runs or waits, by whether it can still be in time.
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

fn with_headroom(demand: Demand) -> Demand {
    Demand {
        cpu: demand.cpu * HEADROOM_PERCENT / 100,
        memory: demand.memory * HEADROOM_PERCENT / 100,
        accelerators: demand.accelerators,
    }
}

/// Number of workers that the pool can use, and why.
pub(crate) fn need(cell: &mut Cell, waiting: &[Waiting], now: Millis, wall_ms: u64) -> Need {
    if let Some(capacity) = mean_capacity(cell) {
        cell.needs.worker = capacity;
    }
    let capacity = cell.needs.worker;
    let runs = used(cell, wall_ms);
    let waits = waits(cell, waiting);
    cell.arrivals.round(now);
    let expected = cell.arrivals.expected(now);
    let current = runs.in_time.plus(waits.in_time);
    let lasting = lasting(cell);
    let coming = runs
        .in_time
        .larger(lasting.plus(expected))
        .plus(waits.in_time);
    let least = spread(cell).max(crowded(cell, now)).max(LEAST);
    let workers = workers_for(with_headroom(coming), capacity).max(least);
    let at_once = workers_for(current, capacity).max(least);
    let with_late = workers_for(current.plus(runs.late).plus(waits.late), capacity);
    let with_trials = at_once + crash::trials(cell);
    let all_workers = cell.workers.values();
    let unfit = all_workers
        .filter(|worker| is_unfit(cell, worker, now))
        .count() as u64;
    cell.needs.record(now, workers);
    Need {
        workers: workers + unfit,
        now: at_once + unfit,
        soon: workers_for(coming, capacity).max(at_once) + unfit,
        late: with_late.max(with_trials).saturating_sub(at_once),
        kept: kept(cell, now) + unfit,
        runs: runs.all(),
        waits: waits.all(),
        expected,
        unfit,
    }
}

/// Number of workers below which none is switched off.
///
/// Before any work has come in, what the pool was given is all that is known of its need: switched off while a site starts, its
/// instances were missing when its first turn began.
fn kept(cell: &Cell, now: Millis) -> u64 {
    if cell.arrivals.any() || now >= cell.taken_at + UNTRIED_MS {
        return cell.needs.highest();
    }
    let registered = cell.workers.values().filter(|worker| worker.registered);
    registered.count() as u64
}

/// Mean capacity of the registered workers; `None` without any.
fn mean_capacity(cell: &Cell) -> Option<Demand> {
    let registered = cell.workers.values().filter(|worker| worker.registered);
    let capacities = registered.filter_map(|worker| worker.info.as_ref());
    let (count, sum) = capacities.fold((0, Demand::default()), |(count, sum), info| {
        (count + 1, sum.plus(info.capacity))
    });
    (count > 0).then(|| Demand {
        cpu: sum.cpu / count,
        memory: sum.memory / count,
        accelerators: sum.accelerators / count,
    })
}

/// What a task uses: a filler's processor share isn't reserved, but nothing is left for it where all
/// workers are full.
fn used_by(step: &Step, count: u64) -> Demand {
    Demand {
        cpu: step.demand.cpu * count,
        memory: step.demand.memory * count,
        accelerators: step.demand.accelerators * count,
    }
}

/// What runs. Runs that are to stop are left out: their tasks wait, or are over.
fn used(cell: &Cell, wall_ms: u64) -> Load {
    let mut load = Load::default();
    let runs = cell.workers.values().flat_map(|worker| &worker.runs);
    for (task, run) in runs.filter(|(_task, run)| run.stop == Stop::No) {
        let job = cell.jobs.get(&task.job);
        let step = job.and_then(|job| job.step(task.step));
        let demand = step.map_or(run.reserved, |step| used_by(step, 1));
        let late = job.is_some_and(|job| place::is_past(job, task.occurrence, wall_ms));
        load.add(demand, late);
    }
    load
}

/// What lasting tasks occupy.
fn lasting(cell: &Cell) -> Demand {
    let runs = cell
        .workers
        .values()
        .flat_map(|worker| worker.runs.values());
    let lasting = runs.filter(|run| run.lasting && run.stop == Stop::No);
    lasting.fold(Demand::default(), |sum, run| sum.plus(run.reserved))
}

/// What waits and can still be worth something.
fn waits(cell: &Cell, waiting: &[Waiting]) -> Load {
    let mut load = Load::default();
    for (step, count, late) in place::still_waiting(cell, waiting) {
        load.add(soon(step, count), late);
    }
    load
}

/// What waiting tasks of a step occupy where they are to be under way soon.
fn soon(step: &Step, count: u64) -> Demand {
    let all = used_by(step, count);
    if step.lasting || step.estimate_ms >= HORIZON_MS {
        return all;
    }
    let part = |all: u64, one: u64| (all * step.estimate_ms).div_ceil(HORIZON_MS).max(one);
    Demand {
        cpu: part(all.cpu, step.demand.cpu),
        memory: part(all.memory, step.demand.memory),
        accelerators: part(all.accelerators, step.demand.accelerators),
    }
}

/// Workers that hold `demand`.
fn workers_for(demand: Demand, worker: Demand) -> u64 {
    let of = |demand: u64, has: u64| demand.div_ceil(has.max(1));
    let known = worker != Demand::default();
    if !known {
        return u64::from(demand != Demand::default());
    }
    // An accelerator that no worker has can't be had by more workers like them.
    let accelerators = if worker.accelerators == 0 {
        0
    } else {
        of(demand.accelerators, worker.accelerators)
    };
    of(demand.cpu, worker.cpu)
        .max(of(demand.memory, worker.memory))
        .max(accelerators)
}

/// Workers that the widest step needs whose tasks must be spread.
fn spread(cell: &Cell) -> u64 {
    let jobs = cell
        .jobs
        .values()
        .filter(|job| !job.progress.state.is_final());
    let begun = jobs.filter(|job| !job.progress.steps.is_empty());
    let steps = begun.flat_map(|job| &job.accepted.job.steps);
    let spread = steps.filter(|step| step.most_per_worker > 0);
    let widths = spread.map(|step| u64::from(step.count).div_ceil(u64::from(step.most_per_worker)));
    widths.max().unwrap_or(0)
}

/// Workers that the pool needs where tasks of a spread step wait and none of the open workers can take them, whatever room they have.
fn crowded(cell: &Cell, now: Millis) -> u64 {
    if cell.crowded == 0 {
        return 0;
    }
    let open = cell.workers.values();
    let open = open.filter(|worker| worker.is_open(now, &cell.limits));
    open.count() as u64 + cell.crowded
}

/// A worker that is counted as the pool's and takes nothing: it has gone silent, is shunned, or is
/// emptied for its maintenance, when its lasting tasks need room elsewhere. One that was never looked at
/// has just come, and one that is emptied for a move is on its way out.
fn is_unfit(cell: &Cell, worker: &Worker, now: Millis) -> bool {
    if !worker.registered || worker.is_gone() {
        return false;
    }
    match worker.emptying {
        Some(Purpose::Maintenance) => true,
        Some(Purpose::Move) => false,
        None => {
            let silent = worker.looked_at.is_some() && !worker.is_fresh(now, &cell.limits);
            silent || now < worker.shunned_until
        }
    }
}
