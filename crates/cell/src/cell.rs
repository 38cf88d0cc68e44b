//! State of the cell and its inputs.

use crate::{
    advice::{self, Policy},
    arrivals::{Arrivals, Inflow},
    crash::PoisonTask,
    hold::Hold,
    inventory::Capability,
    job::{HasStarted, Job},
    limits::{Limits, Millis},
    marking::Marking,
    order::{AdviceRequest, Loss, Order, Outcome, RoundOutput},
    placement::{self, Move},
    row::{Accepted, Phase, Progress, overflow::Overflow},
    run_times::{RunTimes, Terms},
    scaling::RecentEstimates,
    worker::{Origin, Run, StartState, StopState, Worker},
};
use primroseroute_accounts::meter::{Limit, Meter};
use primroseroute_admission::Backlog;
use primroseroute_domain::work::{Demand, JobId, Name, State, Step, StepId, TaskId};
use primroseroute_platform::worker::{Ended, Refusal, WorkerStatus};
use std::collections::{BTreeMap, BTreeSet};

/// A pool's jobs and workers, as known to their owner.
#[derive(Clone, Debug)]
pub struct Cell {
    pub(crate) limits: Limits,
    /// When this owner took over.
    pub(crate) taken_at: Millis,
    /// All jobs and cancels that were stored by this time are known; `None` before the first read.
    pub(crate) feed_watermark: Option<Millis>,
    pub(crate) workers: BTreeMap<Name, Worker>,
    /// Unfinished jobs.
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Finished jobs whose rows are still stored, with the wall-clock time of their end.
    pub(crate) finished: BTreeMap<JobId, u64>,
    /// Jobs whose rows were deleted recently, with the wall-clock time of the deletion.
    pub(crate) deleted: BTreeMap<JobId, u64>,
    /// Jobs with uncommitted progress.
    pub(crate) dirty: BTreeSet<JobId>,
    /// Jobs whose rows the store refuses.
    pub(crate) holds: BTreeMap<JobId, Hold>,
    /// Stored rows besides their own of jobs that have ended; they are deleted.
    pub(crate) stale_overflow: BTreeMap<JobId, Overflow>,
    /// Since when a long-running task has found no free capacity.
    pub(crate) unplaced_since: BTreeMap<TaskId, Millis>,
    /// Tasks that were running when workers crashed, with the number of crashes attributed to each.
    pub(crate) crashed: BTreeMap<TaskId, usize>,
    /// Workers that are reserved for isolated runs of such tasks.
    pub(crate) isolation_workers: BTreeSet<Name>,
    /// Number of additional workers that waiting tasks of a spread step need.
    pub(crate) spread_shortage: u64,
    /// Workers to poll at once because isolated runs wait for their status.
    pub(crate) poll_requests: Vec<Name>,
    /// Runs lost with their workers since the last round.
    pub(crate) losses: Vec<Loss>,
    /// Tasks abandoned since the last round.
    pub(crate) poison_tasks: Vec<PoisonTask>,
    /// Tasks whose crash records were cleared since the last round.
    pub(crate) crashes_cleared: Vec<TaskId>,
    /// What the pool's workers and the instances of the fleet can run.
    pub(crate) capability: Capability,
    /// Whether the pool's part of `capability` is to be computed anew.
    pub(crate) capacities_changed: bool,
    /// Waiting steps that no instance can run, as of the last round.
    pub(crate) unplaceable: BTreeSet<(JobId, u16)>,
    /// Number of queued jobs by queue, as of the last round.
    pub(crate) queued_counts: BTreeMap<Name, u64>,
    /// Workers that a list has shown to be no longer slow since the last round.
    pub(crate) recovered: Vec<Name>,
    /// Tasks that were moved off slow workers recently.
    pub(crate) moves: BTreeMap<TaskId, Move>,
    /// Recent estimates of the number of workers that the pool can use.
    pub(crate) estimates: RecentEstimates,
    /// Rate of incoming work.
    pub(crate) arrivals: Arrivals,
    /// Learned run times of tasks.
    pub(crate) run_times: RunTimes,
    /// How the objectives of jobs follow from their run times, by queue.
    pub(crate) queue_terms: BTreeMap<Name, Terms>,
    /// What the accounts use, and may use, in the pool.
    pub(crate) meter: Meter,
    /// Which jobs are within the entitlements of their accounts.
    pub(crate) marking: Marking,
    /// Workers that are reserved for a step that has waited for long.
    pub(crate) aged_reservation: Option<placement::Reservation>,
    /// Queues whose starts need a ticket.
    pub(crate) advised_queues: BTreeSet<Name>,
    /// What the advice service has said about workers, by step.
    pub(crate) policies: BTreeMap<StepId, Policy>,
    /// Whether there may be runs of ended jobs whose stops haven't been collected yet.
    pub(crate) stops_due: bool,
    /// When stops were last collected.
    pub(crate) stops_collected_at: Millis,
    /// Time of the last round.
    pub(crate) round_at: Millis,
}

