//! Order in which waiting steps are placed.
//!
//! Within each class, jobs that are within the entitlement of their account come first, and then those
//! of accounts that don't use much more than their weighted share.
//!
//! Long-running tasks come first, since their users are affected all the time that they are
//! unavailable. Then come jobs that can still meet their objective, those with the least remaining
//! work first; then late ones, and last those that are past three times their objective, which earn
//! nothing more and only have to finish eventually.

use crate::{backlog, cell::Cell, crash, job::Job, row::Phase, run_times::RunTime};
use primroseroute_domain::work::{JobId, Step, TaskId};
use std::collections::BTreeSet;

/// Multiple of its objective after which a job earns nothing more.
const LONG_OVERDUE_OBJECTIVES: u64 = 3;

/// Urgency class of a step; smaller comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    Lasting,
    InTime,
    Late,
    LongOverdue,
}

/// A step with waiting tasks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitingStep {
    pub(super) class: Class,
    /// Whether its job is beyond the entitlement of its account, or has no account.
    is_beyond_entitlement: bool,
    /// Whether its account uses much more of the pool than its weighted share.
    is_beyond_share: bool,
    /// Remaining work of the job in core-milliseconds: short jobs earn most for the time that they
    /// occupy, and a job that has begun comes before an equal one that hasn't.
    core_ms: u64,
    pub(super) job: JobId,
    pub(super) occurrence: u32,
    pub(super) step: u16,
    /// Whether its job has an account.
    pub(super) has_account: bool,
    /// Time since it became ready.
    pub(super) waited_ms: u64,
}

impl WaitingStep {
    /// The step's first task, which represents all of them.
    pub(crate) fn first_task(&self) -> TaskId {
        task_id(self, 0)
    }

    /// Whether tasks of the step still wait.
    pub(crate) fn still_waits(&self, cell: &Cell) -> bool {
        let job = cell.jobs.get(&self.job);
        job.is_some_and(|job| {
            let mut tasks = waiting_tasks(job, self.occurrence, self.step);
            tasks.next().is_some()
        })
    }
}

/// Steps with waiting tasks whose dependencies are done.
#[derive(Debug, Default)]
pub(crate) struct WaitingSteps {
    /// Those that an instance can run, the most urgent first.
    pub placeable: Vec<WaitingStep>,
    /// Job and number of those that no instance can run.
    pub unplaceable: BTreeSet<(JobId, u16)>,
}

/// Collects the steps with waiting tasks whose dependencies are done, without those of held jobs.
pub(crate) fn waiting_steps(cell: &Cell, wall_ms: u64) -> WaitingSteps {
    let mut waiting = WaitingSteps::default();
    for (id, job) in &cell.jobs {
        if job.progress.state.is_final() || cell.is_held(id) {
            continue;
        }
        for &occurrence in job.progress.steps.keys() {
            for step in job.ready_steps(occurrence) {
                if waiting_tasks(job, occurrence, step).next().is_none() {
                    continue;
                }
                let shape = job.step(step);
                if shape.is_some_and(|shape| !cell.capability.allows(shape)) {
                    waiting.unplaceable.insert((id.clone(), step));
                    continue;
                }
                let urgency = urgency(id, job, occurrence, step, wall_ms);
                waiting.placeable.push(WaitingStep {
                    is_beyond_entitlement: !job.is_within_entitlement(&cell.meter),
                    is_beyond_share: job.is_beyond_share(&cell.meter),
                    ..urgency
                });
            }
        }
    }
    waiting.placeable.sort_unstable();
    waiting
}

/// The steps of `waiting` that still wait, each with the number of its tasks, their predicted run
/// time, and whether it is late; without those of jobs that earn nothing any more, and of accounts
/// that may not have more running. Tasks beyond those that the fleet could run at the same time
/// don't count: more workers would be no use to them.
pub(crate) fn still_waiting<'a>(
    cell: &'a Cell,
    waiting: &'a [WaitingStep],
) -> impl Iterator<Item = (&'a Step, u64, RunTime, bool)> {
    let worthwhile = waiting.iter();
    let worthwhile = worthwhile.filter(|waiting| waiting.class != Class::LongOverdue);
    worthwhile.filter_map(|waiting| {
        let job = cell.jobs.get(&waiting.job)?;
        let charge = job.charge(waiting.step);
        if charge.is_some_and(|charge| !cell.meter.admits(charge, 1)) {
            return None;
        }
        let count = waiting_tasks(job, waiting.occurrence, waiting.step).count();
        let late = waiting.class == Class::Late;
        let step = job.step(waiting.step)?;
        let run_time = job.prediction.of(waiting.step, step);
        let count = (count as u64).min(cell.capability.tasks(step));
        Some((step, count, run_time, late))
    })
}

/// The steps of `waiting` that still wait and whose jobs earn nothing any more, each with its first
/// waiting task.
pub(crate) fn long_overdue<'a>(
    cell: &'a Cell,
    waiting: &'a [WaitingStep],
) -> impl Iterator<Item = (&'a Step, TaskId)> {
    let long_overdue = waiting.iter();
    let long_overdue = long_overdue.filter(|waiting| waiting.class == Class::LongOverdue);
    long_overdue.filter_map(|waiting| {
        let job = cell.jobs.get(&waiting.job)?;
        let index = waiting_tasks(job, waiting.occurrence, waiting.step).next()?;
        Some((job.step(waiting.step)?, task_id(waiting, index)))
    })
}

