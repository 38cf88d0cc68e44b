//! The cell's state, and what it is told.

use crate::{
    advice::{self, Policy},
    arrivals::Arrivals,
    crash::Culprit,
    job::{Begun, Job},
    limits::{Limits, Millis},
    need::Needs,
    order::{Loss, Order, Outcome, Question, Tick},
    row::{Accepted, Phase, Progress},
    worker::{Known, Origin, Run, Stop, Worker},
};
use primroseroute_domain::work::{JobId, Name, State, Step, StepId, TaskId};
use primroseroute_platform::worker::{Ended, Refusal, WorkerStatus};
use std::collections::{BTreeMap, BTreeSet};

/// A pool's jobs and workers, as their owner knows them.
#[derive(Clone, Debug)]
pub struct Cell {
    pub(crate) limits: Limits,
    /// When this owner took over.
    pub(crate) taken_at: Millis,
    /// Up to when all cancels that were stored are taken in; `None` before the first.
    pub(crate) heard_at: Option<Millis>,
    pub(crate) workers: BTreeMap<Name, Worker>,
    /// Jobs that aren't finished.
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Finished jobs whose rows are kept, with the time of day of their end.
    pub(crate) finished: BTreeMap<JobId, u64>,
    /// Jobs whose rows were deleted lately, with the time of day of that.
    pub(crate) forgotten: BTreeMap<JobId, u64>,
    /// Jobs whose progress isn't committed.
    pub(crate) dirty: BTreeSet<JobId>,
    /// Since when a lasting task has found no room.
    pub(crate) waiting: BTreeMap<TaskId, Millis>,
    /// Tasks under which workers have crashed, with how many.
    pub(crate) crashed: BTreeMap<TaskId, usize>,
    /// Workers that are reserved for trials of such tasks.
    pub(crate) reserved: BTreeSet<Name>,
    /// Number of workers that tasks of a spread step need beside those that are there.
    pub(crate) crowded: u64,
    /// Workers that are to be looked at at once, since trials wait for it.
    pub(crate) asked: Vec<Name>,
    /// Runs that were lost with the lives of workers since the last round.
    pub(crate) losses: Vec<Loss>,
    /// Tasks that were given up since then.
    pub(crate) culprits: Vec<Culprit>,
    /// Tasks that were acquitted since then.
    pub(crate) acquitted: Vec<TaskId>,
    /// Counts of queued jobs as of the last round.
    pub(crate) counts: BTreeMap<Name, u64>,
    /// How many workers it could use lately.
    pub(crate) needs: Needs,
    /// How much work comes in.
    pub(crate) arrivals: Arrivals,
    /// Queues whose starts need a ticket.
    pub(crate) advised: BTreeSet<Name>,
    /// What is known of the workers for their steps.
    pub(crate) policies: BTreeMap<StepId, Policy>,
    /// Whether runs of ended jobs may wait for stops that weren't looked for yet.
    pub(crate) stops_due: bool,
    /// When they were last looked for.
    pub(crate) stops_sought_at: Millis,
}

impl Cell {
    /// A cell that was taken over at `now` and knows nothing yet.
    pub fn new(limits: Limits, now: Millis) -> Self {
        Self {
            limits,
            taken_at: now,
            heard_at: None,
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            finished: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            dirty: BTreeSet::new(),
            waiting: BTreeMap::new(),
            crashed: BTreeMap::new(),
            reserved: BTreeSet::new(),
            crowded: 0,
            asked: Vec::new(),
            losses: Vec::new(),
            culprits: Vec::new(),
            acquitted: Vec::new(),
            counts: BTreeMap::new(),
            needs: Needs::default(),
            arrivals: Arrivals::default(),
            advised: BTreeSet::new(),
            policies: BTreeMap::new(),
            stops_due: false,
            stops_sought_at: now,
        }
    }

    /// Takes in an accepted job; one that is known already changes nothing.
    pub fn accept(&mut self, id: JobId, accepted: Accepted) {
        let over = self.finished.contains_key(&id) || self.forgotten.contains_key(&id);
        if !over && !self.jobs.contains_key(&id) {
            self.arrivals.accept(&accepted.job);
            self.jobs.insert(id, Job::new(accepted));
        }
    }

