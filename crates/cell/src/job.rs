//! One job in memory.

use crate::row::{Accepted, Phase, Progress, Steps, Task};
use primroseroute_domain::work::{Name, State, Step, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Whether a task of a job has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Begun {
    /// None is known to have.
    No,
    /// A predecessor has placed one, and no look has told of it yet.
    Presumed,
    /// One has.
    Yes,
}

/// A job that isn't finished.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub accepted: Accepted,
    pub progress: Progress,
    /// Whether runs of it may be under way beside or after those that have done its work: where a task was started again, runs
    /// that were given up, and where a step is a gang, its other members.
    pub may_run_on: bool,
    /// Its state is that of its row, which says that it runs as soon as a task is placed.
    pub begun: Begun,
}

impl Job {
    pub(crate) fn new(accepted: Accepted) -> Self {
        Self {
            accepted,
            progress: Progress {
                state: State::Pending,
                steps: BTreeMap::new(),
                next: 0,
                ended_ms: None,
            },
            may_run_on: false,
            begun: Begun::No,
        }
    }

    /// A job of which a predecessor has committed `progress`.
    pub(crate) fn restored(accepted: Accepted, progress: Progress) -> Self {
        let tasks = || progress.steps.values().flatten().flatten();
        let has_run = |task: &Task| {
            let told = !task.failed.is_empty() || !task.crashed.is_empty();
            told || task.checkpoint.is_some() || task.phase == Phase::Done
        };
        // An occurrence whose tasks are all done has no row any more.
        let is_over = progress.steps.len() < progress.next as usize;
        let begun = if is_over || tasks().any(has_run) {
            Begun::Yes
        } else if tasks().any(|task| task.phase.worker().is_some()) {
            Begun::Presumed
        } else {
            Begun::No
        };
        Self {
            accepted,
            progress,
            may_run_on: true,
            begun,
        }
    }

    pub(crate) fn step(&self, number: u16) -> Option<&Step> {
        self.accepted.job.steps.get(usize::from(number))
    }

    pub(crate) fn task(&self, id: &TaskId) -> Option<&Task> {
        let steps = self.progress.steps.get(&id.occurrence)?;
        steps.get(usize::from(id.step))?.get(usize::from(id.index))
    }

    pub(crate) fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let steps = self.progress.steps.get_mut(&id.occurrence)?;
        steps
            .get_mut(usize::from(id.step))?
            .get_mut(usize::from(id.index))
    }

    /// Number of runs of a gang that are among those that `of` gives of any member.
    pub(crate) fn gang_runs(&self, id: &TaskId, of: impl Fn(&Task) -> &BTreeSet<u32>) -> usize {
        let steps = self.progress.steps.get(&id.occurrence);
        let members = steps.and_then(|steps| steps.get(usize::from(id.step)));
        let runs = members.into_iter().flatten().flat_map(of);
        runs.collect::<BTreeSet<_>>().len()
    }

    /// Records that a run on `worker` is to stop while the job goes on; whether that is news.
    ///
    /// It is committed before the stop is sent. A worker shows a run until it has ended, so a successor that
    /// found it at work would count its task as at work, and end others of the step beside it: more would be
    /// away than the step can miss. By the row the successor counts it as away, and repeats the stop.
    pub(crate) fn leaves(&mut self, id: &TaskId, worker: &Name, run: u32) -> bool {
        let Some(task) = self.task_mut(id) else {
            return false;
        };
        let here = matches!(&task.phase, Phase::Placed(at) if at == worker);
        if !here || task.run != run {
            return false;
        }
        task.phase = Phase::Leaving(Name::clone(worker));
        true
    }

    /// Records that a run that was to stop goes on, since its stop was never sent; whether that is news.
    pub(crate) fn stays(&mut self, id: &TaskId) -> bool {
        let Some(task) = self.task_mut(id) else {
            return false;
        };
        let Phase::Leaving(worker) = &task.phase else {
            return false;
        };
        task.phase = Phase::Placed(Name::clone(worker));
        true
    }

    /// Begins the occurrences that are due; whether there were any.
    pub(crate) fn begin(&mut self, wall_ms: u64) -> bool {
        let before = self.progress.next;
        while self.progress.next < self.accepted.job.occurrences() {
            let due = self.accepted.job.schedule;
            let due = due.map_or(0, |schedule| schedule.due_ms(self.progress.next));
            if due > wall_ms {
                break;
            }
            self.progress.steps.insert(self.progress.next, self.fresh());
            self.progress.next += 1;
        }
        self.progress.next > before
    }

    fn fresh(&self) -> Steps {
        let steps = self.accepted.job.steps.iter();
        steps
            .map(|step| vec![Task::default(); usize::from(step.count)])
            .collect()
    }

    /// Drops occurrences whose tasks are all done; whether nothing of the job is left.
    pub(crate) fn settle(&mut self) -> bool {
        let open = |steps: &Steps| steps.iter().flatten().any(|task| task.phase != Phase::Done);
        self.progress.steps.retain(|_number, steps| open(steps));
        let begun = self.progress.next >= self.accepted.job.occurrences();
        begun && self.progress.steps.is_empty()
    }

    /// Numbers of the steps of `occurrence` whose turn has come.
    pub(crate) fn ready(&self, occurrence: u32) -> Vec<u16> {
        let Some(steps) = self.progress.steps.get(&occurrence) else {
            return Vec::new();
        };
        let done = |number: u16| {
            let tasks = &steps[usize::from(number)];
            tasks.iter().all(|task| task.phase == Phase::Done)
        };
        let ready =
            |(_number, step): &(usize, &Step)| step.after.iter().all(|&number| done(number));
        let numbered = self.accepted.job.steps.iter().enumerate();
        numbered
            .filter(ready)
            .filter_map(|(number, _step)| u16::try_from(number).ok())
            .collect()
    }
}