/// Whether a job is past its objective. Running tasks count as late only from then on: how much of
/// the estimate is left of a run isn't known well enough to tell sooner.
pub(crate) fn is_overdue(job: &Job, occurrence: u32, wall_ms: u64) -> bool {
    let long_running = job.accepted.job.lasting();
    !long_running && age(job, occurrence, wall_ms) > signed(job.objective_ms())
}

/// Whether a job earns nothing any more.
pub(crate) fn is_long_overdue(job: &Job, occurrence: u32, wall_ms: u64) -> bool {
    let objective = signed(job.objective_ms());
    age(job, occurrence, wall_ms) > objective.saturating_mul(signed(LONG_OVERDUE_OBJECTIVES))
}

pub(super) fn waiting_tasks(job: &Job, occurrence: u32, step: u16) -> impl Iterator<Item = u16> {
    let steps = job.progress.steps.get(&occurrence);
    let tasks = steps.and_then(|steps| steps.get(usize::from(step)));
    let numbered = (0..).zip(tasks.into_iter().flatten());
    numbered
        .filter(|(_index, task)| task.phase == Phase::Waiting && !crash::is_abandoned(task))
        .map(|(index, _task)| index)
}

/// Time since an occurrence was due; negative if a clock was ahead.
fn age(job: &Job, occurrence: u32, wall_ms: u64) -> i64 {
    let accepted = &job.accepted;
    let due = accepted
        .job
        .schedule
        .map_or(accepted.at_ms, |schedule| schedule.due_ms(occurrence));
    signed(wall_ms) - signed(due)
}

fn class(job: &Job, occurrence: u32, step: u16, wall_ms: u64) -> Class {
    let age = age(job, occurrence, wall_ms);
    let objective = signed(job.objective_ms());
    let remaining = signed(remaining_ms(job, occurrence, step));
    let slack = objective.saturating_sub(age).saturating_sub(remaining);
    let long_running = job.step(step).is_some_and(|step| step.lasting);
    if long_running {
        Class::Lasting
    } else if is_long_overdue(job, occurrence, wall_ms) {
        Class::LongOverdue
    } else if slack < 0 {
        Class::Late
    } else {
        Class::InTime
    }
}

fn urgency(id: &JobId, job: &Job, occurrence: u32, step: u16, wall_ms: u64) -> WaitingStep {
    WaitingStep {
        class: class(job, occurrence, step, wall_ms),
        is_beyond_entitlement: true,
        is_beyond_share: false,
        core_ms: work_left(job, occurrence),
        job: id.clone(),
        occurrence,
        step,
        has_account: job.has_account(),
        waited_ms: wall_ms.saturating_sub(job.ready_at_ms(occurrence, step)),
    }
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// Predicted core-milliseconds of the unfinished tasks.
pub(crate) fn work_left(job: &Job, occurrence: u32) -> u64 {
    work_left_of(job, occurrence, |_step| true)
}

/// Predicted core-milliseconds of the unfinished tasks of the steps for which `counts` is true.
pub(crate) fn work_left_of(job: &Job, occurrence: u32, counts: impl Fn(u16) -> bool) -> u64 {
    let Some(progress) = job.progress.steps.get(&occurrence) else {
        return 0;
    };
    let steps = (0..).zip(&job.accepted.job.steps).zip(progress);
    let steps = steps.filter(|((number, _shape), _tasks)| counts(*number));
    let left = steps.map(|((number, shape), tasks)| {
        let open = tasks
            .iter()
            .filter(|task| task.phase != Phase::Done)
            .count() as u64;
        let mean_ms = job.prediction.of(number, shape).mean_ms;
        backlog::core_ms(shape.demand.cpu, mean_ms, open)
    });
    left.fold(0, u64::saturating_add)
}

/// Predicted time from now to the job's end, if `step` starts at once.
fn remaining_ms(job: &Job, occurrence: u32, step: u16) -> u64 {
    let steps = &job.accepted.job.steps;
    let Some(progress) = job.progress.steps.get(&occurrence) else {
        return 0;
    };
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for (number, shape) in (0..).zip(steps) {
        let over = progress[usize::from(number)]
            .iter()
            .all(|task| task.phase == Phase::Done);
        let before = shape
            .after
            .iter()
            .map(|&earlier| ends[usize::from(earlier)]);
        let before = before.max().unwrap_or(0);
        let typical_ms = job.prediction.of(number, shape).typical_ms;
        ends.push(if over {
            0
        } else {
            before.saturating_add(typical_ms)
        });
    }
    let own = ends.get(usize::from(step)).copied().unwrap_or(0);
    ends.into_iter().max().unwrap_or(own)
}

pub(super) fn task_id(waiting: &WaitingStep, index: u16) -> TaskId {
    TaskId {
        job: waiting.job.clone(),
        occurrence: waiting.occurrence,
        step: waiting.step,
        index,
    }
}
