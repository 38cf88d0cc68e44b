//! Free capacity of the workers that accept new runs.

use crate::{cell::Cell, crash, limits::Millis, speed::State, worker::Worker};
use primroseroute_domain::work::{Demand, Name, TaskId};
use std::collections::BTreeSet;

/// A worker that accepts new runs.
#[derive(Debug)]
struct Candidate {
    id: Name,
    free: Demand,
    /// Whether it is reserved, for a long-running task that can't be placed yet or for an isolated
    /// run.
    blocked: bool,
    /// Number of its new runs whose tasks have crashes.
    crash_retries: usize,
    /// Whether it is slow, and how many runs it may have.
    pace: Pace,
}

/// How a worker is used because of its observed speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pace {
    Normal,
    /// It gets one run that tells whether it is still slow.
    Probe,
    /// It gets a run only where no other worker may run the task.
    Slow,
}

impl Pace {
    fn of(worker: &Worker) -> Self {
        match worker.speed.state {
            State::Normal => Self::Normal,
            State::Probing(None) => Self::Probe,
            State::Probing(Some(_)) | State::Slow(..) => Self::Slow,
        }
    }
}

/// Number of new runs on a worker whose tasks have crashes.
fn crash_retries(cell: &Cell, worker: &Worker) -> usize {
    if cell.crashed.is_empty() {
        return 0;
    }
    let runs = worker.runs.iter();
    let crash_retries = runs.filter(|(task, run)| {
        worker.is_new(run, cell.limits.settle_time) && crash::has_crashes(cell, task)
    });
    crash_retries.count()
}

/// The workers that accept new runs, indexed by free processor share.
///
/// A busy pool starts hundreds of tasks per round on hundreds of workers: the search starts at the
/// least free capacity that fits, instead of scanning all workers for each task.
#[derive(Debug)]
pub(super) struct Candidates {
    /// In the order of their ids.
    workers: Vec<Candidate>,
    /// Free processor share, and index in `workers`.
    by_cpu: BTreeSet<(u64, usize)>,
    /// Number of workers that accept nothing while an isolated run is under way there.
    isolating: usize,
    /// Whether some task is a suspect.
    has_suspects: bool,
    /// Whether some workers are slow and others aren't.
    has_slow: bool,
}

impl Candidates {
    pub(super) fn of(cell: &Cell, now: Millis) -> Self {
        let workers = cell.workers.iter();
        let workers = workers.filter(|(_id, worker)| worker.accepts_runs(now, &cell.limits));
        let (isolating, workers): (Vec<_>, Vec<_>) =
            workers.partition(|(_id, worker)| crash::has_isolated_run(cell, worker));
        let mut workers: Vec<Candidate> = workers
            .into_iter()
            .map(|(id, worker)| Candidate {
                id: Name::clone(id),
                free: worker.free_capacity(),
                blocked: cell.isolation_workers.contains(id),
                crash_retries: crash_retries(cell, worker),
                pace: Pace::of(worker),
            })
            .collect();
        let is_slow = |worker: &Candidate| worker.pace == Pace::Slow;
        let has_slow = workers.iter().any(is_slow);
        let all_slow = workers.iter().all(is_slow);
        if all_slow {
            for worker in &mut workers {
                worker.pace = Pace::Normal;
            }
        }
        let by_cpu = workers.iter().enumerate();
        let by_cpu = by_cpu.filter(|(_index, worker)| worker.pace != Pace::Slow);
        let by_cpu = by_cpu.map(|(candidate, worker)| (worker.free.cpu, candidate));
        Self {
            by_cpu: by_cpu.collect(),
            workers,
            isolating: isolating.len(),
            has_suspects: crash::has_suspects(cell),
            has_slow: has_slow && !all_slow,
        }
    }

    /// Whether no worker has any free processor share.
    pub(super) fn is_full(&self) -> bool {
        !self.has_slow && self.by_cpu.last().is_none_or(|(cpu, _index)| *cpu == 0)
    }

