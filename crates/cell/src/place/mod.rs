//! Placement: which waiting task starts next, and on which worker.

mod room;
mod rooms;
mod trial;
mod turn;

pub(crate) use turn::{Waiting, is_past, sorted, still_waiting};

use crate::{
    advice,
    cell::Cell,
    crash,
    limits::Millis,
    order::Order,
    row::{Life, Phase},
    worker::{Run, Worker},
};
use primroseroute_domain::work::{Demand, Name, State, Step, TaskId};
use room::make_room;
use rooms::Rooms;
use std::collections::{BTreeMap, BTreeSet};
use trial::Trials;
use turn::{Class, task_id, waiting_tasks};

/// Places as many of the `waiting` steps as fit, in their order. Returns the starts.
pub(crate) fn run(cell: &mut Cell, waiting: &[Waiting], now: Millis) -> Vec<Order> {
    cell.crowded = 0;
    if !cell.may_start(now) {
        return Vec::new();
    }
    let mut rooms = Rooms::of(cell, now);
    let mut orders = Vec::new();
    let first_short = waiting.partition_point(|waiting| waiting.class == Class::Lasting);
    let (lasting, short) = waiting.split_at(first_short);
    for waiting in lasting {
        if !place_step(cell, waiting, &mut rooms, &mut orders) {
            make_room(cell, waiting, &mut rooms, now);
        }
    }
    let mut trials = Trials::of(cell, &rooms, waiting);
    orders.extend(trials.run(cell, &mut rooms, now));
    let mut full = Full::default();
    for waiting in short {
        if full.rules_out(cell, waiting) {
            continue;
        }
        if rooms.is_full() {
            break;
        }
        if !place_step(cell, waiting, &mut rooms, &mut orders) {
            full.record(cell, waiting);
        }
    }
    orders.extend(trials.run_idle(cell, &mut rooms, now));
    orders
}

/// Maximum number of new runs on one worker whose tasks have crashes. Tasks that were lost together
/// would otherwise meet again, and the one that crashes its worker would take all others with it a
/// second time.
const RETURNED: usize = 4;

/// Demands for which no worker had free capacity in this round. Free capacity only shrinks during a
/// round, so equal or larger demands needn't be tried: under overload that is nearly all that
/// waits.
#[derive(Default)]
struct Full(Vec<Demand>);

impl Full {
    fn rules_out(&self, cell: &Cell, waiting: &Waiting) -> bool {
        let job = cell.jobs.get(&waiting.job);
        let step = job.and_then(|job| job.step(waiting.step));
        step.is_some_and(|step| self.0.iter().any(|least| least.fits(step.reserved())))
    }

    /// Records that a task of the step couldn't be placed. A step with constraints of its own may
    /// have failed because of those, which says nothing of others.
    fn record(&mut self, cell: &Cell, waiting: &Waiting) {
        let job = cell.jobs.get(&waiting.job);
        let Some(step) = job.and_then(|job| job.step(waiting.step)) else {
            return;
        };
        let advised = job.is_some_and(|job| cell.advised.contains(&job.accepted.queue));
        let plain = step.label.is_none() && step.most_per_worker == 0 && !step.gang && !advised;
        // A worker that is still stopping an earlier run of a task is excluded for that task only,
        // and a worker with many new runs of tasks with crashes is excluded only for such tasks.
        let hindered = job.is_some_and(|job| {
            let mut tasks = waiting_tasks(job, waiting.occurrence, waiting.step);
            tasks.any(|index| {
                let task = task_id(waiting, index);
                crash::has_crashed(cell, &task) || may_run(cell, &task)
            })
        });
        if plain && !hindered {
            self.0.push(step.reserved());
        }
    }
}

/// Places the waiting tasks of a step. Returns whether all could be placed.
fn place_step(
    cell: &mut Cell,
    waiting: &Waiting,
    rooms: &mut Rooms,
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
        return place_gang(cell, waiting, &step, &indexes, rooms, orders);
    }
    let mut all_placed = true;
    for index in indexes {
        let task = task_id(waiting, index);
        if rooms.needs_trial(cell, &task) {
            continue;
        }
        let has_crashed = crash::has_crashed(cell, &task);
        let Some(place) = choose(cell, &task, &step, rooms, &BTreeMap::new()) else {
            all_placed = false;
            if has_crashed {
                continue;
            }
            break;
        };
        rooms.take(place, step.reserved());
        if has_crashed {
            rooms.add_returned(place);
        }
        orders.extend(start(cell, rooms.id(place), task, &step, None));
    }
    all_placed
}

