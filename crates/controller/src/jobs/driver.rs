//! The task that runs the scheduler while the lease is held.

use super::{
    Settings,
    calls::{CompletedCall, MAX_CONCURRENT_CALLS, Outcome, TaskCaller},
    observation::{LatestObservation, Observation},
    state::DriverState,
};
use crate::{lease::HeldLease, role::Components};
use parking_lot::Mutex;
use primroseroute_domain::{
    id,
    instance::{self, Row},
    outcome::{Code, Refusal},
};
use primroseroute_jobs::{Action, Availability, Plan, Worker};
use primroseroute_ledger::{Draft, key};
use primroseroute_platform::task::Report;
use primroseroute_view::{Author, Snapshot, commit_with_retry};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, MissedTickBehavior, interval, timeout},
};

/// Timeout of one cycle, excluding its calls.
const CYCLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of reading the reports.
const REPORTS_TIMEOUT: Duration = Duration::from_secs(5);

/// How long no run is started after the platform has rejected a start because it was unavailable or
/// throttling: each attempt writes rows.
const START_BACKOFF: Duration = Duration::from_secs(5);

/// Handle of the running driver, which ends when this is dropped.
#[derive(Debug)]
pub(crate) struct DriverHandle {
    _task: JoinSet<()>,
}

impl DriverHandle {
    /// Spawns the driver under the epoch of `held`.
    pub(crate) fn spawn(
        components: Components,
        held: HeldLease,
        latest_observation: Arc<LatestObservation>,
    ) -> Self {
        let mut task = JoinSet::new();
        task.spawn(Driver::new(components, held, latest_observation).run());
        Self { _task: task }
    }
}

/// A decision that has not been committed yet.
#[derive(Debug)]
struct Decision {
    state: DriverState,
    actions: Vec<Action>,
    decided_at: Instant,
}

struct Driver {
    components: Components,
    held: HeldLease,
    latest_observation: Arc<LatestObservation>,
    caller: TaskCaller,
    started: Instant,
    state: Option<DriverState>,
    calls: JoinSet<Option<CompletedCall>>,
    starts_blocked_until: Instant,
}

