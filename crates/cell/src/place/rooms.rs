//! Free capacity of the workers that accept new runs.

use crate::{cell::Cell, crash, limits::Millis, worker::Worker};
use primroseroute_domain::work::{Demand, Name, TaskId};
use std::collections::BTreeSet;

/// A worker that accepts new runs.
#[derive(Debug)]
struct Open {
    id: Name,
    free: Demand,
    /// Whether it is reserved, for a long-running task that can't be placed yet or for an isolated
    /// run.
    kept: bool,
    /// Number of its new runs whose tasks have crashes.
    returned: usize,
}

/// Number of new runs on a worker whose tasks have crashes.
fn returned(cell: &Cell, worker: &Worker) -> usize {
    if cell.crashed.is_empty() {
        return 0;
    }
    let runs = worker.runs.iter();
    let returned = runs.filter(|(task, run)| {
        worker.is_new(run, cell.limits.settle) && crash::has_crashed(cell, task)
    });
    returned.count()
}

/// The workers that accept new runs, indexed by free processor share.
///
/// A busy pool starts hundreds of tasks per round on hundreds of workers: the search starts at the
/// least free capacity that fits, instead of scanning all workers for each task.
#[derive(Debug)]
pub(super) struct Rooms {
    /// In the order of their ids.
    open: Vec<Open>,
    /// Free processor share, and index in `open`.
    by_cpu: BTreeSet<(u64, usize)>,
    /// Number of workers that accept nothing while an isolated run is under way there.
    on_trial: usize,
    /// Whether some task is a suspect.
    has_suspects: bool,
}

impl Rooms {
    pub(super) fn of(cell: &Cell, now: Millis) -> Self {
        let open = cell.workers.iter();
        let open = open.filter(|(_id, worker)| worker.is_open(now, &cell.limits));
        let (on_trial, open): (Vec<_>, Vec<_>) =
            open.partition(|(_id, worker)| crash::has_trial(cell, worker));
        let open: Vec<Open> = open
            .into_iter()
            .map(|(id, worker)| Open {
                id: Name::clone(id),
                free: worker.room(),
                kept: cell.reserved.contains(id),
                returned: returned(cell, worker),
            })
            .collect();
        let by_cpu = open.iter().enumerate();
        let by_cpu = by_cpu.map(|(place, open)| (open.free.cpu, place));
        Self {
            by_cpu: by_cpu.collect(),
            open,
            on_trial: on_trial.len(),
            has_suspects: crash::has_suspects(cell),
        }
    }

    /// Whether no worker has any free processor share.
    pub(super) fn is_full(&self) -> bool {
        self.by_cpu.last().is_none_or(|(cpu, _place)| *cpu == 0)
    }

    /// Indexes of the workers with free capacity for `demand`, least free processor share first,
    /// then in the order of their ids.
    pub(super) fn fitting(&self, demand: Demand) -> impl Iterator<Item = usize> {
        let wide = self.by_cpu.range((demand.cpu, 0)..);
        let places = wide.map(|(_cpu, place)| *place);
        places.filter(move |place| demand.fits(self.open[*place].free))
    }

    /// All indexes.
    pub(super) fn places(&self) -> impl Iterator<Item = usize> {
        0..self.open.len()
    }

    /// Indexes of all workers that aren't reserved.
    pub(super) fn unkept(&self) -> impl Iterator<Item = usize> {
        let numbered = self.open.iter().enumerate();
        let unkept = numbered.filter(|(_place, open)| !open.kept);
        unkept.map(|(place, _open)| place)
    }

    pub(super) fn id(&self, place: usize) -> &Name {
        &self.open[place].id
    }

    pub(super) fn free(&self, place: usize) -> Demand {
        self.open[place].free
    }

    pub(super) fn is_kept(&self, place: usize) -> bool {
        self.open[place].kept
    }

    /// Reserves a worker.
    pub(super) fn keep(&mut self, place: usize) {
        self.open[place].kept = true;
    }

    /// Number of new runs on a worker whose tasks have crashes.
    pub(super) fn returned(&self, place: usize) -> usize {
        self.open[place].returned
    }

    /// Counts one more such run.
    pub(super) fn add_returned(&mut self, place: usize) {
        self.open[place].returned += 1;
    }

    /// Number of workers that accept nothing while an isolated run is under way there.
    pub(super) fn on_trial(&self) -> usize {
        self.on_trial
    }

    /// Whether a task is to be run isolated.
    ///
    /// While some task is a suspect, a task with a single crash is kept apart from those without: a
    /// second crash would be attributed to all of them, and would take down a worker that is full
    /// of them. Without suspects a crash most likely had another cause, and the tasks it
    /// interrupted start again at once.
    pub(super) fn needs_trial(&self, cell: &Cell, task: &TaskId) -> bool {
        crash::is_suspect(cell, task) || (self.has_suspects && crash::can_be_tried(cell, task))
    }

    pub(super) fn take(&mut self, place: usize, demand: Demand) {
        let free = self.free(place).minus(demand);
        self.set(place, free);
    }

    pub(super) fn give_back(&mut self, place: usize, demand: Demand) {
        let free = self.free(place).plus(demand);
        self.set(place, free);
    }

    fn set(&mut self, place: usize, free: Demand) {
        let open = &mut self.open[place];
        self.by_cpu.remove(&(open.free.cpu, place));
        open.free = free;
        self.by_cpu.insert((free.cpu, place));
    }
}
