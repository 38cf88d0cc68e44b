//! Which waiting task starts next, and where.

mod room;
mod turn;

pub(crate) use turn::{Waiting, is_past, sorted, still_waiting};

use crate::{
    advice,
    cell::Cell,
    limits::Millis,
    order::Order,
    row::Phase,
    worker::{Known, Run, Stop, Worker},
};
use primroseroute_domain::work::{Demand, Name, State, Step, TaskId};
use room::make_room;
use std::collections::{BTreeMap, BTreeSet};
use turn::{Class, task_id, waiting_tasks};

/// What is free on the workers that take something new.
type Rooms = BTreeMap<Name, Demand>;

/// Places what fits of `waiting`, in its order; gives out the starts.
pub(crate) fn run(cell: &mut Cell, waiting: &[Waiting], now: Millis) -> Vec<Order> {
    if !cell.may_start(now) {
        return Vec::new();
    }
    let mut rooms = rooms(cell, now);
    // Workers whose free room is kept for a lasting task that fits nowhere yet.
    let mut kept: BTreeSet<Name> = BTreeSet::new();
    let mut full = Full::default();
    let mut orders = Vec::new();
    for waiting in waiting {
        let lasting = waiting.class == Class::Lasting;
        if !lasting && full.rules_out(cell, waiting) {
            continue;
        }
        if !lasting && rooms.values().all(|room| room.cpu == 0) {
            break;
        }
        let placed = place_step(cell, waiting, &mut rooms, &kept, &mut orders);
        if lasting && !placed {
            make_room(cell, waiting, &rooms, &mut kept, now);
        } else if !placed {
            full.record(cell, waiting);
        }
    }
    orders
}

/// Demands for which no worker had room in this round. Room only shrinks during a round, so what asks
/// for as much or more needn't be tried: under overload that is nearly all that waits, and trying
/// each task at each worker took 17 ms of 2,000 tasks and 1,200 workers.
#[derive(Default)]
struct Full(Vec<Demand>);

impl Full {
    fn rules_out(&self, cell: &Cell, waiting: &Waiting) -> bool {
        let job = cell.jobs.get(&waiting.job);
        let step = job.and_then(|job| job.step(waiting.step));
        step.is_some_and(|step| self.0.iter().any(|least| least.fits(step.reserved())))
    }

    /// Takes in that a task of the step found no room. A step with wishes of its own may have failed
    /// for those, which says nothing of others.
    fn record(&mut self, cell: &Cell, waiting: &Waiting) {
        let job = cell.jobs.get(&waiting.job);
        let Some(step) = job.and_then(|job| job.step(waiting.step)) else {
            return;
        };
        let advised = job.is_some_and(|job| cell.advised.contains(&job.accepted.queue));
        let plain = step.label.is_none() && step.most_per_worker == 0 && !step.gang && !advised;
        // A worker that still stops an earlier run of the same task is no place for that task alone.
        let stopping = job.is_some_and(|job| {
            let mut tasks = waiting_tasks(job, waiting.occurrence, waiting.step);
            tasks.any(|index| may_run(cell, &task_id(waiting, index)))
        });
        if plain && !stopping {
            self.0.push(step.reserved());
        }
    }
}

fn rooms(cell: &Cell, now: Millis) -> Rooms {
    let open = cell.workers.iter();
    let open = open.filter(|(_id, worker)| worker.is_open(now, &cell.limits));
    open.map(|(id, worker)| (Name::clone(id), worker.room()))
        .collect()
}

/// Places the waiting tasks of a step; whether all found room.
fn place_step(
    cell: &mut Cell,
    waiting: &Waiting,
    rooms: &mut Rooms,
    kept: &BTreeSet<Name>,
    orders: &mut Vec<Order>,
) -> bool {
    let Some(job) = cell.jobs.get(&waiting.job) else {
        return true;
    };
    let Some(step) = job.step(waiting.step).cloned() else {
        return true;
    };
    let indexes: Vec<u16> = waiting_tasks(job, waiting.occurrence, waiting.step).collect();
    if step.gang {
        return place_gang(cell, waiting, &step, &indexes, rooms, kept, orders);
    }
    for index in indexes {
        let task = task_id(waiting, index);
        let Some(worker) = choose(cell, &task, &step, rooms, kept, &BTreeMap::new()) else {
            return false;
        };
        take_room(rooms, &worker, &step);
        orders.extend(start(cell, &worker, task, &step, None));
    }
    true
}

fn take_room(rooms: &mut Rooms, worker: &Name, step: &Step) {
    if let Some(room) = rooms.get_mut(worker) {
        *room = room.minus(step.reserved());
    }
}

/// Places all members of a gang under one number of a run, or none.
fn place_gang(
    cell: &mut Cell,
    waiting: &Waiting,
    step: &Step,
    indexes: &[u16],
    rooms: &mut Rooms,
    kept: &BTreeSet<Name>,
    orders: &mut Vec<Order>,
) -> bool {
    let Some(job) = cell.jobs.get(&waiting.job) else {
        return true;
    };
    if indexes.len() < usize::from(step.count) {
        // Members of the last run may still be there: they end as broken or alone first.
        return true;
    }
    let members = indexes.iter().map(|&index| task_id(waiting, index));
    let members: Vec<TaskId> = members.collect();
    if members.iter().any(|task| may_run(cell, task)) {
        return true;
    }
    let known = members.iter().filter_map(|task| job.task(task));
    let run = known.clone().map(|task| task.run).max().unwrap_or(0) + 1;
    let checkpoint = known.filter_map(|task| task.checkpoint.clone()).next_back();
    let mut left = rooms.clone();
    let mut chosen: Vec<Name> = Vec::with_capacity(members.len());
    let mut extra: BTreeMap<Name, u16> = BTreeMap::new();
    for task in &members {
        let Some(worker) = choose(cell, task, step, &left, kept, &extra) else {
            return false;
        };
        take_room(&mut left, &worker, step);
        *extra.entry(Name::clone(&worker)).or_default() += 1;
        chosen.push(worker);
    }
    *rooms = left;
    for (task, worker) in members.into_iter().zip(chosen) {
        let given = Some((run, checkpoint.clone()));
        orders.extend(start(cell, &worker, task, step, given));
    }
    true
}

