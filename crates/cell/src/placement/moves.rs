//! Moves of batch runs off slow workers.
//!
//! A run is stopped where starting it again elsewhere is certainly faster. Its task waits again
//! when its worker has reported the end of the run, so two runs of one task never overlap.

use super::{candidates::Candidates, choose};
use crate::{
    cell::Cell,
    crash,
    limits::Millis,
    migration,
    speed::{NORMAL, State},
    straggler::MovedRun,
    worker::{Origin, StartState, StopState, Worker},
};
use primroseroute_domain::work::{Name, TaskId};
use std::collections::BTreeMap;

/// Least time that a move has to gain: a stop and a new start take up to 400 ms.
const MIN_GAIN_MS: Millis = 500;

/// Time within which a task isn't moved again.
const MOVE_INTERVAL_MS: Millis = 10_000;

/// One in this many batch runs of a pool may be on the move; at least one may.
const RUNS_PER_MOVE: usize = 10;

/// A task that was moved.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Move {
    at: Millis,
    /// The run that was stopped.
    run: u32,
}

/// Requests the stops of runs that are to be moved, those that gain most first. Runs after the
/// waiting tasks are placed, so that only capacity that is left to them counts.
pub(crate) fn run(cell: &mut Cell, now: Millis) -> Vec<MovedRun> {
    cell.moves
        .retain(|_task, moved| now < moved.at + MOVE_INTERVAL_MS);
    let is_slow = |worker: &Worker| matches!(worker.speed.state, State::Slow(..));
    if !cell.workers.values().any(is_slow) || !cell.may_start(now) {
        return Vec::new();
    }
    let slow = cell.workers.iter().filter(|(_id, worker)| is_slow(worker));
    let mut worthwhile: Vec<MovedRun> = slow
        .flat_map(|(id, worker)| worthwhile_on(cell, id, worker))
        .collect();
    if worthwhile.is_empty() {
        return worthwhile;
    }
    let runs = cell
        .workers
        .values()
        .flat_map(|worker| worker.runs.values());
    let batch = runs.filter(|run| !run.lasting).count();
    let may_move = (batch / RUNS_PER_MOVE)
        .max(1)
        .saturating_sub(under_way(cell));
    worthwhile
        .sort_by_key(|moved| std::cmp::Reverse(moved.left_ms.saturating_sub(moved.elsewhere_ms)));
    let mut candidates = Candidates::of(cell, now);
    let mut moves = Vec::new();
    for moved in worthwhile {
        if moves.len() >= may_move {
            break;
        }
        let Some(step) = cell.step(&moved.task).cloned() else {
            continue;
        };
        let found = choose(cell, &moved.task, &step, &candidates, &BTreeMap::new());
        let Some(candidate) = found.filter(|&candidate| !candidates.is_slow(candidate)) else {
            continue;
        };
        candidates.allocate(candidate, step.reserved());
        let worker = cell.workers.get_mut(&moved.worker);
        if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&moved.task)) {
            run.stop = StopState::Requested;
        }
        let (task, run) = (moved.task.clone(), moved.run);
        cell.moves.insert(task, Move { at: now, run });
        moves.push(moved);
    }
    moves
}

/// Number of tasks that are being moved: they haven't been started again.
fn under_way(cell: &Cell) -> usize {
    let waits = |(task, moved): &(&TaskId, &Move)| {
        let row = cell.jobs.get(&task.job).and_then(|job| job.task(task));
        row.is_some_and(|row| row.run == moved.run)
    };
    cell.moves.iter().filter(waits).count()
}

/// The runs of a slow worker that would end earlier if they were started elsewhere.
fn worthwhile_on(cell: &Cell, id: &Name, worker: &Worker) -> Vec<MovedRun> {
    let runs = worker.runs.iter().filter(|(task, run)| {
        !run.lasting
            && run.stop == StopState::No
            && run.origin != Origin::Isolated
            && matches!(run.start_state, StartState::Confirmed(_))
            && !cell.moves.contains_key(task)
            && !crash::has_crashes(cell, task)
    });
    let moved = runs.filter_map(|(task, run)| {
        let job = cell.jobs.get(&task.job)?;
        job.step(task.step).filter(|step| !step.gang)?;
        let row = job.task(task).filter(|row| row.run == run.run)?;
        let rates = job.rates.get(&task.step)?;
        if job.progress.state.is_final() || !rates.shows_progress() {
            return None;
        }
        let State::Slow(_began, speed) = worker.speed.state else {
            return None;
        };
        let rate = run.trace.last?.rate();
        let normal = rates.normal(id)?;
        let resumes_at = match row.checkpoint {
            Some(_) => run.trace.checkpoint_percent,
            None => 0,
        };
        let millis = |percent: u64, rate: u64| percent * 1_000_000 / rate.max(1);
        let percent = u64::from(run.percent).min(100);
        let left_ms = millis(100 - percent, rate);
        // Elsewhere the run is as much faster as this worker is slower; a task that is shorter than
        // its siblings is taken for one of them.
        let rate_elsewhere = normal.min(rate * NORMAL / speed.max(1));
        let elsewhere_ms = millis(100_u64.saturating_sub(resumes_at), rate_elsewhere);
        let gains = left_ms > elsewhere_ms + MIN_GAIN_MS;
        (gains && migration::may_start_again(cell, task)).then(|| MovedRun {
            worker: Name::clone(id),
            task: task.clone(),
            run: run.run,
            percent,
            left_ms,
            elsewhere_ms,
        })
    });
    moved.collect()
}
