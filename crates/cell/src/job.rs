//! In-memory state of one job.

use crate::{
    row::{
        Accepted, Phase, Progress, Steps, Task,
        overflow::{self, Change, Overflow},
    },
    run_times::Prediction,
    speed::Rates,
};
use bytes::Bytes;
use primroseroute_accounts::{
    entitlement::Mark,
    meter::{Charge, Index, Meter},
};
use primroseroute_domain::work::{Name, State, Step, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Whether a task of a job has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HasStarted {
    /// None is known to have started.
    No,
    /// A previous owner has placed one, which no worker status has confirmed yet.
    Presumed,
    /// One has started.
    Yes,
}

/// An unfinished job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub accepted: Accepted,
    pub progress: Progress,
    /// Whether there may be runs beside or after those that completed its tasks: runs that were
    /// given up, if a task was started again, and the other members of a gang.
    pub may_have_other_runs: bool,
    /// The job's state is that of its row, which says that it runs as soon as a task is placed.
    pub has_started: HasStarted,
    /// Predicted run times of its tasks.
    pub prediction: Prediction,
    /// Recent progress rates of its runs, by step.
    pub rates: BTreeMap<u16, Rates>,
    /// The account that its tasks are charged to.
    account: Option<Index>,
    /// Whether it is within the entitlement of its account; `None` before it is marked, and without
    /// an account.
    pub mark: Option<Mark>,
    /// Wall-clock time of its acceptance, or of when its owner learned of it if the former is wrong.
    pub counted_at_ms: u64,
    /// When later steps became ready, by occurrence and step, as far as this owner has seen it.
    ready_at_ms: BTreeMap<(u32, u16), u64>,
    /// The stored rows besides its own.
    pub overflow: Overflow,
}

fn account(accepted: &Accepted, meter: &mut Meter) -> Option<Index> {
    let name = accepted.account.as_ref();
    name.map(|name| meter.index(name))
}

impl Job {
    pub(crate) fn new(accepted: Accepted, meter: &mut Meter) -> Self {
        Self {
            account: account(&accepted, meter),
            progress: Progress {
                state: State::Pending,
                steps: BTreeMap::new(),
                next: 0,
                ended_ms: None,
                account: accepted.account.clone(),
            },
            mark: None,
            counted_at_ms: accepted.at_ms,
            ready_at_ms: BTreeMap::new(),
            overflow: Overflow::default(),
            accepted,
            may_have_other_runs: false,
            has_started: HasStarted::No,
            prediction: Prediction::default(),
            rates: BTreeMap::new(),
        }
    }

    /// A job with the `progress` that a previous owner has committed.
    pub(crate) fn restored(accepted: Accepted, progress: Progress, meter: &mut Meter) -> Self {
        let tasks = || progress.steps.values().flatten().flatten();
        let has_run = |task: &Task| {
            let told = !task.failed.is_empty() || !task.crashed.is_empty();
            told || task.checkpoint.is_some() || task.phase == Phase::Done
        };
        // Occurrences whose tasks are all done have been removed from the row.
        let is_over = progress.steps.len() < progress.next as usize;
        let has_started = if is_over || tasks().any(has_run) {
            HasStarted::Yes
        } else if tasks().any(|task| task.phase.worker().is_some()) {
            HasStarted::Presumed
        } else {
            HasStarted::No
        };
        Self {
            account: account(&accepted, meter),
            mark: None,
            counted_at_ms: accepted.at_ms,
            ready_at_ms: BTreeMap::new(),
            overflow: Overflow::default(),
            accepted,
            progress,
            may_have_other_runs: true,
            has_started,
            prediction: Prediction::default(),
            rates: BTreeMap::new(),
        }
    }

    /// Time from its acceptance within which it should be done, in milliseconds.
    ///
    /// The gateway derived it from the caller's estimates. Where these are corrected, the remaining
    /// time of a job is compared with an objective that is corrected in the same way: a job with
    /// estimates that are too low would otherwise be late from its start.
    pub(crate) fn objective_ms(&self) -> u64 {
        let accepted = &self.accepted;
        let corrected = self.prediction.objective_ms();
        corrected.map_or(accepted.objective_ms, |corrected| {
            if accepted.job.lasting() {
                accepted.objective_ms
            } else {
                corrected
            }
        })
    }

    /// Whether it is within the entitlement of its account. An account that was removed has none,
    /// whatever it had when the job was marked.
    pub(crate) fn is_within_entitlement(&self, meter: &Meter) -> bool {
        let account = self.account;
        self.mark == Some(Mark::Within) && account.is_some_and(|account| meter.has_weight(account))
    }

    pub(crate) fn has_account(&self) -> bool {
        self.account.is_some()
    }