fn may_run(cell: &Cell, task: &TaskId) -> bool {
    let mut workers = cell.workers.values();
    workers.any(|worker| worker.runs.contains_key(task))
}

/// The best worker with room for a task. `extra` counts tasks of the step that are about to be
/// placed on a worker.
fn choose(
    cell: &Cell,
    task: &TaskId,
    step: &Step,
    rooms: &Rooms,
    kept: &BTreeSet<Name>,
    extra: &BTreeMap<Name, u16>,
) -> Option<Name> {
    let fitting = rooms.iter().filter(|(id, room)| {
        let worker = &cell.workers[*id];
        step.reserved().fits(**room)
            && (step.lasting || !kept.contains(*id))
            && allows_apart_from_policy(worker, task, step, extra.get(*id).copied().unwrap_or(0))
            && advice::allows(cell, task, id)
    });
    let best = fitting.min_by_key(|(id, room)| {
        let worker = &cell.workers[*id];
        let far = step
            .rack
            .as_ref()
            .is_some_and(|rack| !worker.has_label(rack));
        let apart = step.same_rack && !shares_rack(cell, worker, task);
        let lasting = if step.lasting { lasting_on(worker) } else { 0 };
        let failed = usize::from(worker.failures.contains(&task.job));
        (far, apart, failed, lasting, room.cpu)
    });
    best.map(|(id, _room)| Name::clone(id))
}

/// Whether a worker may run a task at all, room and its queue's policy aside.
pub(crate) fn allows_apart_from_policy(
    worker: &Worker,
    task: &TaskId,
    step: &Step,
    extra: u16,
) -> bool {
    let labelled = step
        .label
        .as_ref()
        .is_none_or(|label| worker.has_label(label));
    let apart = step.most_per_worker == 0 || {
        let beside = worker.runs.keys().filter(|other| is_sibling(other, task));
        beside.count() + usize::from(extra) < usize::from(step.most_per_worker)
    };
    // A run of the same task that is still being stopped there would be taken for the new one.
    labelled && apart && !worker.runs.contains_key(task)
}

pub(crate) fn is_sibling(other: &TaskId, task: &TaskId) -> bool {
    other.job == task.job && other.occurrence == task.occurrence && other.step == task.step
}

fn lasting_on(worker: &Worker) -> usize {
    worker.runs.values().filter(|run| run.lasting).count()
}

/// Whether a sibling of `task` is on the same rack, or none is placed yet.
fn shares_rack(cell: &Cell, worker: &Worker, task: &TaskId) -> bool {
    let labels = |worker: &Worker| {
        let info = worker.info.as_ref();
        info.map(|info| info.labels.clone()).unwrap_or_default()
    };
    let own = labels(worker);
    let mut siblings = cell
        .workers
        .values()
        .filter(|other| other.runs.keys().any(|run| is_sibling(run, task)))
        .peekable();
    siblings.peek().is_none() || siblings.any(|other| labels(other) == own)
}

/// Whether some open worker has room for a lasting task that is to be moved.
pub(crate) fn has_room(cell: &Cell, task: &TaskId, now: Millis) -> bool {
    let Some(step) = cell.jobs.get(&task.job).and_then(|job| job.step(task.step)) else {
        return false;
    };
    let rooms = rooms(cell, now);
    let none = BTreeMap::new();
    choose(cell, task, step, &rooms, &BTreeSet::new(), &none).is_some()
}

/// Records the start of a run; the order goes out once it is committed.
fn start(
    cell: &mut Cell,
    worker: &Name,
    id: TaskId,
    step: &Step,
    gang: Option<(u32, Option<Name>)>,
) -> Option<Order> {
    let ticket = advice::ticket(cell, &id, worker);
    let job = cell.jobs.get_mut(&id.job)?;
    let payload = Name::clone(&job.accepted.job.payload);
    job.progress.state = State::Running;
    let task = job.task_mut(&id)?;
    let (run, checkpoint) = gang.unwrap_or_else(|| (task.run + 1, task.checkpoint.clone()));
    task.run = run;
    task.phase = Phase::Placed(Name::clone(worker));
    cell.dirty.insert(id.job.clone());
    cell.waiting.remove(&id);
    let entry = Run {
        run,
        reserved: step.reserved(),
        known: Known::Sent,
        sure_after: Millis::MAX,
        percent: 0,
        load: 0,
        stop: Stop::No,
        stop_left_at: None,
        stopped_at: None,
        pace: 100,
        lasting: step.lasting,
    };
    let found = cell.workers.get_mut(worker)?;
    found.runs.insert(id.clone(), entry);
    Some(Order::Start {
        worker: Name::clone(worker),
        task: id,
        run,
        payload,
        checkpoint,
        ticket,
    })
}
