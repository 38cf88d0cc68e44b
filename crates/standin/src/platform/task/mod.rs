//! Tasks under leases, with scripted endings and lagging reports.
//!
//! The platform promises little: a start with a newer token is taken even while an older start of
//! the job still runs elsewhere, until that one's lease lapses or it is stopped. It is the
//! starter's duty to wait, and [`Ledger::overlaps`] shows where it did not. An older start can no
//! longer be renewed.

mod work;

pub(super) use work::State;

use super::{
    Platform, Shared,
    gate::{Cost, Done},
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

/// How a task ends when it is left to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It is done.
    Done,
    /// It fails.
    Failed,
    /// It never ends by itself.
    Never,
}

/// What a task truly does, whatever was declared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Script {
    /// The whole work at full speed.
    pub length: Duration,
    /// What it uses at full speed; none for just what was declared.
    pub usage: Option<Resources>,
    /// How it ends.
    pub ending: Ending,
}

impl Default for Script {
    /// Ten seconds of work, sizes as declared, and a good end.
    fn default() -> Self {
        Self {
            length: Duration::from_secs(10),
            usage: None,
            ending: Ending::Done,
        }
    }
}

/// One run of a job, as it truly was.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The job.
    pub job: id::Job,
    /// Where it ran.
    pub instance: id::Instance,
    /// The start.
    pub token: Token,
    /// When it began.
    pub began: Instant,
    /// When and how it ended; none while it runs.
    pub ended: Option<(Instant, Phase)>,
}

impl Run {
    fn overlaps(&self, later: &Self) -> bool {
        self.ended.is_none_or(|(ended, _)| later.began < ended)
            && later.ended.is_none_or(|(ended, _)| self.began < ended)
    }
}

/// Two runs of one job at the same time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overlap {
    /// The run that began first.
    pub first: Run,
    /// The run that began while the first still ran.
    pub second: Run,
}

/// What the platform knows of tasks; a test scripts and inspects them here.
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

    /// Sets what later starts of `job` do.
    pub fn script_job(&self, job: id::Job, script: Script) {
        self.shared.tasks.lock().jobs.insert(job, script);
    }

    /// Sets how every later start on `instance` ends; none for as the job's script says.
    pub fn script_instance(&self, instance: id::Instance, ending: Option<Ending>) {
        let mut tasks = self.shared.tasks.lock();
        match ending {
            Some(ending) => tasks.instances.insert(instance, ending),
            None => tasks.instances.remove(&instance),
        };
    }

    /// Sets how far the reports lag behind.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.tasks.lock().lag = lag;
    }

    /// Every run so far, in the order of their starts.
    pub fn runs(&self) -> Vec<Run> {
        let mut tasks = self.shared.tasks.lock();
        tasks.settle(Instant::now());
        tasks.work.iter().map(|work| work.run.clone()).collect()
    }

    /// Every two runs of one job that were ever under way at the same time.
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
    /// Passes a call on tasks through the stages.
    async fn task_call(
        &self,
        kind: Kind,
        change: impl FnOnce(&mut State, Instant) -> Result<(), Error> + Send + 'static,
    ) -> Result<(), Error> {
        self.call(kind, Cost::Free, move |shared| {
            change(&mut shared.tasks.lock(), Instant::now()).map(Done::of)
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
            shared.tasks.lock().start(start, now).map(Done::of)
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
            let work = tasks.running(&job, token, now)?;
            work.checkpoint(now);
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
            if let Ok(work) = tasks.running(&job, token, now) {
                work.stop(now);
            }
            Ok(())
        })
        .await
    }

    async fn reports(&self) -> Result<Vec<Report>, Error> {
        self.call(Kind::TaskReports, Cost::Free, |shared| {
            let now = Instant::now();
            let mut tasks = shared.tasks.lock();
            tasks.settle(now);
            let at = now.checked_sub(tasks.lag).unwrap_or(now);
            let as_of = shared.wall(at);
            let reports: Vec<_> = tasks
                .work
                .iter()
                .filter_map(|work| work.report(at, as_of))
                .collect();
            Ok(Done {
                rows: reports.len() as u64,
                bytes: 0,
                answer: reports,
            })
        })
        .await
    }
}