impl Driver {
    fn new(
        components: Components,
        held: HeldLease,
        latest_observation: Arc<LatestObservation>,
    ) -> Self {
        let caller = TaskCaller {
            tasks: Arc::clone(&components.tasks),
            permits: Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS)),
        };
        let started = Instant::now();
        Self {
            components,
            held,
            latest_observation,
            caller,
            started,
            state: None,
            calls: JoinSet::new(),
            starts_blocked_until: started,
        }
    }

    async fn run(mut self) {
        let mut ticks = interval(self.components.jobs.cycle);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.round().await,
                Some(Ok(Some(completed))) = self.calls.join_next() => self.apply_completed(&completed),
            }
        }
    }

    async fn round(&mut self) {
        match timeout(CYCLE_TIMEOUT, self.cycle()).await {
            Ok(Ok(())) => {}
            Ok(Err(refusal)) => log::warn!("job cycle failed: {refusal}"),
            Err(elapsed) => log::warn!("job cycle timed out: {elapsed}"),
        }
    }

    fn apply_completed(&mut self, completed: &CompletedCall) {
        let Some(state) = &mut self.state else { return };
        let (scheduler, job, token) = (&mut state.scheduler, &completed.job, completed.token);
        let at = completed.at.saturating_duration_since(self.started);
        match completed.outcome {
            Outcome::Returned => scheduler.call_returned(job, token, at),
            Outcome::StartNotApplied => scheduler.start_not_applied(job, token),
            Outcome::StartRejected => {
                scheduler.start_not_applied(job, token);
                self.starts_blocked_until = completed.at + START_BACKOFF;
            }
            Outcome::StopUnconfirmed => scheduler.stop_unconfirmed(job, token),
            Outcome::Ignored => {}
        }
    }

    /// Reads, decides, commits, and sends the calls.
    async fn cycle(&mut self) -> Result<(), Refusal> {
        let reports = self.reports().await;
        let decision = Mutex::new(None);
        let decide = |snapshot: &Snapshot, draft: &mut Draft| {
            // Called again after a conflict; only the last decision counts.
            *decision.lock() = Some(self.decide(snapshot, reports.as_deref(), draft)?);
            Ok(())
        };
        let components = &self.components;
        let author = Author {
            actor: format!("controller:{}", components.identity.entry).into(),
            reason: format!("jobs of epoch {}", self.held.number()).into(),
            guards: vec![self.held.guard()],
        };
        let clock = components.clock.as_ref();
        let record = commit_with_retry(
            &components.ledger,
            &components.cell,
            clock,
            &author,
            &decide,
        )
        .await?;
        let Some(decision) = decision.into_inner() else {
            return Ok(());
        };
        if record.is_none() && !decision.actions.is_empty() {
            self.verify_epoch().await?;
        }
        self.adopt(decision);
        Ok(())
    }

    /// The task reports, or `None` if they could not be read.
    async fn reports(&self) -> Option<Vec<Report>> {
        match timeout(REPORTS_TIMEOUT, self.components.tasks.reports()).await {
            Ok(Ok(reports)) => Some(reports),
            Ok(Err(error)) => {
                log::warn!("could not read task reports: {error}");
                None
            }
            Err(elapsed) => {
                log::warn!("reading task reports timed out: {elapsed}");
                None
            }
        }
    }

    /// Fails if another controller has taken over. A plan without rows needs this check, as it
    /// commits nothing that would detect the takeover.
    async fn verify_epoch(&self) -> Result<(), Refusal> {
        let table = self.components.ledger.table();
        let row = table.read(&key::EPOCH.into()).await;
        let row = row.map_err(|error| Refusal::new(Code::StoreUnavailable, error.to_string()))?;
        if row.is_some_and(|row| self.held.matches_epoch(row.revision)) {
            return Ok(());
        }
        Err(Refusal::new(Code::NotController, "the epoch has moved"))
    }

    fn decide(
        &self,
        snapshot: &Snapshot,
        reports: Option<&[Report]>,
        draft: &mut Draft,
    ) -> Result<Decision, Refusal> {
        let decided_at = Instant::now();
        let now = decided_at.saturating_duration_since(self.started);
        let wall = self.components.clock.now();
        let settings = &self.components.jobs;
        let mut state = if let Some(state) = &self.state {
            let mut state = state.clone();
            state.apply_snapshot(snapshot, settings, now)?;
            state
        } else {
            DriverState::from_snapshot(snapshot, settings, now)?
        };
        if let Some(reports) = reports {
            state.apply_task_reports(reports, now);
        }
        let observation = self.latest_observation.latest();
        let workers = self.workers(snapshot, observation.as_deref(), decided_at);
        let weights = snapshot.routes().shares();
        let plan = state.scheduler.plan(now, wall, &workers, weights);
        let actions = write_plan(plan, &mut state, draft);
        let DriverState {
            scheduler, faulty, ..
        } = &mut state;
        faulty.update(snapshot, observation.as_deref(), wall, scheduler, draft);
        Ok(Decision {
            state,
            actions,
            decided_at,
        })
    }

    /// The instances as input of the scheduler.
    fn workers(
        &self,
        snapshot: &Snapshot,
        observation: Option<&Observation>,
        at: Instant,
    ) -> BTreeMap<id::Instance, Worker> {
        let settings = &self.components.jobs;
        // Between the thresholds, so that an unknown pressure neither starts nor ends throttling.
        let unknown = f64::midpoint(settings.limits.pressure_low, settings.limits.pressure_high);
        let rows = snapshot.instances().values().map(|row| &row.value);
        let worker = |row: &Row| {
            let worker = Worker {
                id: row.id.clone(),
                pool: row.pool.clone()?,
                capacity: settings.capacity,
                availability: self.availability(row, settings, at),
                pressure: observation.map_or(unknown, |observation| observation.pressure(&row.id)),
            };
            Some((row.id.clone(), worker))
        };
        rows.filter_map(worker).collect()
    }

    fn availability(&self, row: &Row, settings: &Settings, at: Instant) -> Availability {
        match row.state {
            instance::State::Serving if at >= self.starts_blocked_until => Availability::Open,
            instance::State::Draining => {
                let spent = self.components.clock.now().since(row.since);
                let now = at.saturating_duration_since(self.started);
                Availability::Draining(now + settings.drain_timeout.saturating_sub(spent))
            }
            _ => Availability::Closed,
        }
    }

    /// Replaces the state by that of a committed decision, and sends its calls.
    fn adopt(&mut self, decision: Decision) {
        self.state = Some(decision.state);
        for action in decision.actions {
            let caller = self.caller.clone();
            self.calls
                .spawn(caller.execute(action, decision.decided_at));
        }
    }
}

/// Adds the rows of a plan to `draft`, deletes old rows, and returns the calls.
fn write_plan(plan: Plan, state: &mut DriverState, draft: &mut Draft) -> Vec<Action> {
    for row in &plan.rows {
        // An operator's cancellation may have written the same row already.
        if !state.row_cache.contains(row) {
            draft.put(key::job(&row.id), state.row_cache.version(&row.id), row);
        }
    }
    for (job, version) in state.row_cache.rows_to_delete() {
        draft.delete(key::job(&job), Some(version));
    }
    let mut calls = Vec::new();
    for action in plan.actions {
        match action {
            Action::Quarantine { instance, failed } => state.faulty.add(instance, failed),
            call => calls.push(call),
        }
    }
    calls
}
