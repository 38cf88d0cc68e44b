//! Tasks under leases, with scripted ends and lagging reports.
//!
//! The platform does not prevent overlapping runs: a start with a newer token is accepted even while
//! an older start of the job still runs elsewhere, which it does until its lease expires or it is
//! stopped. Waiting for that is up to the caller that starts the task; [`Ledger::overlaps`] returns
//! the cases where it did not wait. The lease of an older start can no longer be renewed.

mod execution;

pub(super) use execution::State;

use super::{
    Platform, Shared,
    call::{Cost, Effect},
    tally::Kind,
};
use async_trait::async_trait;
use primroseroute_domain::id;
use primroseroute_platform::{
    error::Error,
    fleet,
    task::{Phase, Report, Resources, Start, Tasks, Token},
};
use std::{fmt, sync::Arc, time::Duration};
use tokio::time::Instant;

/// How a task ends if nothing stops it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It succeeds.
    Done,
    /// It fails.
    Failed,
    /// It runs until it is stopped.
    Never,
}

/// Actual behaviour of a task, which may differ from what its start declares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Script {
    /// Run time of the whole task at full speed.
    pub length: Duration,
    /// Resources used at full speed; the declared ones if none.
    pub usage: Option<Resources>,
    /// How it ends.
    pub ending: Ending,
}

impl Default for Script {
    /// Ten seconds of work, resources as declared, and success.
    fn default() -> Self {
        Self {
            length: Duration::from_secs(10),
            usage: None,
            ending: Ending::Done,
        }
    }
}

/// Actual history of one run of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The job.
    pub job: id::Job,
    /// The instance that it ran on.
    pub instance: id::Instance,
    /// The fencing token of its start.
    pub token: Token,
    /// When it began.
    pub began: Instant,
    /// When it ended, and its final phase; none while it runs.
    pub ended: Option<(Instant, Phase)>,
}

impl Run {
    fn overlaps(&self, later: &Self) -> bool {
        self.ended.is_none_or(|(ended, _)| later.began < ended)
            && later.ended.is_none_or(|(ended, _)| self.began < ended)
    }
}

/// Two runs of one job that were active at the same time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overlap {
    /// The run that began first.
    pub first: Run,
    /// The run that began while the first was still active.
    pub second: Run,
}

/// Control and inspection of the simulated tasks, for tests.
#[derive(Clone)]
pub struct Ledger {
    shared: Arc<Shared>,
}

impl fmt::Debug for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ledger").finish_non_exhaustive()
    }
}

impl Ledger {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Sets the behaviour of later starts of `job`.
    pub fn script_job(&self, job: id::Job, script: Script) {
        self.shared.tasks.lock().jobs.insert(job, script);
    }

    /// Sets how every later start on `instance` ends; `None` returns to the job's script.
    pub fn script_instance(&self, instance: id::Instance, ending: Option<Ending>) {
        let mut tasks = self.shared.tasks.lock();
        match ending {
            Some(ending) => tasks.instances.insert(instance, ending),
            None => tasks.instances.remove(&instance),
        };
    }

    /// Sets the age of the reports.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.tasks.lock().lag = lag;
    }

    /// All runs so far, in the order of their starts.
    pub fn runs(&self) -> Vec<Run> {
        let mut tasks = self.shared.tasks.lock();
        tasks.finish_due_runs(Instant::now());
        tasks
            .runs
            .iter()
            .map(|execution| execution.run.clone())
            .collect()
    }

    /// All pairs of runs of one job that were active at the same time.
    pub fn overlaps(&self) -> Vec<Overlap> {
        let runs = self.runs();
        let mut overlaps = Vec::new();
        for (index, first) in runs.iter().enumerate() {
            let later = runs[index + 1..].iter();
            overlaps.extend(
                later
                    .filter(|second| second.job == first.job && first.overlaps(second))
                    .map(|second| Overlap {
                        first: first.clone(),
                        second: second.clone(),
                    }),
            );
        }
        overlaps
    }
}

impl Platform {
    /// Passes a call about tasks through the stages of every call.
    async fn task_call(
        &self,
        kind: Kind,
        change: impl FnOnce(&mut State, Instant) -> Result<(), Error> + Send + 'static,
    ) -> Result<(), Error> {
        self.call(kind, Cost::Free, move |shared| {
            change(&mut shared.tasks.lock(), Instant::now()).map(Effect::of)
        })
        .await
    }
}

#[async_trait]
impl Tasks for Platform {
    async fn start(&self, start: Start) -> Result<(), Error> {
        self.call(Kind::StartTask, Cost::Free, move |shared| {
            let now = Instant::now();
            let phase = shared.fleet.lock().phase(&start.instance, now);
            if matches!(phase, Some(fleet::Phase::Gone | fleet::Phase::Rebooting)) {
                let detail = format!("instance `{}` runs nothing now", start.instance);
                return Err(Error::Invalid(detail));
            }
            shared.tasks.lock().start(start, now).map(Effect::of)
        })
        .await
    }

    async fn renew(&self, job: &id::Job, token: Token, lease: Duration) -> Result<(), Error> {
        let job = job.clone();
        self.task_call(Kind::RenewTask, move |tasks, now| {
            tasks.renew(&job, token, lease, now)
        })
        .await
    }

    async fn checkpoint(&self, job: &id::Job, token: Token) -> Result<(), Error> {
        let job = job.clone();
        self.task_call(Kind::CheckpointTask, move |tasks, now| {
            let execution = tasks.running(&job, token, now)?;
            execution.checkpoint(now);
            Ok(())
        })
        .await
    }

    async fn throttle(&self, job: &id::Job, token: Token, fraction: f64) -> Result<(), Error> {
        if !(0.0..=1.0).contains(&fraction) {
            return Err(Error::Invalid(format!("{fraction} is not from 0 to 1")));
        }
        let job = job.clone();
        self.task_call(Kind::ThrottleTask, move |tasks, now| {
            tasks.running(&job, token, now)?.set_speed(fraction, now);
            Ok(())
        })
        .await
    }

    async fn stop(&self, job: &id::Job, token: Token) -> Result<(), Error> {
        let job = job.clone();
        self.task_call(Kind::StopTask, move |tasks, now| {
            if let Ok(execution) = tasks.running(&job, token, now) {
                execution.stop(now);
            }
            Ok(())
        })
        .await
    }

    async fn reports(&self) -> Result<Vec<Report>, Error> {
        self.call(Kind::TaskReports, Cost::Free, |shared| {
            let now = Instant::now();
            let mut tasks = shared.tasks.lock();
            tasks.finish_due_runs(now);
            let at = now.checked_sub(tasks.lag).unwrap_or(now);
            let as_of = shared.wall(at);
            let reports: Vec<_> = tasks
                .runs
                .iter()
                .filter_map(|execution| execution.report(at, as_of))
                .collect();
            Ok(Effect {
                rows: reports.len() as u64,
                bytes: 0,
                answer: reports,
            })
        })
        .await
    }
}
