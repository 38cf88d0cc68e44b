//! Jobs, their runs, and the decisions about them.

mod aged;
mod assign;
mod candidates;
mod results;
mod runs;

use crate::{
    action::{Action, Plan},
    fault::{FaultTracker, JobClass},
    lease::{Run, Stop},
    limits::Limits,
    row::{Kind, Row, State},
    size::SizeEstimator,
    worker::Worker,
};
use primroseroute_domain::{id, time::Instant};
use primroseroute_platform::task::{Phase, Report, Resources, Token};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// The jobs of all pools.
///
/// Methods that apply inputs record the changed rows; [`Scheduler::plan`] returns them with the calls,
/// so that a burst of reports or cancellations forms one batch.
#[derive(Clone, Debug)]
pub struct Scheduler {
    limits: Limits,
    rows: BTreeMap<id::Job, Row>,
    runs: BTreeMap<id::Job, Run>,
    queue: BTreeMap<id::Account, AccountQueue>,
    sizes: SizeEstimator,
    fault_tracker: FaultTracker,
    changed: BTreeSet<id::Job>,
    actions: Vec<Action>,
    /// For each pool, the aged job for which an instance is reserved, and that instance.
    reserved: BTreeMap<id::Pool, (id::Job, id::Instance)>,
    quarantined: BTreeSet<id::Instance>,
    /// Jobs that have failed and are not parked.
    failed_jobs: BTreeSet<id::Job>,
    /// Instance on which the lease of a queued job last expired: it may be partitioned without being
    /// listed as such.
    expired_on: BTreeMap<id::Job, id::Instance>,
    /// When the platform's reports were last read.
    reports_read_at: Duration,
}

/// One account's queued jobs by pool and kind, each queue in the order of submission.
type AccountQueue = BTreeMap<QueueKey, BTreeSet<Entry>>;

type QueueKey = (id::Pool, Kind);

type Entry = (Instant, id::Job);

fn queue_key(row: &Row) -> QueueKey {
    (row.pool.clone(), row.kind.clone())
}

fn job_class(row: &Row) -> JobClass {
    (row.account.clone(), row.kind.clone())
}

impl Scheduler {
    /// Restores the state from the rows of the table, at a takeover `now` after the controller's start.
    pub fn restore(limits: Limits, rows: impl IntoIterator<Item = Row>, now: Duration) -> Self {
        let mut scheduler = Self {
            limits,
            rows: BTreeMap::new(),
            runs: BTreeMap::new(),
            queue: BTreeMap::new(),
            sizes: SizeEstimator::default(),
            fault_tracker: FaultTracker::default(),
            changed: BTreeSet::new(),
            actions: Vec::new(),
            reserved: BTreeMap::new(),
            quarantined: BTreeSet::new(),
            failed_jobs: BTreeSet::new(),
            expired_on: BTreeMap::new(),
            reports_read_at: now,
        };
        for row in rows {
            let id = row.id.clone();
            if row.state.instance().is_some() {
                let run = Run::taken_over(now, &scheduler.limits);
                scheduler.runs.insert(id.clone(), run);
            }
            let cancelling = matches!(row.state, State::Cancelling(_));
            scheduler.add(row);
            if cancelling {
                scheduler.stop(&id);
            }
        }
        scheduler
    }

    /// Adds a job that was submitted and committed.
    pub fn add(&mut self, row: Row) {
        let id = row.id.clone();
        if row.failures > 0 {
            self.failed_jobs.insert(id.clone());
        }
        self.rows.insert(id.clone(), row);
        self.enqueue(&id);
    }

    /// The row of a job.
    pub fn row(&self, job: &id::Job) -> Option<&Row> {
        self.rows.get(job)
    }

    /// All rows, in the order of their names.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// The estimated size of a job.
    pub fn size(&self, row: &Row) -> Resources {
        self.sizes
            .estimate(&row.id, &row.account, &row.kind, row.declared)
    }

    /// Drops a job that has ended; its row may be deleted.
    pub fn remove(&mut self, job: &id::Job) {
        let ended = |row: &Row| row.state.instance().is_none() && row.state != State::Queued;
        if self.rows.get(job).is_some_and(ended) {
            self.rows.remove(job);
        }
    }