impl Cell {
    /// A cell that was taken over at `now` and has no information yet.
    pub fn new(limits: Limits, now: Millis) -> Self {
        Self {
            limits,
            taken_at: now,
            feed_watermark: None,
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            finished: BTreeMap::new(),
            deleted: BTreeMap::new(),
            dirty: BTreeSet::new(),
            holds: BTreeMap::new(),
            stale_overflow: BTreeMap::new(),
            unplaced_since: BTreeMap::new(),
            crashed: BTreeMap::new(),
            isolation_workers: BTreeSet::new(),
            spread_shortage: 0,
            poll_requests: Vec::new(),
            losses: Vec::new(),
            poison_tasks: Vec::new(),
            crashes_cleared: Vec::new(),
            capability: Capability::default(),
            capacities_changed: false,
            unplaceable: BTreeSet::new(),
            queued_counts: BTreeMap::new(),
            recovered: Vec::new(),
            moves: BTreeMap::new(),
            estimates: RecentEstimates::default(),
            arrivals: Arrivals::default(),
            run_times: RunTimes::default(),
            queue_terms: BTreeMap::new(),
            meter: Meter::default(),
            marking: Marking::default(),
            aged_reservation: None,
            advised_queues: BTreeSet::new(),
            policies: BTreeMap::new(),
            stops_due: false,
            stops_collected_at: now,
            round_at: now,
        }
    }

    /// Adds an accepted job; does nothing if the job is known already.
    pub fn accept(&mut self, id: JobId, accepted: Accepted) {
        let over = self.finished.contains_key(&id) || self.deleted.contains_key(&id);
        if !over && !self.jobs.contains_key(&id) {
            let Accepted { queue, job, .. } = &accepted;
            let capability = &self.capability;
            self.arrivals
                .accept(queue, job, &self.run_times, capability);
            self.marking.add(&id, &accepted);
            let job = Job::new(accepted, &mut self.meter);
            self.jobs.insert(id, job);
        }
    }

