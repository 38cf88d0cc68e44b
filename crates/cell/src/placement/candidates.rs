//! Free capacity of the workers that accept new runs.

use crate::{cell::Cell, crash, limits::Millis, worker::Worker};
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
}

impl Candidates {
    pub(super) fn of(cell: &Cell, now: Millis) -> Self {
        let workers = cell.workers.iter();
        let workers = workers.filter(|(_id, worker)| worker.accepts_runs(now, &cell.limits));
        let (isolating, workers): (Vec<_>, Vec<_>) =
            workers.partition(|(_id, worker)| crash::has_isolated_run(cell, worker));
        let workers: Vec<Candidate> = workers
            .into_iter()
            .map(|(id, worker)| Candidate {
                id: Name::clone(id),
                free: worker.free_capacity(),
                blocked: cell.isolation_workers.contains(id),
                crash_retries: crash_retries(cell, worker),
            })
            .collect();
        let by_cpu = workers.iter().enumerate();
        let by_cpu = by_cpu.map(|(candidate, worker)| (worker.free.cpu, candidate));
        Self {
            by_cpu: by_cpu.collect(),
            workers,
            isolating: isolating.len(),
            has_suspects: crash::has_suspects(cell),
        }
    }

    /// Whether no worker has any free processor share.
    pub(super) fn is_full(&self) -> bool {
        self.by_cpu.last().is_none_or(|(cpu, _index)| *cpu == 0)
    }

    /// Indexes of the workers with free capacity for `demand`, least free processor share first,
    /// then in the order of their ids.
    pub(super) fn fitting(&self, demand: Demand) -> impl Iterator<Item = usize> {
        let wide = self.by_cpu.range((demand.cpu, 0)..);
        let fitting = wide.map(|(_cpu, candidate)| *candidate);
        fitting.filter(move |candidate| demand.fits(self.workers[*candidate].free))
    }

    /// All indexes.
    pub(super) fn all(&self) -> impl Iterator<Item = usize> {
        0..self.workers.len()
    }

    /// Indexes of all workers that aren't reserved.
    pub(super) fn unblocked(&self) -> impl Iterator<Item = usize> {
        let numbered = self.workers.iter().enumerate();
        let unblocked = numbered.filter(|(_index, worker)| !worker.blocked);
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
    }

    pub(super) fn release(&mut self, candidate: usize, demand: Demand) {
        let free = self.free(candidate).plus(demand);
        self.set(candidate, free);
    }

    fn set(&mut self, candidate: usize, free: Demand) {
        let worker = &mut self.workers[candidate];
        self.by_cpu.remove(&(worker.free.cpu, candidate));
        worker.free = free;
        self.by_cpu.insert((free.cpu, candidate));
    }
}