    /// Cancels jobs as one batch: queued ones at once, running ones by a stop.
    pub fn cancel<'a>(&mut self, jobs: impl IntoIterator<Item = &'a id::Job>) {
        for job in jobs {
            let Some(row) = self.rows.get_mut(job) else {
                continue;
            };
            match &row.state {
                State::Queued | State::Parked(_) => self.end(job, State::Cancelled),
                State::Running(instance) => {
                    row.state = State::Cancelling(instance.clone());
                    self.changed.insert(job.clone());
                    self.stop(job);
                }
                State::Cancelling(_) | State::Cancelled | State::Done => {}
            }
        }
    }

    /// Records that a start or renewal of `job` returned, whatever its result.
    pub fn call_returned(&mut self, job: &id::Job, token: Token, now: Duration) {
        if self.is_current(job, token)
            && let Some(run) = self.runs.get_mut(job)
        {
            run.call_returned(now, &self.limits);
        }
    }

    /// Records that a stop failed or its response was lost; the next plan sends it again.
    pub fn stop_unconfirmed(&mut self, job: &id::Job, token: Token) {
        if self.is_current(job, token)
            && let Some(run) = self.runs.get_mut(job)
        {
            run.stop = Stop::Resend;
        }
    }

    /// Records that a start certainly had no effect; the job returns to the queue.
    pub fn start_not_applied(&mut self, job: &id::Job, token: Token) {
        if self.is_current(job, token) {
            self.record_stopped(job);
        }
    }

    /// Records that an instance was repaired or replaced; it may run jobs again and is unproven.
    pub fn instance_repaired(&mut self, instance: &id::Instance) {
        self.quarantined.remove(instance);
        self.fault_tracker.reset_instance(instance);
    }

    /// Applies the reports of one read; late and repeated ones have no effect.
    ///
    /// An empty read counts too: the absence of a run is significant only while reports are read.
    pub fn apply_reports(&mut self, reports: &[Report], now: Duration) {
        self.reports_read_at = now;
        for report in reports {
            self.apply_report(report, now);
        }
    }

    fn apply_report(&mut self, report: &Report, now: Duration) {
        if !self.is_current(&report.job, report.token) {
            return;
        }
        let Some(run) = self.runs.get_mut(&report.job) else {
            return;
        };
        if run.as_of.is_some_and(|as_of| report.as_of <= as_of) {
            return;
        }
        run.as_of = Some(report.as_of);
        run.reported_at = now;
        self.record_usage(report);
        match report.phase {
            Phase::Running => self.record_running(&report.job, now),
            Phase::Done => self.record_done(&report.job),
            Phase::Failed => self.record_failed(&report.job),
            Phase::Stopped => self.record_stopped(&report.job),
        }
    }

    /// Plans rows and actions for the current instances and the accounts' weights.
    pub fn plan(
        &mut self,
        now: Duration,
        at: Instant,
        workers: &BTreeMap<id::Instance, Worker>,
        weights: &BTreeMap<id::Account, u32>,
    ) -> Plan {
        self.requeue_expired(now);
        self.quarantine_faulty();
        self.park_faulty();
        self.update_runs(now, workers);
        self.assign_queued(now, at, workers, weights);
        let changed = std::mem::take(&mut self.changed);
        Plan {
            rows: changed
                .iter()
                .filter_map(|job| self.rows.get(job))
                .cloned()
                .collect(),
            actions: std::mem::take(&mut self.actions),
        }
    }

    fn is_current(&self, job: &id::Job, token: Token) -> bool {
        self.rows.get(job).is_some_and(|row| row.token == token) && self.runs.contains_key(job)
    }

    fn record_usage(&mut self, report: &Report) {
        let Some(row) = self.rows.get_mut(&report.job) else {
            return;
        };
        row.checkpoint = row.checkpoint.max(report.checkpoint);
        // A run that has ended uses nothing, which says nothing about its size.
        if report.phase == Phase::Running {
            let (job, declared) = (&row.id, row.declared);
            self.sizes
                .record(job, &row.account, &row.kind, declared, report.usage);
        }
    }

    fn record_stopped(&mut self, job: &id::Job) {
        let cancelled = self
            .rows
            .get(job)
            .is_some_and(|row| matches!(row.state, State::Cancelling(_)));
        let next = if cancelled {
            State::Cancelled
        } else {
            State::Queued
        };
        self.end(job, next);
    }

    /// Ends the run of a job, if there is one, and sets its next state.
    fn end(&mut self, job: &id::Job, next: State) {
        self.runs.remove(job);
        self.expired_on.remove(job);
        self.sizes.forget_run(job);
        self.dequeue(job);
        if let Some(row) = self.rows.get_mut(job) {
            if next != State::Queued {
                self.failed_jobs.remove(job);
            }
            row.state = next;
            self.changed.insert(job.clone());
        }
        self.enqueue(job);
    }

    fn enqueue(&mut self, job: &id::Job) {
        if let Some(row) = self.rows.get(job)
            && row.state == State::Queued
        {
            let queues = self.queue.entry(row.account.clone()).or_default();
            let entries = queues.entry(queue_key(row)).or_default();
            entries.insert((row.submitted, job.clone()));
        }
    }

    fn dequeue(&mut self, job: &id::Job) {
        if let Some(row) = self.rows.get(job)
            && let Some(queues) = self.queue.get_mut(&row.account)
            && let Some(entries) = queues.get_mut(&queue_key(row))
        {
            entries.remove(&(row.submitted, job.clone()));
        }
    }

    fn stop(&mut self, job: &id::Job) {
        let (Some(row), Some(run)) = (self.rows.get(job), self.runs.get_mut(job)) else {
            return;
        };
        run.stop = Stop::Sent;
        self.actions.push(Action::Stop {
            job: job.clone(),
            token: row.token,
        });
    }
}