/// Places all members of a gang with the same run number, or none.
fn place_gang(
    cell: &mut Cell,
    waiting: &Waiting,
    step: &Step,
    indexes: &[u16],
    rooms: &mut Rooms,
    orders: &mut Vec<Order>,
) -> bool {
    let Some(job) = cell.jobs.get(&waiting.job) else {
        return true;
    };
    if indexes.len() < usize::from(step.count) {
        // Members of the last run may still exist: they first end as broken or alone.
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
    let Some(chosen) = choose_gang(cell, &members, step, rooms) else {
        return false;
    };
    for (task, place) in members.into_iter().zip(chosen) {
        let given = Some((run, checkpoint.clone()));
        orders.extend(start(cell, rooms.id(place), task, step, given));
    }
    true
}

/// Reserves capacity for all members of a gang, or for none.
fn choose_gang(
    cell: &Cell,
    members: &[TaskId],
    step: &Step,
    rooms: &mut Rooms,
) -> Option<Vec<usize>> {
    let mut chosen: Vec<usize> = Vec::with_capacity(members.len());
    let mut extra: BTreeMap<usize, u16> = BTreeMap::new();
    for task in members {
        let Some(place) = choose(cell, task, step, rooms, &extra) else {
            for place in chosen {
                rooms.give_back(place, step.reserved());
            }
            return None;
        };
        rooms.take(place, step.reserved());
        *extra.entry(place).or_default() += 1;
        chosen.push(place);
    }
    Some(chosen)
}

fn may_run(cell: &Cell, task: &TaskId) -> bool {
    let mut workers = cell.workers.values();
    workers.any(|worker| worker.runs.contains_key(task))
}

/// The candidate on which a task is best placed. `extra` counts tasks of the step that are about to
/// be placed on a candidate.
fn choose(
    cell: &Cell,
    task: &TaskId,
    step: &Step,
    rooms: &Rooms,
    extra: &BTreeMap<usize, u16>,
) -> Option<usize> {
    let advised = advice::needs_ticket(cell, task);
    let has_crashed = crash::has_crashed(cell, task);
    let worker = |place: usize| &cell.workers[rooms.id(place)];
    let mut fitting = rooms.fitting(step.reserved()).filter(|&place| {
        let beside = extra.get(&place).copied().unwrap_or(0);
        (step.lasting || !rooms.is_kept(place))
            && allows_apart_from_policy(worker(place), task, step, beside)
            && (!advised || advice::ticket(cell, task, rooms.id(place)).is_some())
            && !(has_crashed && rooms.returned(place) >= RETURNED)
    });
    let has_failed = |place: usize| worker(place).failures.contains(&task.job);
    let is_plain = !step.lasting && !step.same_rack && step.rack.is_none();
    if is_plain {
        // Best fit: the least free capacity, on a worker without a failure of the job if possible.
        let mut failed = None;
        let sound = fitting.find(|&place| {
            let has_failed = has_failed(place);
            if has_failed {
                failed.get_or_insert(place);
            }
            !has_failed
        });
        return sound.or(failed);
    }
    let siblings = if step.same_rack {
        sibling_labels(cell, task)
    } else {
        Vec::new()
    };
    fitting.min_by_key(|&place| {
        let worker = worker(place);
        let far = step
            .rack
            .as_ref()
            .is_some_and(|rack| !worker.has_label(rack));
        let apart = !siblings.is_empty() && !siblings.contains(&labels(worker));
        let strained = step.lasting && is_strained(cell, worker);
        // Long-running tasks are packed together: a worker without any can move to another pool or
        // be switched off.
        let alone = step.lasting && lasting_on(worker) == 0;
        let free = rooms.free(place).cpu;
        (far, apart, has_failed(place), strained, alone, free)
    })
}

/// Share of its target, in percent, from which the tail latency of a long-running task keeps
/// further ones off its worker.
const STRAINED: u64 = 60;

/// Whether a long-running task on a worker comes near its response time target.
fn is_strained(cell: &Cell, worker: &Worker) -> bool {
    worker.runs.iter().any(|(task, run)| {
        let target = cell.step(task).map_or(0, |step| step.target_ms);
        run.lasting && target > 0 && run.load * 100 >= target * STRAINED
    })
}

/// Whether a worker may run a task, regardless of free capacity and of its queue's policy.
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
    // An earlier run of the same task that is still being stopped there would be taken for the new
    // one.
    labelled && apart && !worker.runs.contains_key(task)
}

pub(crate) fn is_sibling(other: &TaskId, task: &TaskId) -> bool {
    other.job == task.job && other.occurrence == task.occurrence && other.step == task.step
}

fn lasting_on(worker: &Worker) -> usize {
    worker.runs.values().filter(|run| run.lasting).count()
}

fn labels(worker: &Worker) -> Option<&BTreeSet<Name>> {
    worker.info.as_ref().map(|info| &info.labels)
}

/// Labels of the workers that run siblings of `task`.
fn sibling_labels<'a>(cell: &'a Cell, task: &TaskId) -> Vec<Option<&'a BTreeSet<Name>>> {
    let with = cell
        .workers
        .values()
        .filter(|worker| worker.runs.keys().any(|run| is_sibling(run, task)));
    with.map(labels).collect()
}

/// Whether an open worker has free capacity for a long-running task that is to be moved.
pub(crate) fn has_room(cell: &Cell, task: &TaskId, now: Millis) -> bool {
    let Some(step) = cell.step(task) else {
        return false;
    };
    let rooms = Rooms::of(cell, now);
    choose(cell, task, step, &rooms, &BTreeMap::new()).is_some()
}

/// Records the start of a run; the order is sent once it is committed.
fn start(
    cell: &mut Cell,
    worker: &Name,
    id: TaskId,
    step: &Step,
    gang: Option<(u32, Option<Name>)>,
) -> Option<Order> {
    let ticket = advice::ticket(cell, &id, worker);
    let born = cell.workers.get(worker).map_or(0, |worker| worker.born);
    let job = cell.jobs.get_mut(&id.job)?;
    let payload = Name::clone(&job.accepted.job.payload);
    job.progress.state = State::Running;
    let task = job.task_mut(&id)?;
    let (run, checkpoint) = gang.unwrap_or_else(|| (task.run + 1, task.checkpoint.clone()));
    task.run = run;
    task.phase = Phase::Placed(Name::clone(worker));
    task.life = (!task.crashed.is_empty()).then(|| Life::of(born));
    job.may_run_on |= run > 1 || step.gang;
    cell.dirty.insert(id.job.clone());
    cell.waiting.remove(&id);
    let entry = Run::new(run, step.reserved(), step.lasting);
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