    /// Indexes of the workers with free capacity for `demand`, least free processor share first,
    /// then in the order of their ids.
    pub(super) fn fitting(&self, demand: Demand) -> impl Iterator<Item = usize> {
        let wide = self.by_cpu.range((demand.cpu, 0)..);
        let fitting = wide.map(|(_cpu, candidate)| *candidate);
        fitting.filter(move |candidate| demand.fits(self.workers[*candidate].free))
    }

    /// Indexes of the slow workers with free capacity for `demand`.
    pub(super) fn slow_fitting(&self, demand: Demand) -> impl Iterator<Item = usize> {
        self.all().filter(move |&candidate| {
            self.is_slow(candidate) && demand.fits(self.workers[candidate].free)
        })
    }

    /// All indexes.
    pub(super) fn all(&self) -> impl Iterator<Item = usize> + use<> {
        0..self.workers.len()
    }

    /// Whether some workers are slow and others aren't.
    pub(super) fn has_slow(&self) -> bool {
        self.has_slow
    }

    /// Whether a worker is slow while others aren't.
    pub(super) fn is_slow(&self, candidate: usize) -> bool {
        self.workers[candidate].pace == Pace::Slow
    }

    /// Indexes of all workers that aren't reserved.
    pub(super) fn unblocked(&self) -> impl Iterator<Item = usize> {
        let numbered = self.workers.iter().enumerate();
        let unblocked =
            numbered.filter(|(_index, worker)| !worker.blocked && worker.pace != Pace::Slow);
        unblocked.map(|(candidate, _worker)| candidate)
    }

    pub(super) fn id(&self, candidate: usize) -> &Name {
        &self.workers[candidate].id
    }

    pub(super) fn free(&self, candidate: usize) -> Demand {
        self.workers[candidate].free
    }

    pub(super) fn is_blocked(&self, candidate: usize) -> bool {
        self.workers[candidate].blocked
    }

    /// Reserves a worker.
    pub(super) fn block(&mut self, candidate: usize) {
        self.workers[candidate].blocked = true;
    }

    /// Number of new runs on a worker whose tasks have crashes.
    pub(super) fn crash_retries(&self, candidate: usize) -> usize {
        self.workers[candidate].crash_retries
    }

    /// Counts one more such run.
    pub(super) fn add_crash_retry(&mut self, candidate: usize) {
        self.workers[candidate].crash_retries += 1;
    }

    /// Number of workers that accept nothing while an isolated run is under way there.
    pub(super) fn isolating(&self) -> usize {
        self.isolating
    }

    /// Whether a task is to be run isolated.
    ///
    /// While some task is a suspect, a task with a single crash is kept apart from those without: a
    /// second crash would be attributed to all of them, and would take down a worker that is full
    /// of them. Without suspects a crash most likely had another cause, and the tasks it
    /// interrupted start again at once.
    pub(super) fn needs_isolation(&self, cell: &Cell, task: &TaskId) -> bool {
        crash::is_suspect(cell, task) || (self.has_suspects && crash::can_be_isolated(cell, task))
    }

    pub(super) fn allocate(&mut self, candidate: usize, demand: Demand) {
        let free = self.free(candidate).minus(demand);
        self.set(candidate, free);
        let worker = &mut self.workers[candidate];
        if worker.pace == Pace::Probe {
            worker.pace = Pace::Slow;
            self.by_cpu.remove(&(free.cpu, candidate));
        }
    }

    pub(super) fn release(&mut self, candidate: usize, demand: Demand) {
        let free = self.free(candidate).plus(demand);
        self.set(candidate, free);
    }

    fn set(&mut self, candidate: usize, free: Demand) {
        let worker = &mut self.workers[candidate];
        self.by_cpu.remove(&(worker.free.cpu, candidate));
        worker.free = free;
        if worker.pace != Pace::Slow {
            self.by_cpu.insert((free.cpu, candidate));
        }
    }
}
