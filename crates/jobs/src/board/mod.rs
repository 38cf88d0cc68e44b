//! The jobs, their runs, and what happens to them.

mod aged;
mod care;
mod fill;
mod floor;
mod judge;

use crate::{
    action::{Action, Plan},
    fault::{Faults, Sort},
    lease::{Run, Stop},
    limits::Limits,
    row::{Kind, Row, State},
    size::Sizes,
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
/// Methods that take something in note the rows that change; [`Board::plan`] gives them out with
/// the calls, so that a burst of reports or cancellations is one batch.
#[derive(Clone, Debug)]
pub struct Board {
    limits: Limits,
    rows: BTreeMap<id::Job, Row>,
    runs: BTreeMap<id::Job, Run>,
    queue: BTreeMap<id::Account, Lines>,
    sizes: Sizes,
    faults: Faults,
    changed: BTreeSet<id::Job>,
    actions: Vec<Action>,
    /// For each pool, the aged job that an instance is kept free for.
    kept: BTreeMap<id::Pool, (id::Job, id::Instance)>,
    quarantined: BTreeSet<id::Instance>,
    /// Jobs that have failed and are not parked.
    suspects: BTreeSet<id::Job>,
    /// Where the last run of a queued job lapsed: the instance may be cut off without being listed.
    lapsed: BTreeMap<id::Job, id::Instance>,
    /// When the platform's reports were last read.
    read: Duration,
}

/// One account's queued jobs by pool and kind, each line in the order of submission.
type Lines = BTreeMap<Line, BTreeSet<Entry>>;

type Line = (id::Pool, Kind);

type Entry = (Instant, id::Job);

fn line(row: &Row) -> Line {
    (row.pool.clone(), row.kind.clone())
}

fn sort(row: &Row) -> Sort {
    (row.account.clone(), row.kind.clone())
}

impl Board {
    /// A board with the rows of the table, taken over at `now` since the controller's start.
    pub fn open(limits: Limits, rows: impl IntoIterator<Item = Row>, now: Duration) -> Self {
        let mut board = Self {
            limits,
            rows: BTreeMap::new(),
            runs: BTreeMap::new(),
            queue: BTreeMap::new(),
            sizes: Sizes::default(),
            faults: Faults::default(),
            changed: BTreeSet::new(),
            actions: Vec::new(),
            kept: BTreeMap::new(),
            quarantined: BTreeSet::new(),
            suspects: BTreeSet::new(),
            lapsed: BTreeMap::new(),
            read: now,
        };
        for row in rows {
            let id = row.id.clone();
            if row.state.instance().is_some() {
                let run = Run::taken_over(now, &board.limits);
                board.runs.insert(id.clone(), run);
            }
            let cancelling = matches!(row.state, State::Cancelling(_));
            board.add(row);
            if cancelling {
                board.stop(&id);
            }
        }
        board
    }

    /// Adds a job that was submitted and committed.
    pub fn add(&mut self, row: Row) {
        let id = row.id.clone();
        if row.failures > 0 {
            self.suspects.insert(id.clone());
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

    /// What a job needs, as far as is known.
    pub fn size(&self, row: &Row) -> Resources {
        self.sizes
            .of(&row.id, &row.account, &row.kind, row.declared)
    }

    /// Drops a job that has ended; its row may be deleted.
    pub fn remove(&mut self, job: &id::Job) {
        let ended = |row: &Row| row.state.instance().is_none() && row.state != State::Queued;
        if self.rows.get(job).is_some_and(ended) {
            self.rows.remove(job);
        }
    }

    /// Cancels jobs, as one batch: the queued ones at once, the running ones by a stop.
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

    /// A start or renewal of `job` returned, whatever it said.
    pub fn returned(&mut self, job: &id::Job, token: Token, now: Duration) {
        if self.is_current(job, token)
            && let Some(run) = self.runs.get_mut(job)
        {
            run.returned(now, &self.limits);
        }
    }

    /// A stop failed or its answer was lost; the next plan sends it again.
    pub fn not_stopped(&mut self, job: &id::Job, token: Token) {
        if self.is_current(job, token)
            && let Some(run) = self.runs.get_mut(job)
        {
            run.stop = Stop::Again;
        }
    }

    /// A start had no effect, proven; the job goes back to the queue.
    pub fn not_started(&mut self, job: &id::Job, token: Token) {
        if self.is_current(job, token) {
            self.stopped(job);
        }
    }

    /// An instance was repaired or replaced, and may run jobs again without proof.
    pub fn repaired(&mut self, instance: &id::Instance) {
        self.quarantined.remove(instance);
        self.faults.forget(instance);
    }

    /// Takes in what one reading of the reports gave; late and repeated ones have no effect.
    ///
    /// An empty reading counts too: silence on a run says something only while reports are read.
    pub fn report(&mut self, reports: &[Report], now: Duration) {
        self.read = now;
        for report in reports {
            self.take_in(report, now);
        }
    }

    fn take_in(&mut self, report: &Report, now: Duration) {
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
        run.heard = now;
        self.learn(report);
        match report.phase {
            Phase::Running => self.ran(&report.job, now),
            Phase::Done => self.worked(&report.job),
            Phase::Failed => self.failed(&report.job),
            Phase::Stopped => self.stopped(&report.job),
        }
    }

    /// What is to be done now, with the instances as they are and the accounts' fair shares.
    pub fn plan(
        &mut self,
        now: Duration,
        at: Instant,
        workers: &BTreeMap<id::Instance, Worker>,
        weights: &BTreeMap<id::Account, u32>,
    ) -> Plan {
        self.lapse(now);
        self.quarantine();
        self.park();
        self.care(now, workers);
        self.fill(now, at, workers, weights);
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

    fn learn(&mut self, report: &Report) {
        let Some(row) = self.rows.get_mut(&report.job) else {
            return;
        };
        row.checkpoint = row.checkpoint.max(report.checkpoint);
        // What a run that has ended uses, nothing, says little of its size.
        if report.phase == Phase::Running {
            let (job, declared) = (&row.id, row.declared);
            self.sizes
                .learn(job, &row.account, &row.kind, declared, report.usage);
        }
    }

    fn stopped(&mut self, job: &id::Job) {
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

    /// Ends the run of a job, if it has one, and gives it its next state.
    fn end(&mut self, job: &id::Job, next: State) {
        self.runs.remove(job);
        self.lapsed.remove(job);
        self.sizes.forget(job);
        self.dequeue(job);
        if let Some(row) = self.rows.get_mut(job) {
            if next != State::Queued {
                self.suspects.remove(job);
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
            let lines = self.queue.entry(row.account.clone()).or_default();
            let line = lines.entry(line(row)).or_default();
            line.insert((row.submitted, job.clone()));
        }
    }

    fn dequeue(&mut self, job: &id::Job) {
        if let Some(row) = self.rows.get(job)
            && let Some(lines) = self.queue.get_mut(&row.account)
            && let Some(line) = lines.get_mut(&line(row))
        {
            line.remove(&(row.submitted, job.clone()));
        }
    }

    fn stop(&mut self, job: &id::Job) {
        let (Some(row), Some(run)) = (self.rows.get(job), self.runs.get_mut(job)) else {
            return;
        };
        run.stop = Stop::Told;
        self.actions.push(Action::Stop {
            job: job.clone(),
            token: row.token,
        });
    }
}