    /// Wall-clock time at which a step became ready. Of later steps that became so under a previous
    /// owner, only the time of the acceptance is known: they may count as waiting for longer than
    /// they have, but not anew with each owner.
    pub(crate) fn ready_at_ms(&self, occurrence: u32, step: u16) -> u64 {
        let schedule = self.accepted.job.schedule;
        let known = self.ready_at_ms.get(&(occurrence, step)).copied();
        known.unwrap_or_else(|| {
            schedule.map_or(self.counted_at_ms, |schedule| schedule.due_ms(occurrence))
        })
    }

    /// Records which steps have become ready by the end of `id`.
    pub(crate) fn record_ready_steps(&mut self, id: &TaskId, wall_ms: u64) {
        if self.account.is_none() {
            return;
        }
        let steps = self.progress.steps.get(&id.occurrence);
        let tasks = steps.and_then(|steps| steps.get(usize::from(id.step)));
        let is_over = |tasks: &Vec<Task>| tasks.iter().all(|task| task.phase == Phase::Done);
        if !tasks.is_some_and(is_over) {
            return;
        }
        for step in self.ready_steps(id.occurrence) {
            if self
                .step(step)
                .is_some_and(|step| step.after.contains(&id.step))
            {
                self.ready_at_ms.insert((id.occurrence, step), wall_ms);
            }
        }
    }

    /// Whether its account uses much more of the pool than its weighted share.
    pub(crate) fn is_beyond_share(&self, meter: &Meter) -> bool {
        let account = self.account;
        account.is_some_and(|account| meter.is_beyond_share(account))
    }

    /// What one task of a step counts against the job's account.
    pub(crate) fn charge(&self, step: u16) -> Option<Charge> {
        let account = self.account?;
        let demand = self.step(step)?.demand;
        Some(Charge { account, demand })
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

    /// Number of distinct run numbers that `of` selects from the members of a gang.
    pub(crate) fn gang_runs(&self, id: &TaskId, of: impl Fn(&Task) -> &BTreeSet<u32>) -> usize {
        let steps = self.progress.steps.get(&id.occurrence);
        let members = steps.and_then(|steps| steps.get(usize::from(id.step)));
        let runs = members.into_iter().flatten().flat_map(of);
        runs.collect::<BTreeSet<_>>().len()
    }

    /// Records that a run on `worker` is to stop while the job goes on. Returns whether this
    /// changed anything.
    ///
    /// This is committed before the stop is sent. A worker lists a run until it has ended, so a new
    /// owner that found it ready would count its task as available and stop others of the step too:
    /// more would be unavailable than the step tolerates. From the row the new owner knows that the
    /// task is unavailable, and repeats the stop.
    pub(crate) fn mark_leaving(&mut self, id: &TaskId, worker: &Name, run: u32) -> bool {
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

    /// Records that a run that was to stop goes on, since its stop was never sent. Returns whether
    /// this changed anything.
    pub(crate) fn unmark_leaving(&mut self, id: &TaskId) -> bool {
        let Some(task) = self.task_mut(id) else {
            return false;
        };
        let Phase::Leaving(worker) = &task.phase else {
            return false;
        };
        task.phase = Phase::Placed(Name::clone(worker));
        true
    }

    /// Begins the occurrences that are due, as far as not too many are unfinished. Returns whether
    /// there were any.
    pub(crate) fn begin_due(&mut self, wall_ms: u64) -> bool {
        let before = self.progress.next;
        while self.progress.next < self.accepted.job.occurrences() {
            let due = self.accepted.job.schedule;
            let due = due.map_or(0, |schedule| schedule.due_ms(self.progress.next));
            let most = || self.accepted.job.max_open_occurrences();
            if due > wall_ms || self.progress.steps.len() >= most() {
                break;
            }
            self.progress
                .steps
                .insert(self.progress.next, self.new_tasks());
            self.progress.next += 1;
        }
        self.progress.next > before
    }

    /// Encodes its own row, and the writes to those besides.
    pub(crate) fn encode(&mut self) -> (Bytes, Change) {
        let (own, wanted) = overflow::encode(&self.accepted, &self.progress);
        let change = self.overflow.change_to(&wanted);
        self.overflow = wanted;
        (own, change)
    }

    fn new_tasks(&self) -> Steps {
        let steps = self.accepted.job.steps.iter();
        steps
            .map(|step| vec![Task::default(); usize::from(step.count)])
            .collect()
    }

    /// Drops occurrences whose tasks are all done. Returns whether nothing of the job is left.
    pub(crate) fn drop_finished_occurrences(&mut self) -> bool {
        let open = |steps: &Steps| steps.iter().flatten().any(|task| task.phase != Phase::Done);
        self.progress.steps.retain(|_number, steps| open(steps));
        let begun = &self.progress.steps;
        self.ready_at_ms
            .retain(|(occurrence, _step), _at| begun.contains_key(occurrence));
        let begun = self.progress.next >= self.accepted.job.occurrences();
        begun && self.progress.steps.is_empty()
    }

    /// Numbers of the steps of `occurrence` whose dependencies are done.
    pub(crate) fn ready_steps(&self, occurrence: u32) -> Vec<u16> {
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
