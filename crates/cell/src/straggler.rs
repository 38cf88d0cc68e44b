//! Which workers are slow, from the observed speeds of all workers of the pool.
//!
//! While a quarter or more of the workers with a known speed are slow, none counts as slow: the
//! cause is then a common one, and there is no better place for their runs. A slow worker is only
//! compared with what others have shown since its own interval began. If all workers become slow at
//! once, the lists of some show it before those of others, whose older lists still look normal.

use crate::{
    cell::Cell,
    limits::Millis,
    speed::{EXPIRY_MS, State, Verdict},
    worker::{StopState, Worker},
};
use primroseroute_domain::work::{End, Name, Step, TaskId};
use primroseroute_platform::worker::{Ended, Running};

/// One in this many workers with a known speed may be slow.
const WORKERS_PER_SLOW: usize = 4;

/// Time for which a worker that was seen to be normal counts as such, in the question whether a
/// quarter are slow: the others may be idle.
const KNOWN_MS: Millis = 30_000;

/// A worker that has become slow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlowWorker {
    /// The worker's id.
    pub worker: Name,
    /// Its speed in percent of normal.
    pub percent: u64,
    /// Number of runs that show it.
    pub runs: usize,
    /// Age of the newest list that shows it.
    pub age_ms: Millis,
}

/// A run that is stopped because its worker is slow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MovedRun {
    /// The worker's id.
    pub worker: Name,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
    /// Its progress in percent.
    pub percent: u64,
    /// Expected time until its end at the present speed.
    pub left_ms: Millis,
    /// Expected time until its end elsewhere, from its start.
    pub elsewhere_ms: Millis,
}

/// What a round has found about the speed of workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stragglers {
    /// Number of workers that are slow now.
    pub slow_workers: usize,
    /// Workers that have become slow.
    pub slowed: Vec<SlowWorker>,
    /// Workers that are no longer slow.
    pub recovered: Vec<Name>,
    /// Runs that are stopped to be started elsewhere.
    pub moved: Vec<MovedRun>,
}

/// Whether the progress of a step's runs tells the speed of their workers. Members of a gang may
/// wait for each other.
fn is_measured(step: &Step) -> bool {
    !step.lasting && !step.gang
}

/// Records the progress of a listed run; the list held at `at`.
pub(crate) fn observe_listed(cell: &mut Cell, id: &Name, running: &Running, at: Millis) {
    if !cell.limits.worker_speed {
        return;
    }
    let task = &running.task;
    let (Some(worker), Some(job)) = (cell.workers.get_mut(id), cell.jobs.get_mut(&task.job)) else {
        return;
    };
    let Some(run) = worker.runs.get_mut(task) else {
        return;
    };
    // A run that is being stopped may stand still.
    let is_excluded = run.lasting || run.stop != StopState::No || run.run != running.run;
    if is_excluded || !job.step(task.step).is_some_and(is_measured) {
        return;
    }
    let rates = job.rates.entry(task.step).or_default();
    let listed = (at, u64::from(running.percent));
    let Some(listed) = rates.listed(&mut run.trace, task.index, id, listed) else {
        return;
    };
    if listed.has_slowed {
        worker.speed.run_slowed(at);
    }
    if let Some(observed) = listed.speed
        && worker.speed.observe(task, observed)
    {
        cell.recovered.push(Name::clone(id));
    }
}

/// Records the end of a run that `worker` had; the list held at `at`.
pub(crate) fn observe_ended(cell: &mut Cell, id: &Name, ended: &Ended, at: Millis) {
    let task = &ended.task;
    let (Some(worker), Some(job)) = (cell.workers.get_mut(id), cell.jobs.get_mut(&task.job)) else {
        return;
    };
    let is_measured = cell.limits.worker_speed && job.step(task.step).is_some_and(is_measured);
    let run = worker.runs.get(task).filter(|run| run.run == ended.run);
    let (Some(run), true, End::Done) = (run, is_measured, ended.how) else {
        return;
    };
    let trace = run.trace;
    let rates = job.rates.entry(task.step).or_default();
    let observed = rates.completed(&trace, task.index, id, at);
    let is_probe = matches!(&worker.speed.state, State::Probing(Some(probe)) if probe == task);
    let has_recovered = observed.is_some_and(|observed| worker.speed.observe(task, observed));
    // Nothing has shown that the probe was slow.
    if is_probe && !has_recovered {
        worker.speed.clear();
    }
    if is_probe || has_recovered {
        cell.recovered.push(Name::clone(id));
    }
}

