//! What is free on the workers that take something new.

use crate::{cell::Cell, crash, limits::Millis, worker::Worker};
use primroseroute_domain::work::{Demand, Name, TaskId};
use std::collections::BTreeSet;

/// A worker that takes something new.
#[derive(Debug)]
struct Open {
    id: Name,
    free: Demand,
    /// Whether its room is kept, for a lasting task that fits nowhere yet or for a trial.
    kept: bool,
    /// Number of its new runs whose tasks have lost workers by crashes.
    returned: usize,
}

/// Number of new runs on a worker whose tasks have lost workers by crashes.
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

/// The workers that take something new, by what is free of their processors.
///
/// A busy pool starts hundreds of tasks a round on hundreds of workers: what fits is looked for from the tightest room on, and
/// not among all workers for each task.
#[derive(Debug)]
pub(super) struct Rooms {
    /// In the order of their ids.
    open: Vec<Open>,
    /// Free processor share, and place in `open`.
    by_cpu: BTreeSet<(u64, usize)>,
    /// Number of workers that take nothing while a trial goes on there.
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

    /// Whether no processor share is free anywhere.
    pub(super) fn is_full(&self) -> bool {
        self.by_cpu.last().is_none_or(|(cpu, _place)| *cpu == 0)
    }

    /// Places of the workers with room for `demand`, the tightest first, and among equals in the order of their ids.
    pub(super) fn fitting(&self, demand: Demand) -> impl Iterator<Item = usize> {
        let wide = self.by_cpu.range((demand.cpu, 0)..);
        let places = wide.map(|(_cpu, place)| *place);
        places.filter(move |place| demand.fits(self.open[*place].free))
    }

    /// All places.
    pub(super) fn places(&self) -> impl Iterator<Item = usize> {
        0..self.open.len()
    }

    /// Places of all workers that aren't kept.
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

    /// Keeps the room of a worker for a lasting task.
    pub(super) fn keep(&mut self, place: usize) {
        self.open[place].kept = true;
    }

    /// Number of new runs in a place whose tasks have lost workers by crashes.
    pub(super) fn returned(&self, place: usize) -> usize {
        self.open[place].returned
    }

    /// Counts one more of them.
    pub(super) fn add_returned(&mut self, place: usize) {
        self.open[place].returned += 1;
    }

    /// Number of workers that take nothing while a trial goes on there.
    pub(super) fn on_trial(&self) -> usize {
        self.on_trial
    }

    /// Whether a task is to be started apart from others.
    ///
    /// Where some task is a suspect, a task with a single crash is kept from those without: a second crash would hold them all for
    /// possible causes, and take down a worker that is full of them. Without suspects a crash most likely had another cause, and
    /// what it has interrupted goes on at once.
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
