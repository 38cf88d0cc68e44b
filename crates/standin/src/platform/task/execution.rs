//! Execution of each start: progress, lease, checkpoints.

use super::{Ending, Run, Script};
use primroseroute_domain::{id, time};
use primroseroute_platform::{
    error::Error,
    task::{Phase, Report, Resources, Start, Token},
};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// How long an ended task is still reported.
const RETENTION: Duration = Duration::from_secs(600);

#[derive(Debug)]
pub(super) struct Execution {
    pub(super) run: Run,
    resources: Resources,
    script: Script,
    lease_end: Instant,
    /// Share of the script's length that was done at `since`; it grows in proportion to `speed`.
    done: f64,
    since: Instant,
    speed: f64,
    /// Time of each checkpoint, and the progress saved in it.
    checkpoints: Vec<(Instant, f64)>,
}

impl Execution {
    fn progress(&self, at: Instant) -> f64 {
        let spent = at.saturating_duration_since(self.since).as_secs_f64();
        let length = self.script.length.as_secs_f64().max(f64::MIN_POSITIVE);
        (self.done + spent * self.speed / length).min(1.0)
    }

    /// When the execution completes at the current speed.
    fn completes_at(&self) -> Option<Instant> {
        if self.script.ending == Ending::Never || self.speed <= 0.0 {
            return None;
        }
        let left = self.script.length.mul_f64(1.0 - self.done);
        Some(self.since + left.div_f64(self.speed))
    }

    fn finish_if_due(&mut self, now: Instant) {
        if self.run.ended.is_some() {
            return;
        }
        let completed = self.completes_at().filter(|at| *at <= self.lease_end);
        let (at, phase) = match (completed, self.script.ending) {
            (Some(at), Ending::Failed) => (at, Phase::Failed),
            (Some(at), _) => (at, Phase::Done),
            (None, _) => (self.lease_end, Phase::Stopped),
        };
        if at <= now {
            self.run.ended = Some((at, phase));
        }
    }

    pub(super) fn stop(&mut self, now: Instant) {
        self.finish_if_due(now);
        self.run.ended.get_or_insert((now, Phase::Stopped));
    }

    pub(super) fn set_speed(&mut self, speed: f64, now: Instant) {
        self.done = self.progress(now);
        self.since = now;
        self.speed = speed;
    }

    pub(super) fn checkpoint(&mut self, now: Instant) {
        self.checkpoints.push((now, self.progress(now)));
    }

    fn saved_progress(&self, at: Instant) -> f64 {
        let latest = self.checkpoints.iter().rev().find(|(from, _)| *from <= at);
        latest.map_or(0.0, |(_, progress)| *progress)
    }

    pub(super) fn report(&self, at: Instant, as_of: time::Instant) -> Option<Report> {
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
            checkpoint: self.saved_progress(at),
            as_of,
        })
    }
}

#[derive(Debug)]
pub(in crate::platform) struct State {
    pub(super) lag: Duration,
    script: Script,
    pub(super) jobs: BTreeMap<id::Job, Script>,
    pub(super) instances: BTreeMap<id::Instance, Ending>,
    pub(super) runs: Vec<Execution>,
}

impl State {
    pub(in crate::platform) fn new(lag: Duration, script: Script) -> Self {
        Self {
            lag,
            script,
            jobs: BTreeMap::new(),
            instances: BTreeMap::new(),
            runs: Vec::new(),
        }
    }

    pub(super) fn finish_due_runs(&mut self, now: Instant) {
        for execution in &mut self.runs {
            execution.finish_if_due(now);
        }
    }

    pub(in crate::platform) fn stop_on(&mut self, instance: &id::Instance, now: Instant) {
        for execution in &mut self.runs {
            if execution.run.instance == *instance {
                execution.stop(now);
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

    pub(super) fn start(&mut self, start: Start, now: Instant) -> Result<(), Error> {
        self.finish_due_runs(now);
        let own = || self.runs.iter().filter(|old| old.run.job == start.job);
        if let Some(newest) = own().max_by_key(|execution| execution.run.token) {
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
        let saved = own()
            .map(|execution| execution.saved_progress(now))
            .fold(0.0, f64::max);
        let script = self.script_of(&start);
        self.runs.push(Execution {
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
            done: saved,
            since: now,
            speed: 1.0,
            checkpoints: vec![(now, saved)],
        });
        Ok(())
    }

    /// The execution of the start of `job` with `token`, if it is still running.
    pub(super) fn running(
        &mut self,
        job: &id::Job,
        token: Token,
        now: Instant,
    ) -> Result<&mut Execution, Error> {
        self.finish_due_runs(now);
        self.runs
            .iter_mut()
            .find(|execution| {
                execution.run.job == *job
                    && execution.run.token == token
                    && execution.run.ended.is_none()
            })
            .ok_or_else(|| Error::Invalid(format!("start {} of `{job}` does not run", token.0)))
    }

    pub(super) fn renew(
        &mut self,
        job: &id::Job,
        token: Token,
        lease: Duration,
        now: Instant,
    ) -> Result<(), Error> {
        let newer =
            |execution: &Execution| execution.run.job == *job && execution.run.token > token;
        if self.runs.iter().any(newer) {
            return Err(Error::Invalid(format!(
                "start {} of `{job}` was followed by a newer one",
                token.0
            )));
        }
        self.running(job, token, now)?.lease_end = now + lease;
        Ok(())
    }
}
