//! The task that drives the scheduler while the lease is held.

use super::{
    Settings,
    calls::{AT_ONCE, Ended, Line, Outcome},
    sight::{Desk, Sight},
    state::State,
};
use crate::{lease::Held, role::Parts};
use parking_lot::Mutex;
use primroseroute_domain::{
    id,
    instance::{self, Row},
    outcome::{Code, Refusal},
};
use primroseroute_jobs::{Action, Availability, Plan, Worker};
use primroseroute_ledger::{Draft, key};
use primroseroute_platform::task::Report;
use primroseroute_view::{Author, Snapshot, amend};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, MissedTickBehavior, interval, timeout},
};

/// Longest time of one cycle without its calls.
const CYCLE_LIMIT: Duration = Duration::from_secs(10);

/// Longest wait for the reports.
const REPORTS_LIMIT: Duration = Duration::from_secs(5);

/// How long nothing is started after the platform has refused a start for want of its own health:
/// each try costs rows.
const HOLD_OFF: Duration = Duration::from_secs(5);

/// The running driver; it ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Keeper {
    _task: JoinSet<()>,
}

impl Keeper {
    /// Drives the jobs under the epoch of `held`.
    pub(crate) fn spawn(parts: Parts, held: Held, desk: Arc<Desk>) -> Self {
        let mut task = JoinSet::new();
        task.spawn(Driver::new(parts, held, desk).run());
        Self { _task: task }
    }
}

/// A decision that waits for its commit.
#[derive(Debug)]
struct Decided {
    state: State,
    actions: Vec<Action>,
    at: Instant,
}

struct Driver {
    parts: Parts,
    held: Held,
    desk: Arc<Desk>,
    line: Line,
    started: Instant,
    state: Option<State>,
    calls: JoinSet<Option<Ended>>,
    held_off: Instant,
}

impl Driver {
    fn new(parts: Parts, held: Held, desk: Arc<Desk>) -> Self {
        let line = Line {
            tasks: Arc::clone(&parts.tasks),
            permits: Arc::new(Semaphore::new(AT_ONCE)),
        };
        let started = Instant::now();
        Self {
            parts,
            held,
            desk,
            line,
            started,
            state: None,
            calls: JoinSet::new(),
            held_off: started,
        }
    }