    /// Takes in what a predecessor has committed of a job.
    ///
    /// Its placed runs may be under way or not: the predecessor may have stopped between the commit
    /// and the call, so only looks tell. A worker that has answered a look of this owner has seen its token, and refuses
    /// whatever a predecessor sent: a run that the look doesn't show never begins. Where a worker can't be looked at, no start
    /// of a predecessor takes effect later than the start window after the takeover, since its deadline was fixed by a
    /// commit before that. Waiting for that window everywhere kept tasks from starting for as long as owners followed each other
    /// in less time.
    pub fn restore(&mut self, id: JobId, accepted: Accepted, progress: Progress) {
        self.arrivals.found(&accepted.job);
        if let Some(ended) = progress.ended_ms {
            self.finished.insert(id, ended);
            return;
        }
        let job = Job::restored(accepted, progress);
        let lapses_at = self.taken_at + self.limits.stretched(self.limits.start_window);
        for (&occurrence, steps) in &job.progress.steps {
            for (step, tasks) in (0..).zip(steps) {
                for (index, task) in (0..).zip(tasks) {
                    let id = TaskId {
                        job: id.clone(),
                        occurrence,
                        step,
                        index,
                    };
                    if !task.crashed.is_empty() {
                        self.crashed.insert(id.clone(), task.crashed.len());
                    }
                    let Some(worker) = task.phase.worker() else {
                        continue;
                    };
                    let leaves = matches!(task.phase, Phase::Leaving(_));
                    let shape = job.step(step);
                    let reserved = shape.map(Step::reserved).unwrap_or_default();
                    let lasting = shape.is_some_and(|step| step.lasting);
                    let run = Run {
                        known: Known::Unsure,
                        sure_after: self.taken_at,
                        stop: if leaves { Stop::Wanted } else { Stop::No },
                        // The predecessor may have sent it.
                        stop_left_at: leaves.then_some(self.taken_at),
                        origin: Origin::Found,
                        life: task.life,
                        ..Run::new(task.run, reserved, lasting)
                    };
                    let worker = self.worker(worker);
                    worker.lapses_at = worker.lapses_at.max(lapses_at);
                    worker.runs.insert(id, run);
                }
            }
        }
        self.jobs.insert(id, job);
    }

    /// Takes in that the rows of a finished job are deleted.
    pub fn forgotten(&mut self, id: JobId, wall_ms: u64) {
        self.finished.remove(&id);
        self.forgotten.insert(id, wall_ms);
    }

    /// Takes in a cancel that is committed; how many runs are to stop, or none where the job has ended or isn't
    /// known.
    pub fn cancel(&mut self, id: &JobId, wall_ms: u64) -> Option<usize> {
        let job = self.jobs.get(id)?;
        if job.progress.state.is_final() {
            return None;
        }
        self.finish(id, State::Cancelled, wall_ms);
        Some(self.runs_of(id))
    }

