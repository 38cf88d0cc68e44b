//! The task that contends for the lease and runs cycles while it holds it.

use crate::{
    cycle::CycleState,
    housekeeping::Housekeeping,
    jobs::{DriverHandle, LatestObservation, Settings},
    lease::{Contender, HeldLease},
    probe::Probe,
    roster::Roster,
};
use parking_lot::Mutex;
use primroseroute_audit::Keep;
use primroseroute_domain::{id, time::Clock};
use primroseroute_fleet::{lifecycle::Limits, placement::Weights};
use primroseroute_ledger::Ledger;
use primroseroute_peer::report::Identity;
use primroseroute_platform::{fleet::Instances, object::Store, task::Tasks};
use primroseroute_view::SnapshotCell;
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

/// Intervals and durations of the role.
#[derive(Clone, Copy, Debug)]
pub struct Timers {
    /// Interval between cycles of the holder.
    pub cycle: Duration,
    /// Interval between renewals by the holder, and between reads of the lease by other entries.
    pub renew: Duration,
    /// How long the lease must stay unrenewed before another entry acquires it.
    pub lease: Duration,
    /// Interval between checks of an instance whose next step depends on them.
    pub check_waiting: Duration,
    /// Interval between checks of a serving instance. The request path detects failures
    /// immediately; the check only has to find failed instances that get no requests.
    pub check_serving: Duration,
}

impl Default for Timers {
    /// One cycle per second tracks drains closely. One renewal by the holder and one read by each
    /// other entry every 3 s cost the store under 10 calls/s at 28 entries; 10 s are three missed
    /// renewals. Checking 1,200 serving instances every 10 s is 120 checks/s.
    fn default() -> Self {
        Self {
            cycle: Duration::from_secs(1),
            renew: Duration::from_secs(3),
            lease: Duration::from_secs(10),
            check_waiting: Duration::from_secs(1),
            check_serving: Duration::from_secs(10),
        }
    }
}

/// Dependencies and settings of the role.
#[derive(Clone, Debug)]
pub struct Components {
    /// Name and incarnation of the entry.
    pub identity: Identity,
    /// Ledger to which changes are committed.
    pub ledger: Ledger,
    /// The entry's view.
    pub cell: Arc<SnapshotCell>,
    /// Wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// The platform's instances.
    pub instances: Arc<dyn Instances>,
    /// The platform's tasks.
    pub tasks: Arc<dyn Tasks>,
    /// Settings of the job driver.
    pub jobs: Settings,
    /// The platform's object store, for the archive of the audit trail.
    pub objects: Arc<dyn Store>,
    /// How much of the audit trail is retained in the table.
    pub keep: Keep,
    /// Health check of workers.
    pub probe: Arc<dyn Probe>,
    /// The registered entries.
    pub roster: Arc<dyn Roster>,
    /// Weights of the placement score.
    pub weights: Weights,
    /// Limits of the lifecycle.
    pub limits: Limits,
    /// Intervals and durations.
    pub timers: Timers,
}

/// Timeout of one cycle; a platform that hangs must not delay lease renewal.
const CYCLE_TIMEOUT: Duration = Duration::from_secs(8);