    async fn run(mut self) {
        let mut ticks = interval(self.parts.jobs.cycle);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.round().await,
                Some(Ok(Some(ended))) = self.calls.join_next() => self.take_in(&ended),
            }
        }
    }

    async fn round(&mut self) {
        match timeout(CYCLE_LIMIT, self.cycle()).await {
            Ok(Ok(())) => {}
            Ok(Err(refusal)) => log::warn!("a cycle of the jobs ended early: {refusal}"),
            Err(elapsed) => log::warn!("a cycle of the jobs took too long: {elapsed}"),
        }
    }

    fn take_in(&mut self, ended: &Ended) {
        let Some(state) = &mut self.state else { return };
        let (scheduler, job, token) = (&mut state.scheduler, &ended.job, ended.token);
        let at = ended.at.saturating_duration_since(self.started);
        match ended.outcome {
            Outcome::Returned => scheduler.call_returned(job, token, at),
            Outcome::NotStarted => scheduler.start_not_applied(job, token),
            Outcome::Refused => {
                scheduler.start_not_applied(job, token);
                self.held_off = ended.at + HOLD_OFF;
            }
            Outcome::NotStopped => scheduler.stop_unconfirmed(job, token),
            Outcome::Nothing => {}
        }
    }

    /// Reads, decides, commits, and sends the calls.
    async fn cycle(&mut self) -> Result<(), Refusal> {
        let reports = self.reports().await;
        let decided = Mutex::new(None);
        let decide = |snapshot: &Snapshot, draft: &mut Draft| {
            // Decided again after a lost race: only the last decision counts.
            *decided.lock() = Some(self.decide(snapshot, reports.as_deref(), draft)?);
            Ok(())
        };
        let parts = &self.parts;
        let author = Author {
            actor: format!("controller:{}", parts.identity.entry).into(),
            reason: format!("jobs of epoch {}", self.held.number()).into(),
            guards: vec![self.held.guard()],
        };
        let clock = parts.clock.as_ref();
        let record = amend(&parts.ledger, &parts.cell, clock, &author, &decide).await?;
        let Some(decided) = decided.into_inner() else {
            return Ok(());
        };
        if record.is_none() && !decided.actions.is_empty() {
            self.verify().await?;
        }
        self.adopt(decided);
        Ok(())
    }

    /// The reports, or none where they could not be read.
    async fn reports(&self) -> Option<Vec<Report>> {
        match timeout(REPORTS_LIMIT, self.parts.tasks.reports()).await {
            Ok(Ok(reports)) => Some(reports),
            Ok(Err(error)) => {
                log::warn!("the reports of tasks could not be read: {error}");
                None
            }
            Err(elapsed) => {
                log::warn!("the reports of tasks could not be read: {elapsed}");
                None
            }
        }
    }

    /// Refuses where another controller has taken over; a plan without rows commits nothing that
    /// would find that out.
    async fn verify(&self) -> Result<(), Refusal> {
        let table = self.parts.ledger.table();
        let row = table.read(&key::EPOCH.into()).await;
        let row = row.map_err(|error| Refusal::new(Code::StoreUnavailable, error.to_string()))?;
        if row.is_some_and(|row| self.held.is_epoch(row.revision)) {
            return Ok(());
        }
        Err(Refusal::new(Code::NotController, "the epoch has moved"))
    }

    fn decide(
        &self,
        snapshot: &Snapshot,
        reports: Option<&[Report]>,
        draft: &mut Draft,
    ) -> Result<Decided, Refusal> {
        let at = Instant::now();
        let now = at.saturating_duration_since(self.started);
        let wall = self.parts.clock.now();
        let settings = &self.parts.jobs;
        let mut state = if let Some(state) = &self.state {
            let mut state = state.clone();
            state.follow(snapshot, settings, now)?;
            state
        } else {
            State::open(snapshot, settings, now)?
        };
        if let Some(reports) = reports {
            state.report(reports, now);
        }
        let sight = self.desk.newest();
        let workers = self.workers(snapshot, sight.as_deref(), at);
        let weights = snapshot.routes().shares();
        let plan = state.scheduler.plan(now, wall, &workers, weights);
        let actions = write(plan, &mut state, draft);
        let State {
            scheduler, accused, ..
        } = &mut state;
        accused.settle(snapshot, sight.as_deref(), wall, scheduler, draft);
        Ok(Decided { state, actions, at })
    }

    /// The instances as the scheduler sees them.
    fn workers(
        &self,
        snapshot: &Snapshot,
        sight: Option<&Sight>,
        at: Instant,
    ) -> BTreeMap<id::Instance, Worker> {
        let settings = &self.parts.jobs;
        // Between the thresholds: nothing is throttled nor let go by what is not known.
        let unknown = f64::midpoint(settings.limits.pressure_low, settings.limits.pressure_high);
        let rows = snapshot.instances().values().map(|row| &row.value);
        let worker = |row: &Row| {
            let worker = Worker {
                id: row.id.clone(),
                pool: row.pool.clone()?,
                capacity: settings.capacity,
                availability: self.availability(row, settings, at),
                pressure: sight.map_or(unknown, |sight| sight.pressure(&row.id)),
            };
            Some((row.id.clone(), worker))
        };
        rows.filter_map(worker).collect()
    }

    fn availability(&self, row: &Row, settings: &Settings, at: Instant) -> Availability {
        match row.state {
            instance::State::Serving if at >= self.held_off => Availability::Open,
            instance::State::Draining => {
                let spent = self.parts.clock.now().since(row.since);
                let now = at.saturating_duration_since(self.started);
                Availability::Draining(now + settings.drain.saturating_sub(spent))
            }
            _ => Availability::Closed,
        }
    }

    /// Makes a committed decision the scheduler, and sends its calls.
    fn adopt(&mut self, decided: Decided) {
        self.state = Some(decided.state);
        for action in decided.actions {
            let line = self.line.clone();
            self.calls.spawn(line.carry(action, decided.at));
        }
    }
}

/// Puts the rows of a plan into `draft`, deletes old ones, and returns the calls.
fn write(plan: Plan, state: &mut State, draft: &mut Draft) -> Vec<Action> {
    for row in &plan.rows {
        // An operator's cancellation has written the same row already.
        if !state.mirror.has(row) {
            draft.put(key::job(&row.id), state.mirror.version(&row.id), row);
        }
    }
    for (job, version) in state.mirror.outdated() {
        draft.delete(key::job(&job), Some(version));
    }
    let mut calls = Vec::new();
    for action in plan.actions {
        match action {
            Action::Quarantine { instance, failed } => state.accused.add(instance, failed),
            call => calls.push(call),
        }
    }
    calls
}