/// Decides which workers are slow.
pub(crate) fn judge(cell: &mut Cell, now: Millis) -> Stragglers {
    let mut found = Stragglers {
        recovered: std::mem::take(&mut cell.recovered),
        ..Stragglers::default()
    };
    expire(cell, now);
    for (id, worker) in &mut cell.workers {
        if worker.speed.take_recheck(now) {
            cell.poll_requests.push(Name::clone(id));
        }
    }
    let slow = cell.workers.iter().filter_map(|(id, worker)| {
        let verdict = worker.speed.verdict?;
        let since = worker.speed.slow_since?;
        let is_new = worker.speed.state == State::Normal;
        (is_new && verdict.is_recent(now)).then(|| (Name::clone(id), verdict, since))
    });
    let rates = |task: &TaskId| cell.jobs.get(&task.job)?.rates.get(&task.step);
    let slow = slow.filter(|(id, ..)| cell.workers[id].speed.is_still_slow(id, rates));
    let candidates: Vec<(Name, Verdict, Millis)> = slow.collect();
    let known_slow = cell.workers.values().filter(|worker| is_slow(worker));
    let known_slow = known_slow.count();
    if candidates.is_empty() && known_slow == 0 {
        return found;
    }
    let count = candidates.len() + known_slow;
    let is_minority = |normal: usize| count * WORKERS_PER_SLOW < count + normal;
    if known_slow > 0 && !is_minority(normal_since(cell, now.saturating_sub(KNOWN_MS))) {
        for (id, worker) in &mut cell.workers {
            if is_slow(worker) {
                worker.speed.clear();
                found.recovered.push(Name::clone(id));
            }
        }
        return found;
    }
    // Where all workers are slow, comparing each candidate with all others would cost too much.
    let is_possible = is_minority(normal_since(cell, 0));
    for (id, verdict, since) in candidates.into_iter().filter(|_known| is_possible) {
        let normal = normal_since(cell, since);
        if let Some(worker) = cell.workers.get_mut(&id)
            && is_minority(normal)
        {
            worker.speed.state = State::Slow(since, verdict.speed);
            found.slowed.push(SlowWorker {
                worker: id,
                percent: verdict.speed / 10,
                runs: verdict.runs,
                age_ms: now.saturating_sub(verdict.at),
            });
        }
    }
    let slow = cell.workers.values().filter(|worker| is_slow(worker));
    found.slow_workers = slow.count();
    found
}

fn is_slow(worker: &Worker) -> bool {
    matches!(worker.speed.state, State::Slow(..))
}

/// Number of workers whose runs have progressed normally since `since`.
fn normal_since(cell: &Cell, since: Millis) -> usize {
    let speeds = cell.workers.values().map(|worker| &worker.speed);
    let normal = speeds.filter(|speed| {
        let verdict = speed.verdict;
        speed.state == State::Normal && verdict.is_some_and(|known| known.is_normal_since(since))
    });
    normal.count()
}

/// Lets slow workers of which nothing was observed for a while have a probe.
fn expire(cell: &mut Cell, now: Millis) {
    for worker in cell.workers.values_mut() {
        match &mut worker.speed.state {
            State::Normal => {}
            State::Slow(began, _speed) => {
                let last = worker.speed.verdict.map_or(*began, |verdict| verdict.at);
                if now >= last + EXPIRY_MS {
                    worker.speed.state = State::Probing(None);
                }
            }
            // The probe was lost or refused: another one follows.
            State::Probing(probe) => {
                probe.take_if(|probe| !worker.runs.contains_key(probe));
            }
        }
    }
}
