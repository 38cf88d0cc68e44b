//! Trials of tasks that may crash their workers.
//!
//! A worker is *reserved* for trials before one can begin: short tasks start there all the time, and what is new beside a suspect
//! could be what crashes the worker. Reserved workers get no other short tasks; a trial begins once all runs there have shown
//! that their worker survives them.

use super::{allows_apart_from_policy, room::could_hold, rooms::Rooms, start};
use crate::{advice, cell::Cell, crash, limits::Millis, order::Order, row::Phase};
use primroseroute_domain::work::{Name, Step, TaskId};
use std::collections::BTreeSet;

/// Part of the open workers that may be reserved: one in this many. More are where none of them may run a suspect.
const PART: usize = 4;

/// Age up to which a look shows that a worker answers.
const RECENT: Millis = 200;

/// How long an answer counts that a trial has asked for: a round may have to wait for the store.
const ASKED: Millis = 1_000;

/// Starts suspects whose turn has come, and reserves workers for those that have to wait.
pub(super) fn run(cell: &mut Cell, rooms: &mut Rooms, now: Millis) -> Vec<Order> {
    let mut orders = Vec::new();
    let mut claimed = BTreeSet::new();
    for task in due(cell) {
        let Some(step) = cell.step(&task).cloned() else {
            continue;
        };
        let Some(place) = claim(cell, rooms, &claimed, &task, &step) else {
            continue;
        };
        claimed.insert(place);
        rooms.keep(place);
        if is_ready(cell, rooms, place, &step) && answers(cell, rooms.id(place), now) {
            orders.extend(start(cell, rooms.id(place), task, &step, None));
            rooms.close(place);
        }
    }
    let reserved = claimed
        .into_iter()
        .map(|place| Name::clone(rooms.id(place)));
    cell.reserved = reserved.collect();
    orders
}

/// Suspects that wait, and whose turn has come.
fn due(cell: &Cell) -> Vec<TaskId> {
    let suspects = cell.crashed.keys();
    let due = suspects.filter(|task| {
        let job = cell.jobs.get(&task.job);
        crash::is_suspect(cell, task)
            && job.is_some_and(|job| {
                let waits = job
                    .task(task)
                    .is_some_and(|task| task.phase == Phase::Waiting && !crash::is_given_up(task));
                waits && job.ready(task.occurrence).contains(&task.step)
            })
    });
    due.cloned().collect()
}

/// The place in which a suspect is to be tried, or has to wait for its trial.
fn claim(
    cell: &Cell,
    rooms: &Rooms,
    claimed: &BTreeSet<usize>,
    task: &TaskId,
    step: &Step,
) -> Option<usize> {
    let able = rooms.places().filter(|&place| {
        let id = rooms.id(place);
        let worker = &cell.workers[id];
        allows_apart_from_policy(worker, task, step, 0)
            && advice::allows(cell, task, id)
            && could_hold(worker, step)
    });
    let able: Vec<usize> = able.collect();
    let is_reserved =
        |place: &usize| claimed.contains(place) || cell.reserved.contains(rooms.id(*place));
    let (reserved, others): (Vec<usize>, Vec<usize>) = able.into_iter().partition(is_reserved);
    let unclaimed = || {
        reserved
            .iter()
            .copied()
            .filter(|place| !claimed.contains(place))
    };
    let ready = unclaimed().find(|&place| is_ready(cell, rooms, place, step));
    if let Some(place) = ready.or_else(|| unclaimed().next()) {
        return Some(place);
    }
    let held = rooms.places().filter(is_reserved).count();
    if held >= rooms.places().count().div_ceil(PART) && !reserved.is_empty() {
        return None;
    }
    // A crash costs least there.
    others.into_iter().max_by_key(|&place| {
        let lasting = cell.workers[rooms.id(place)].runs.values();
        let lasting = lasting.filter(|run| run.lasting).count();
        (lasting == 0, rooms.free(place).cpu)
    })
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

/// Whether a suspect can be started in a place now, and be tried apart from others.
fn is_ready(cell: &Cell, rooms: &Rooms, place: usize, step: &Step) -> bool {
    let worker = &cell.workers[rooms.id(place)];
    let mut runs = worker.runs.values();
    step.reserved().fits(rooms.free(place))
        && !runs.any(|run| worker.is_new(run, cell.limits.settle))
}
