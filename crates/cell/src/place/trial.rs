//! Trials of tasks that may crash their workers.
//!
//! A worker is *reserved* for trials before one can begin: short tasks start there all the time, and what is new beside a suspect
//! could be what crashes the worker. Reserved workers get no other short tasks; a trial begins once all runs there have shown
//! that their worker survives them. A suspect is tried alone. Tasks with a single crash share a trial, a few at a time.

use super::{
    allows_apart_from_policy,
    room::could_hold,
    rooms::Rooms,
    start,
    turn::{Waiting, task_id, waiting_tasks},
};
use crate::{advice, cell::Cell, crash, limits::Millis, order::Order, worker::Origin};
use primroseroute_domain::work::{Name, Step, TaskId};
use std::collections::BTreeMap;

/// Part of the workers that trials may keep from other tasks: one in this many. More are where none of them may run a task, and
/// where nothing else waits for them.
const PART: usize = 4;

/// Age up to which a look shows that a worker answers.
const RECENT: Millis = 200;

/// How long an answer counts that a trial has asked for: a round may have to wait for the store.
const ASKED: Millis = 1_000;

/// A worker that is kept for a trial.
#[derive(Debug)]
struct Claim {
    /// Number of tasks that are tried there, or wait for it.
    tasks: usize,
    /// Most of them.
    most: usize,
    /// Whether the trial has begun in this round.
    begun: bool,
}

/// The trials of one round.
#[derive(Debug)]
pub(super) struct Trials {
    /// Tasks that wait for a trial and have no claim, the most urgent first.
    due: Vec<TaskId>,
    claims: BTreeMap<usize, Claim>,
}

impl Trials {
    /// Trials of the `waiting` tasks that need one.
    pub(super) fn of(cell: &Cell, rooms: &Rooms, waiting: &[Waiting]) -> Self {
        Self {
            due: due(cell, rooms, waiting),
            claims: BTreeMap::new(),
        }
    }

    /// Starts tasks, and reserves workers for those that have to wait. Comes before other short tasks.
    pub(super) fn run(&mut self, cell: &mut Cell, rooms: &mut Rooms, now: Millis) -> Vec<Order> {
        let mut orders = Vec::new();
        for task in std::mem::take(&mut self.due) {
            let Some(step) = cell.step(&task).cloned() else {
                continue;
            };
            let joined = self.join(cell, rooms, &task, &step);
            match joined.or_else(|| self.claim(cell, rooms, &task, &step)) {
                Some(place) => orders.extend(self.begin(cell, rooms, place, &task, &step, now)),
                None => self.due.push(task),
            }
        }
        let reserved = self.claims.keys();
        cell.reserved = reserved
            .map(|&place| Name::clone(rooms.id(place)))
            .collect();
        orders
    }

    /// Starts more tasks on workers that other short tasks have left without new runs.
    pub(super) fn run_idle(
        &mut self,
        cell: &mut Cell,
        rooms: &mut Rooms,
        now: Millis,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        for task in std::mem::take(&mut self.due) {
            let Some(step) = cell.step(&task).cloned() else {
                continue;
            };
            let joined = self.join(cell, rooms, &task, &step);
            if let Some(place) = joined.or_else(|| idle(cell, rooms, &task, &step)) {
                orders.extend(self.begin(cell, rooms, place, &task, &step, now));
            }
        }
        orders
    }

    /// Starts a task in a place that is ready for it, or lets it wait there.
    fn begin(
        &mut self,
        cell: &mut Cell,
        rooms: &mut Rooms,
        place: usize,
        task: &TaskId,
        step: &Step,
        now: Millis,
    ) -> Option<Order> {
        rooms.keep(place);
        let claim = self.claims.entry(place).or_insert(Claim {
            tasks: 0,
            most: crash::most_tried_together(cell, task),
            begun: false,
        });
        claim.tasks += 1;
        let worker = Name::clone(rooms.id(place));
        claim.begun |= is_ready(cell, rooms, place, step) && answers(cell, &worker, now);
        if !claim.begun {
            return None;
        }
        rooms.take(place, step.reserved());
        let order = start(cell, &worker, task.clone(), step, None);
        let run = cell.workers.get_mut(&worker)?.runs.get_mut(task)?;
        run.origin = Origin::Tried;
        order
    }