/// The running role of one entry.
#[derive(Debug)]
pub struct Controller {
    holder: Arc<Mutex<Option<id::Entry>>>,
    stop: watch::Sender<bool>,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl Controller {
    /// Spawns the task that contends for the lease.
    pub fn spawn(components: Components) -> Self {
        let holder = Arc::new(Mutex::new(None));
        let stop = watch::Sender::new(false);
        let role = Role::new(components, Arc::clone(&holder));
        let task = tokio::spawn(role.run(stop.subscribe()));
        Self {
            holder,
            stop,
            task: Mutex::new(Some(task)),
        }
    }

    /// The last known holder of the lease.
    pub fn holder(&self) -> Option<id::Entry> {
        self.holder.lock().clone()
    }

    /// Finishes the current cycle and releases the lease, so that a successor need not wait.
    pub async fn stop(&self) {
        self.stop.send_replace(true);
        let task = self.task.lock().take();
        if let Some(task) = task
            && let Err(error) = task.await
        {
            log::error!("controller task failed: {error}");
        }
    }

    /// Stops immediately, as a crash would: the lease is not released and has to expire.
    pub fn abort(&self) {
        if let Some(task) = self.task.lock().take() {
            task.abort();
        }
    }
}

struct Role {
    components: Components,
    contender: Contender,
    held: Option<HeldLease>,
    cycle_state: CycleState,
    housekeeping: Housekeeping,
    observation: Arc<LatestObservation>,
    job_driver: Option<DriverHandle>,
    renewed_at: Instant,
    holder: Arc<Mutex<Option<id::Entry>>>,
}

impl Role {
    fn new(components: Components, holder: Arc<Mutex<Option<id::Entry>>>) -> Self {
        let contender = Contender::new(
            Arc::clone(components.ledger.table()),
            components.identity.entry.clone(),
            components.identity.incarnation,
            components.timers.lease,
        );
        let cycle_state = CycleState::default();
        let housekeeping = Housekeeping::open(&components);
        Self {
            components,
            contender,
            held: None,
            cycle_state,
            housekeeping,
            observation: Arc::default(),
            job_driver: None,
            renewed_at: Instant::now(),
            holder,
        }
    }

    async fn run(mut self, mut stop: watch::Receiver<bool>) {
        loop {
            let delay = self.round().await;
            *self.holder.lock() = self.contender.holder();
            tokio::select! {
                () = sleep(delay) => {}
                _ = stop.changed() => break,
            }
        }
        self.job_driver = None;
        if let Some(held) = self.held.take()
            && let Err(error) = self.contender.release(&held).await
        {
            log::warn!("could not release the controller lease, it will expire: {error}");
        }
    }

    /// Contends for the lease, or renews it and runs a cycle; returns the delay until the next
    /// round.
    async fn round(&mut self) -> Duration {
        self.maintain_lease().await;
        let Some(held) = self.held.clone() else {
            return self.components.timers.renew;
        };
        match timeout(
            CYCLE_TIMEOUT,
            self.cycle_state
                .cycle(&self.components, &held, &self.observation),
        )
        .await
        {
            Ok(Ok(())) => {}
            Ok(Err(refusal)) => log::warn!("controller cycle failed: {refusal}"),
            Err(elapsed) => log::warn!("controller cycle timed out: {elapsed}"),
        }
        self.housekeeping.step(&self.components, &held).await;
        self.components.timers.cycle
    }

    async fn maintain_lease(&mut self) {
        let now = self.components.clock.now();
        let limit = self.components.timers.renew;
        let outcome = match &self.held {
            Some(_) if self.renewed_at.elapsed() < limit => return,
            Some(held) => timeout(limit, self.contender.renew(held, now)).await,
            None => timeout(limit, self.contender.try_acquire(now)).await,
        };
        match outcome {
            Ok(Ok(held)) => {
                self.log_transition(held.as_ref());
                self.update_job_driver(held.as_ref());
                self.held = held;
                self.renewed_at = Instant::now();
            }
            // A holder that cannot reach the store keeps its epoch: its changes are fenced by the
            // epoch row, and once the store is back the next renewal tells whether it is still
            // valid.
            Ok(Err(error)) => log::warn!("could not read or renew the controller lease: {error}"),
            Err(elapsed) => log::warn!("access to the controller lease timed out: {elapsed}"),
        }
    }

    /// Runs the job driver while the lease is held.
    fn update_job_driver(&mut self, held: Option<&HeldLease>) {
        match held {
            None => self.job_driver = None,
            Some(held) if self.job_driver.is_none() => {
                let (components, observation) =
                    (self.components.clone(), Arc::clone(&self.observation));
                self.job_driver = Some(DriverHandle::spawn(components, held.clone(), observation));
            }
            Some(_) => {}
        }
    }

    fn log_transition(&self, held: Option<&HeldLease>) {
        let name = &self.components.identity.entry;
        match (&self.held, held) {
            (None, Some(held)) => log::info!("{name} acquired the lease, epoch {}", held.number()),
            (Some(_), None) => log::warn!("{name} lost the lease"),
            _ => {}
        }
    }
}