    /// Adds a job with the progress that a previous owner has committed.
    ///
    /// Its placed runs may or may not be under way: the previous owner may have stopped between the
    /// commit and the call, so only worker statuses tell. A worker that has answered a status poll
    /// of this owner has seen its token and refuses whatever a previous owner sent: a run that its
    /// status doesn't list never begins. On a worker that can't be polled, no start of a previous
    /// owner takes effect later than the start window after the takeover, since its deadline was
    /// fixed by a commit before that. Waiting for that window on all workers kept tasks from
    /// starting for as long as owners followed each other in less time.
    pub fn restore(&mut self, id: JobId, accepted: Accepted, progress: Progress) {
        let Accepted { queue, job, .. } = &accepted;
        let capability = &self.capability;
        self.arrivals
            .add_restored(queue, job, &self.run_times, capability);
        if !self.finished.contains_key(&id) && !self.jobs.contains_key(&id) {
            self.marking.add(&id, &accepted);
        }
        if let Some(ended) = progress.ended_ms {
            self.finished.insert(id, ended);
            return;
        }
        let job = Job::restored(accepted, progress, &mut self.meter);
        let lease_expires_at = self.taken_at + self.limits.max_local_span(self.limits.start_window);
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
                    let long_running = shape.is_some_and(|step| step.lasting);
                    let run = Run {
                        start_state: StartState::Uncertain,
                        start_expires_at: self.taken_at,
                        stop: if leaves {
                            StopState::Requested
                        } else {
                            StopState::No
                        },
                        // The previous owner may have sent it.
                        last_stop_sent_at: leaves.then_some(self.taken_at),
                        origin: Origin::Discovered,
                        incarnation_tag: task.incarnation_tag,
                        charge: job.charge(step),
                        ..Run::new(task.run, reserved, long_running)
                    };
                    let worker = self.worker(worker);
                    worker.lease_expires_at = worker.lease_expires_at.max(lease_expires_at);
                    worker.runs.insert(id, run);
                }
            }
        }
        self.jobs.insert(id, job);
    }

    /// Records which rows are stored besides a job's own.
    pub fn set_stored_overflow(&mut self, id: JobId, overflow: Overflow) {
        match self.jobs.get_mut(&id) {
            Some(job) => job.overflow = overflow,
            None => {
                self.stale_overflow.insert(id, overflow);
            }
        }
    }

    /// Records that the rows of a finished job are deleted.
    pub fn record_rows_deleted(&mut self, id: JobId, wall_ms: u64) {
        self.finished.remove(&id);
        self.deleted.insert(id, wall_ms);
    }

    /// Applies a committed cancel. Returns the number of runs to stop, or `None` if the job has
    /// ended or isn't known.
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

    /// Ends a job: its runs are to be stopped, and its final state is to be committed.
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
        // A job whose tasks were started once each and are done has no runs and no waiting tasks.
        let may_have_runs = job.may_have_other_runs || state != State::Completed;
        if may_have_runs {
            self.unplaced_since.retain(|task, _since| task.job != *id);
            self.stop_all(id);
        }
    }

    /// Requests a stop of all runs of a job.
    fn stop_all(&mut self, id: &JobId) {
        self.stops_due = true;
        for worker in self.workers.values_mut() {
            for (task, run) in &mut worker.runs {
                if task.job == *id && run.stop == StopState::No {
                    run.stop = StopState::Requested;
                }
            }
        }
    }

    /// The ended runs of a worker status that weren't recorded before.
    pub fn new_ends<'a>(
        &self,
        worker: &Name,
        status: &'a WorkerStatus,
    ) -> impl Iterator<Item = &'a Ended> {
        let worker = self.workers.get(worker);
        let same_incarnation = worker.filter(|worker| worker.incarnation == status.born);
        let seen = same_incarnation.map_or(0, |worker| worker.last_end);
        status.ended.iter().filter(move |ended| ended.number > seen)
    }

    /// Applies a worker status that was requested at `sent_at` and received at `now`.
    pub fn apply_status(
        &mut self,
        worker: &Name,
        status: &WorkerStatus,
        sent_at: Millis,
        now: Millis,
        wall_ms: u64,
    ) {
        crate::status::apply(self, worker, status, sent_at, now, wall_ms);
    }

    /// Applies the outcome of a start.
    pub fn record_start_outcome(
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
                // The deadline was on the clock of the incarnation that was known; if the next one
                // has accepted the start, the lease expires later.
                let lease_expires_at = now + limits.max_local_span(limits.lease);
                found.lease_expires_at = found.lease_expires_at.max(lease_expires_at);
                if !matches!(entry.start_state, StartState::Confirmed(_)) {
                    entry.start_state = StartState::Confirmed(now);
                    entry.started_at = entry.trace.began_at_zero.then_some(now);
                    entry.trace.confirm(now);
                }
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.has_started = HasStarted::Yes;
                }
            }
            Outcome::Unknown => {
                if entry.start_state == StartState::Sent {
                    entry.start_state = StartState::Uncertain;
                    // A stop resolves it: the worker refuses the run from then on. Waiting for the
                    // start's deadline instead would delay the task by seconds.
                    if entry.stop == StopState::No {
                        entry.stop = StopState::Requested;
                    }
                }
            }
            Outcome::Refused(refusal) => {
                if matches!(
                    refusal,
                    Refusal::Unhealthy | Refusal::Room | Refusal::Malformed
                ) {
                    found.cordoned_until = found.cordoned_until.max(now + limits.overload_backoff);
                }
                found.runs.remove(task);
                if refusal == Refusal::Ticket {
                    advice::ticket_refused(self, task, worker);
                }
                self.back_to_waiting(worker, task, run, None);
            }
            Outcome::Withdrawn => self.withdraw(worker, task, run),
            Outcome::Unsent => {
                // The worker can't be reached: it gets no new runs until a status poll succeeds.
                found.status_at = None;
                found.runs.remove(task);
                self.back_to_waiting(worker, task, run, None);
            }
        }
    }

    /// Sets the limits of accounts in this pool; accounts that aren't named have none.
    pub fn set_account_limits(&mut self, limits: &BTreeMap<Name, Limit>) {
        self.meter.set_limits(limits);
    }

    /// Sets the weights of accounts; accounts that aren't named have none. Jobs are marked once
    /// weights are known.
    pub fn set_account_weights<'a>(&mut self, weights: impl Iterator<Item = (&'a Name, f64)>) {
        let weights: Vec<(&Name, f64)> = weights.collect();
        self.meter.set_weights(weights.iter().copied());
        self.marking.set_weights(weights.into_iter());
    }

    /// What the accounts use, as of the last round.
    pub fn account_usage(&self) -> &Meter {
        &self.meter
    }

    /// Counts what the accounts may have running.
    pub(crate) fn count_account_usage(&mut self) {
        let capacity = self.capacities().fold(Demand::default(), Demand::plus);
        let workers = self.workers.values();
        let runs = workers.flat_map(|worker| worker.runs.values());
        self.meter
            .recount(capacity, runs.filter_map(|run| run.charge));
    }

    /// Sets the terms of queues; the objectives of jobs of other queues stay as they were accepted.
    pub fn set_queue_terms(&mut self, terms: BTreeMap<Name, Terms>) {
        self.queue_terms = terms;
    }

    /// Sets the queues whose starts need a ticket.
    pub fn set_advised_queues(&mut self, queues: BTreeSet<Name>) {
        self.advised_queues = queues;
    }

    /// Applies the answer to an advice request that was sent at `sent_at`: tickets by worker and
    /// how long they are valid; `None` if there was no answer.
    pub fn record_advice(
        &mut self,
        request: &AdviceRequest,
        answer: Option<(BTreeMap<Name, Name>, Millis)>,
        sent_at: Millis,
        now: Millis,
    ) {
        advice::apply_answer(self, request, answer, sent_at, now);
    }

    /// Records that a worker has accepted the stop of a run. Returns whether only a later status
    /// poll will tell what became of the run, because it may never have started and so may have no
    /// end to report.
    pub fn record_stop_accepted(
        &mut self,
        worker: &Name,
        task: &TaskId,
        run: u32,
        now: Millis,
    ) -> bool {
        let worker = self.workers.get_mut(worker);
        let entry = worker.and_then(|worker| worker.runs.get_mut(task));
        let Some(entry) = entry.filter(|entry| entry.run == run) else {
            return false;
        };
        entry.stop_accepted_at.get_or_insert(now);
        entry.start_state == StartState::Uncertain
    }

    /// A run is over without having completed its task: the task waits again, if this was its
    /// newest run.
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
        if job.has_started == HasStarted::Presumed {
            job.has_started = HasStarted::No;
        }
        self.dirty.insert(id.job.clone());
    }

    /// Number of jobs by queue of which no task has started, as of the last round.
    pub fn queued(&self) -> &BTreeMap<Name, u64> {
        &self.queued_counts
    }

    /// What arrives in the queue that adds the most work, as of the last round.
    pub fn largest_inflow(&self) -> Option<Inflow> {
        self.arrivals.largest_inflow()
    }

    /// Computes the counts that [`Self::queued`] returns.
    pub(crate) fn count_queued(&self) -> BTreeMap<Name, u64> {
        let mut counts = BTreeMap::new();
        for job in self.jobs.values() {
            if job.has_started == HasStarted::No {
                *counts.entry(Name::clone(&job.accepted.queue)).or_default() += 1;
            }
        }
        counts
    }

    /// The unfinished work of each account, as of the last round. `largest_worker` isn't set here:
    /// see [`Self::largest_host`].
    pub fn backlog(&self, wall_ms: u64) -> Backlog {
        crate::backlog::backlog(self, wall_ms)
    }

    /// The work of a batch task in core-milliseconds, by the same estimates as the backlog's; 0 for
    /// one that is completed or isn't known.
    pub fn task_core_ms(&self, task: &TaskId) -> u64 {
        crate::backlog::task_core_ms(self, task)
    }

    /// Whether a job was accepted, including one that has ended and whose rows may be deleted.
    pub fn is_known(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
            || self.finished.contains_key(id)
            || self.deleted.contains_key(id)
    }

    /// Runs one round of decisions: rows to commit, and orders to send after that.
    pub fn run_round(&mut self, now: Millis, wall_ms: u64) -> RoundOutput {
        crate::round::run(self, now, wall_ms)
    }

    /// Stops that are due for runs of ended jobs.
    pub fn immediate_stops(&mut self, now: Millis) -> Vec<Order> {
        crate::round::immediate_stops(self, now)
    }

    /// Records that `output` is committed, by a transaction that was sent at `sent_at`.
    pub fn record_commit(&mut self, output: &RoundOutput, sent_at: Millis) {
        self.settle(output);
        let start_expires_at = sent_at + self.limits.max_local_span(self.limits.start_window);
        for order in &output.orders {
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
            worker.lease_expires_at = worker.lease_expires_at.max(start_expires_at);
            if let Some(entry) = worker.runs.get_mut(task)
                && entry.run == *run
            {
                entry.start_expires_at = start_expires_at;
            }
        }
    }

    /// The step of a task, if its job is unfinished.
    pub(crate) fn step(&self, task: &TaskId) -> Option<&Step> {
        self.jobs.get(&task.job)?.step(task.step)
    }
}