    /// Number of runs of a job that may be under way.
    pub fn runs_of(&self, job: &JobId) -> usize {
        let first = TaskId {
            job: job.clone(),
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let of = |worker: &Worker| {
            let runs = worker.runs.range(&first..);
            runs.take_while(|(task, _run)| task.job == *job).count()
        };
        self.workers.values().map(of).sum()
    }

    /// Ends a job: what runs of it is to be stopped, and its final state to be committed.
    pub(crate) fn finish(&mut self, id: &JobId, state: State, wall_ms: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.progress.state.is_final() {
            return;
        }
        job.progress.state = state;
        job.progress.ended_ms = Some(wall_ms);
        job.progress.steps.clear();
        self.dirty.insert(id.clone());
        self.crashed.retain(|task, _crashes| task.job != *id);
        // Of a job whose tasks were started once each and are done, nothing runs and nothing waits.
        let runs_on = job.may_run_on || state != State::Completed;
        if runs_on {
            self.waiting.retain(|task, _since| task.job != *id);
            self.stop_all(id);
        }
    }

    /// Asks for all runs of a job to be stopped.
    fn stop_all(&mut self, id: &JobId) {
        self.stops_due = true;
        for worker in self.workers.values_mut() {
            for (task, run) in &mut worker.runs {
                if task.job == *id && run.stop == Stop::No {
                    run.stop = Stop::Wanted;
                }
            }
        }
    }

    /// The ends of a look that weren't taken in before.
    pub fn news<'a>(
        &self,
        worker: &Name,
        look: &'a WorkerStatus,
    ) -> impl Iterator<Item = &'a Ended> {
        let worker = self.workers.get(worker);
        let of_this_life = worker.filter(|worker| worker.born == look.born);
        let seen = of_this_life.map_or(0, |worker| worker.seen);
        look.ended.iter().filter(move |ended| ended.number > seen)
    }

    /// Takes in a look that was asked for at `sent_at` and came at `now`.
    pub fn look(
        &mut self,
        worker: &Name,
        look: &WorkerStatus,
        sent_at: Millis,
        now: Millis,
        wall_ms: u64,
    ) {
        crate::look::take(self, worker, look, sent_at, now, wall_ms);
    }

    /// Takes in what came of a start.
    pub fn answered(
        &mut self,
        worker: &Name,
        task: &TaskId,
        run: u32,
        outcome: Outcome,
        now: Millis,
    ) {
        let limits = self.limits;
        let Some(found) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(entry) = found.runs.get_mut(task) else {
            return;
        };
        if entry.run != run {
            return;
        }
        match outcome {
            Outcome::Started => {
                // The deadline was on the clock of the life that was known; where the next one has taken the start, it is later.
                let lapses_at = now + limits.stretched(limits.lease);
                found.lapses_at = found.lapses_at.max(lapses_at);
                if !matches!(entry.known, Known::Runs(_)) {
                    entry.known = Known::Runs(now);
                }
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.begun = Begun::Yes;
                }
            }
            Outcome::Unknown => {
                if entry.known == Known::Sent {
                    entry.known = Known::Unsure;
                    // A stop settles it: the worker refuses the run from then on. Waiting for the
                    // start's deadline instead would delay the task by seconds.
                    if entry.stop == Stop::No {
                        entry.stop = Stop::Wanted;
                    }
                }
            }
            Outcome::Refused(refusal) => {
                if matches!(
                    refusal,
                    Refusal::Unhealthy | Refusal::Room | Refusal::Malformed
                ) {
                    found.shunned_until = found.shunned_until.max(now + limits.pause);
                }
                found.runs.remove(task);
                if refusal == Refusal::Ticket {
                    advice::refused(self, task, worker);
                }
                self.back_to_waiting(worker, task, run, None);
            }
            Outcome::Withdrawn => self.withdraw(worker, task, run),
            Outcome::Unsent => {
                // The worker can't be reached: it gets nothing new before a look has shown it.
                found.looked_at = None;
                found.runs.remove(task);
                self.back_to_waiting(worker, task, run, None);
            }
        }
    }

    /// Takes in for which queues starts need a ticket.
    pub fn advised(&mut self, queues: BTreeSet<Name>) {
        self.advised = queues;
    }

    /// Takes in an answer to a question that was sent at `sent_at`: tickets by worker, and how long
    /// they are valid; `None` where there was no answer.
    pub fn advice(
        &mut self,
        question: &Question,
        answer: Option<(BTreeMap<Name, Name>, Millis)>,
        sent_at: Millis,
        now: Millis,
    ) {
        advice::answered(self, question, answer, sent_at, now);
    }

    /// Takes in that a worker has taken the stop of a run; whether a look that is sent later will tell what came of
    /// the run, and no end of it need come.
    pub fn stopped(&mut self, worker: &Name, task: &TaskId, run: u32, now: Millis) -> bool {
        let worker = self.workers.get_mut(worker);
        let entry = worker.and_then(|worker| worker.runs.get_mut(task));
        let Some(entry) = entry.filter(|entry| entry.run == run) else {
            return false;
        };
        entry.stopped_at.get_or_insert(now);
        entry.known == Known::Unsure
    }

    /// A run is over without having done its work: its task waits again, if it was the newest run.
    pub(crate) fn back_to_waiting(
        &mut self,
        worker: &Name,
        id: &TaskId,
        run: u32,
        checkpoint: Option<Name>,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(task) = job.task_mut(id) else {
            return;
        };
        let placed_here = task.phase.worker() == Some(worker);
        if !placed_here || task.run != run {
            return;
        }
        task.phase = Phase::Waiting;
        if checkpoint.is_some() {
            task.checkpoint = checkpoint;
        }
        if job.begun == Begun::Presumed {
            job.begun = Begun::No;
        }
        self.dirty.insert(id.job.clone());
    }

    /// For each queue, its jobs of which no task has started, as of the last round.
    pub fn queued(&self) -> &BTreeMap<Name, u64> {
        &self.counts
    }

    /// Counts what [`Self::queued`] gives out.
    pub(crate) fn count_queued(&self) -> BTreeMap<Name, u64> {
        let mut counts = BTreeMap::new();
        for job in self.jobs.values() {
            if job.begun == Begun::No {
                *counts.entry(Name::clone(&job.accepted.queue)).or_default() += 1;
            }
        }
        counts
    }

    /// What waits, runs and may come next: rows to commit, and orders to send after that.
    pub fn tick(&mut self, now: Millis, wall_ms: u64) -> Tick {
        crate::tick::run(self, now, wall_ms)
    }

    /// Stops of runs whose jobs have ended, that are due.
    pub fn urgent(&mut self, now: Millis) -> Vec<Order> {
        crate::tick::urgent(self, now)
    }

    /// Takes in that `tick` is committed, by a transaction that was sent at `sent_at`.
    pub fn committed(&mut self, tick: &Tick, sent_at: Millis) {
        let sure_after = sent_at + self.limits.stretched(self.limits.start_window);
        for order in &tick.orders {
            let Order::Start {
                worker, task, run, ..
            } = order
            else {
                continue;
            };
            let Some(worker) = self.workers.get_mut(worker) else {
                continue;
            };
            // A start renews the lease up to its own deadline.
            worker.lapses_at = worker.lapses_at.max(sure_after);
            if let Some(entry) = worker.runs.get_mut(task)
                && entry.run == *run
            {
                entry.sure_after = sure_after;
            }
        }
    }

    /// The step of a task, if its job goes on.
    pub(crate) fn step(&self, task: &TaskId) -> Option<&Step> {
        self.jobs.get(&task.job)?.step(task.step)
    }
}
