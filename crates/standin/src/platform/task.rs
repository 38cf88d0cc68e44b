//! Tasks under leases, with scripted endings and lagging reports.
//!
//! The platform promises little: a start with a newer token is taken even while an older start of
//! the job still runs elsewhere, until that one's lease lapses or it is stopped. It is the
//! starter's duty to wait, and [`Ledger::overlaps`] shows where it did not. An older start can no
//! longer be renewed.

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
use std::{collections::BTreeMap, fmt, sync::Arc, time::Duration};
use tokio::time::Instant;

/// How long a report of an ended task is kept.
const RETENTION: Duration = Duration::from_secs(600);

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

#[derive(Debug)]
struct Work {
    run: Run,
    resources: Resources,
    script: Script,
    lease_end: Instant,
    /// The part done at `since`, which grows by `speed` over the script's length.
    done: f64,
    since: Instant,
    speed: f64,
    /// What the checkpoints held, from an instant on.
    checkpoints: Vec<(Instant, f64)>,
}

impl Work {
    fn progress(&self, at: Instant) -> f64 {
        let spent = at.saturating_duration_since(self.since).as_secs_f64();
        let length = self.script.length.as_secs_f64().max(f64::MIN_POSITIVE);
        (self.done + spent * self.speed / length).min(1.0)
    }

    /// When the work is through, at today's speed.
    fn through_at(&self) -> Option<Instant> {
        if self.script.ending == Ending::Never || self.speed <= 0.0 {
            return None;
        }
        let left = self.script.length.mul_f64(1.0 - self.done);
        Some(self.since + left.div_f64(self.speed))
    }

    fn settle(&mut self, now: Instant) {
        if self.run.ended.is_some() {
            return;
        }
        let through = self.through_at().filter(|at| *at <= self.lease_end);
        let (at, phase) = match (through, self.script.ending) {
            (Some(at), Ending::Failed) => (at, Phase::Failed),
            (Some(at), _) => (at, Phase::Done),
            (None, _) => (self.lease_end, Phase::Stopped),
        };
        if at <= now {
            self.run.ended = Some((at, phase));
        }
    }

    fn stop(&mut self, now: Instant) {
        self.settle(now);
        self.run.ended.get_or_insert((now, Phase::Stopped));
    }

    fn set_speed(&mut self, speed: f64, now: Instant) {
        self.done = self.progress(now);
        self.since = now;
        self.speed = speed;
    }

    fn kept(&self, at: Instant) -> f64 {
        let held = self.checkpoints.iter().rev().find(|(from, _)| *from <= at);
        held.map_or(0.0, |(_, part)| *part)
    }

    fn report(&self, at: Instant, as_of: primroseroute_domain::time::Instant) -> Option<Report> {
        if self.run.began > at {
            return None;
        }
        let ended = self.run.ended.filter(|(ended, _)| *ended <= at);
        if ended.is_some_and(|(ended, _)| ended + RETENTION < at) {
            return None;
        }
        let mut usage = Resources::default();
        if ended.is_none() {
            usage = self.script.usage.unwrap_or(self.resources);
            usage.cores *= self.speed;
        }
        Some(Report {
            job: self.run.job.clone(),
            instance: self.run.instance.clone(),
            token: self.run.token,
            phase: ended.map_or(Phase::Running, |(_, phase)| phase),
            usage,
            checkpoint: self.kept(at),
            as_of,
        })
    }
}

#[derive(Debug)]
pub(super) struct State {
    lag: Duration,
    script: Script,
    jobs: BTreeMap<id::Job, Script>,
    instances: BTreeMap<id::Instance, Ending>,
    work: Vec<Work>,
}

impl State {
    pub(super) fn new(lag: Duration, script: Script) -> Self {
        Self {
            lag,
            script,
            jobs: BTreeMap::new(),
            instances: BTreeMap::new(),
            work: Vec::new(),
        }
    }

    fn settle(&mut self, now: Instant) {
        for work in &mut self.work {
            work.settle(now);
        }
    }

    pub(super) fn stop_on(&mut self, instance: &id::Instance, now: Instant) {
        for work in &mut self.work {
            if work.run.instance == *instance {
                work.stop(now);
            }
        }
    }

    fn script_of(&self, start: &Start) -> Script {
        let mut script = self.jobs.get(&start.job).copied().unwrap_or(self.script);
        if let Some(ending) = self.instances.get(&start.instance) {
            script.ending = *ending;
        }
        script
    }

    fn start(&mut self, start: Start, now: Instant) -> Result<(), Error> {
        self.settle(now);
        let own = || self.work.iter().filter(|work| work.run.job == start.job);
        if let Some(newest) = own().max_by_key(|work| work.run.token) {
            if newest.run.token == start.token && newest.run.instance == start.instance {
                return Ok(());
            }
            if newest.run.token >= start.token {
                return Err(Error::Invalid(format!(
                    "token {} of `{}` is not newer than {}",
                    start.token.0, start.job, newest.run.token.0
                )));
            }
        }
        let kept = own().map(|work| work.kept(now)).fold(0.0, f64::max);
        let script = self.script_of(&start);
        self.work.push(Work {
            run: Run {
                job: start.job,
                instance: start.instance,
                token: start.token,
                began: now,
                ended: None,
            },
            resources: start.resources,
            script,
            lease_end: now + start.lease,
            done: kept,
            since: now,
            speed: 1.0,
            checkpoints: vec![(now, kept)],
        });
        Ok(())
    }

    /// The running start of `job` with `token`.
    fn running(&mut self, job: &id::Job, token: Token, now: Instant) -> Result<&mut Work, Error> {
        self.settle(now);
        self.work
            .iter_mut()
            .find(|work| {
                work.run.job == *job && work.run.token == token && work.run.ended.is_none()
            })
            .ok_or_else(|| Error::Invalid(format!("start {} of `{job}` does not run", token.0)))
    }

    fn renew(
        &mut self,
        job: &id::Job,
        token: Token,
        lease: Duration,
        now: Instant,
    ) -> Result<(), Error> {
        let newer = |work: &Work| work.run.job == *job && work.run.token > token;
        if self.work.iter().any(newer) {
            return Err(Error::Invalid(format!(
                "start {} of `{job}` was followed by a newer one",
                token.0
            )));
        }
        self.running(job, token, now)?.lease_end = now + lease;
        Ok(())
    }
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
            let part = work.progress(now);
            work.checkpoints.push((now, part));
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