    /// A claimed place that a task can share.
    fn join(&self, cell: &Cell, rooms: &Rooms, task: &TaskId, step: &Step) -> Option<usize> {
        let most = crash::most_tried_together(cell, task);
        let mut shared = self
            .claims
            .iter()
            .filter(|(_place, claim)| claim.most == most && claim.tasks < claim.most);
        let found = shared.find(|&(&place, claim)| {
            let has_room = if claim.begun {
                step.reserved().fits(rooms.free(place))
            } else {
                could_hold(&cell.workers[rooms.id(place)], step)
            };
            has_room && may_run(cell, rooms, place, task, step)
        });
        found.map(|(&place, _claim)| place)
    }

    /// The place in which a task is to be tried, or has to wait for its trial.
    fn claim(&self, cell: &Cell, rooms: &Rooms, task: &TaskId, step: &Step) -> Option<usize> {
        let able = rooms.places().filter(|&place| {
            could_hold(&cell.workers[rooms.id(place)], step)
                && may_run(cell, rooms, place, task, step)
        });
        let able: Vec<usize> = able.collect();
        let is_claimed = |place: &usize| self.claims.contains_key(place);
        let is_reserved =
            |place: &usize| is_claimed(place) || cell.reserved.contains(rooms.id(*place));
        let (reserved, others): (Vec<usize>, Vec<usize>) = able.into_iter().partition(is_reserved);
        let unclaimed = || reserved.iter().copied().filter(|place| !is_claimed(place));
        let ready = unclaimed().find(|&place| is_ready(cell, rooms, place, step));
        if let Some(place) = ready.or_else(|| unclaimed().next()) {
            return Some(place);
        }
        let held = rooms.on_trial() + rooms.places().filter(is_reserved).count();
        let all = rooms.on_trial() + rooms.places().count();
        if held >= all.div_ceil(PART) && !reserved.is_empty() {
            return None;
        }
        others.into_iter().max_by_key(|&place| {
            let mut runs = cell.workers[rooms.id(place)].runs.values();
            let is_ready = is_ready(cell, rooms, place, step);
            // A crash costs least where nothing lasts and little runs.
            (
                !runs.any(|run| run.lasting),
                is_ready,
                rooms.free(place).cpu,
            )
        })
    }
}

/// A place that nothing is kept for, and where a trial can begin at once.
fn idle(cell: &Cell, rooms: &Rooms, task: &TaskId, step: &Step) -> Option<usize> {
    let mut idle = rooms.unkept().filter(|&place| {
        is_ready(cell, rooms, place, step) && may_run(cell, rooms, place, task, step)
    });
    idle.next()
}

/// Tasks that need a trial and wait, and whose turn has come.
fn due(cell: &Cell, rooms: &Rooms, waiting: &[Waiting]) -> Vec<TaskId> {
    if cell.crashed.is_empty() {
        return Vec::new();
    }
    let tasks = waiting.iter().filter_map(|waiting| {
        let job = cell.jobs.get(&waiting.job)?;
        let tasks = waiting_tasks(job, waiting.occurrence, waiting.step);
        Some(tasks.map(|index| task_id(waiting, index)))
    });
    tasks
        .flatten()
        .filter(|task| rooms.needs_trial(cell, task))
        .collect()
}

/// Whether a worker may run a task, room aside.
fn may_run(cell: &Cell, rooms: &Rooms, place: usize, task: &TaskId, step: &Step) -> bool {
    let id = rooms.id(place);
    allows_apart_from_policy(&cell.workers[id], task, step, 0) && advice::allows(cell, task, id)
}

/// Whether a worker has answered just now; one that hasn't is asked.
///
/// A worker that has died by itself looks as it did in its last look, up to a second ago. A trial that begins on it would be held
/// against a task whose start never reached anybody.
fn answers(cell: &mut Cell, id: &Name, now: Millis) -> bool {
    let Some(worker) = cell.workers.get_mut(id) else {
        return false;
    };
    let shown_by = |age: Millis| worker.shown_at.is_some_and(|at| now <= at + age);
    let answered = worker.asked_at.is_some() && worker.shown_at >= worker.asked_at;
    if shown_by(RECENT) || (answered && shown_by(ASKED)) {
        worker.asked_at = None;
        return true;
    }
    if worker.asked_at.is_none_or(|at| now >= at + RECENT) {
        worker.asked_at = Some(now);
        cell.asked.push(Name::clone(id));
    }
    false
}

/// Whether a task can be started in a place now, and be tried apart from others.
fn is_ready(cell: &Cell, rooms: &Rooms, place: usize, step: &Step) -> bool {
    let worker = &cell.workers[rooms.id(place)];
    let mut runs = worker.runs.values();
    step.reserved().fits(rooms.free(place))
        && !runs.any(|run| worker.is_new(run, cell.limits.settle))
}
