//! Isolated runs of tasks that may crash their workers.
//!
//! A worker is *reserved* for isolated runs before one can begin: batch tasks start there all the
//! time, and a new run beside a suspect could be what crashes the worker. Reserved workers get no
//! other batch tasks; an isolated run begins once all runs there have shown that their worker
//! survives them. A suspect runs alone. Tasks with a single crash run in small groups.

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

/// Isolated runs may reserve one in this many workers. They may reserve more if none of these may
/// run a task, or if no other task waits for them.
const PART: usize = 4;

/// Age up to which a status shows that a worker responds.
const RECENT: Millis = 200;

/// Age up to which a status that was requested for an isolated run is used: a round may have to
/// wait for the store.
const ASKED: Millis = 1_000;

/// A worker that is reserved for an isolated run.
#[derive(Debug)]
struct Claim {
    /// Number of tasks that run isolated there, or wait for it.
    tasks: usize,
    /// Maximum number of them.
    most: usize,
    /// Whether the isolated run has begun in this round.
    begun: bool,
}

/// The isolated runs of one round.
#[derive(Debug)]
pub(super) struct Trials {
    /// Tasks that wait for an isolated run and have no worker reserved, the most urgent first.
    due: Vec<TaskId>,
    claims: BTreeMap<usize, Claim>,
}

impl Trials {
    /// The `waiting` tasks that need an isolated run.
    pub(super) fn of(cell: &Cell, rooms: &Rooms, waiting: &[Waiting]) -> Self {
        Self {
            due: due(cell, rooms, waiting),
            claims: BTreeMap::new(),
        }
    }

    /// Starts tasks, and reserves workers for those that have to wait. Runs before other batch
    /// tasks are placed.
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

    /// Starts more tasks on workers that still have no new runs after other batch tasks were
    /// placed.
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

    /// Starts a task on a worker that is ready for it, or lets it wait there.
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

    /// A reserved worker that a task can share.
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

    /// The worker on which a task is to run isolated, or has to wait for that.
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
            // A crash does least damage on a worker without long-running tasks and with few runs.
            (
                !runs.any(|run| run.lasting),
                is_ready,
                rooms.free(place).cpu,
            )
        })
    }
}

/// An unreserved worker on which an isolated run can begin at once.
fn idle(cell: &Cell, rooms: &Rooms, task: &TaskId, step: &Step) -> Option<usize> {
    let mut idle = rooms.unkept().filter(|&place| {
        is_ready(cell, rooms, place, step) && may_run(cell, rooms, place, task, step)
    });
    idle.next()
}

/// Waiting tasks that need an isolated run and whose dependencies are done.
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

/// Whether a worker may run a task, regardless of free capacity.
fn may_run(cell: &Cell, rooms: &Rooms, place: usize, task: &TaskId, step: &Step) -> bool {
    let id = rooms.id(place);
    allows_apart_from_policy(&cell.workers[id], task, step, 0) && advice::allows(cell, task, id)
}

/// Whether a worker has answered a moment ago; one that hasn't is polled.
///
/// A worker that has died for another reason still looks as in its last status, which may be a
/// second old. The loss of an isolated run that begins on it would be attributed to a task whose
/// start never arrived.
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

/// Whether a task can be started on a worker now and run isolated there.
fn is_ready(cell: &Cell, rooms: &Rooms, place: usize, step: &Step) -> bool {
    let worker = &cell.workers[rooms.id(place)];
    let mut runs = worker.runs.values();
    step.reserved().fits(rooms.free(place))
        && !runs.any(|run| worker.is_new(run, cell.limits.settle))
}
