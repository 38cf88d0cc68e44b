//! The task that contends for the lease and acts while it holds it.

use crate::{
    cycle::Memory,
    jobs::{Desk, Keeper, Settings},
    keep::House,
    lease::{Contender, Held},
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
use primroseroute_view::Cell;
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

/// How often and how long.
#[derive(Clone, Copy, Debug)]
pub struct Timers {
    /// Between two cycles of the holder.
    pub cycle: Duration,
    /// Between two looks at the lease of the others, and two renewals of the holder.
    pub renew: Duration,
    /// How long the lease must stand unrenewed before it is taken.
    pub lease: Duration,
    /// Between two checks of an instance that waits for its checks.
    pub check_waiting: Duration,
    /// Between two checks of a serving instance. The request path sees its failures at once; the
    /// check only has to find one that gets no requests.
    pub check_serving: Duration,
}

impl Default for Timers {
    /// A cycle a second follows drains closely; a renewal in 3 s from one holder and a look in 3 s
    /// from each other entry cost the store under 10 calls a second at 28 entries; 10 s are three
    /// missed renewals. A check in 10 s of 1,200 serving instances is 120 a second.
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

/// What the role works on.
#[derive(Clone, Debug)]
pub struct Parts {
    /// This run of the entry.
    pub identity: Identity,
    /// Where changes are committed.
    pub ledger: Ledger,
    /// The entry's view.
    pub cell: Arc<Cell>,
    /// Wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// The platform's instances.
    pub instances: Arc<dyn Instances>,
    /// The platform's tasks.
    pub tasks: Arc<dyn Tasks>,
    /// How jobs are driven.
    pub jobs: Settings,
    /// The platform's objects, for the archive of the audit trail.
    pub objects: Arc<dyn Store>,
    /// How much of the audit trail stays in the table.
    pub keep: Keep,
    /// Checks workers.
    pub probe: Arc<dyn Probe>,
    /// The registered entries.
    pub roster: Arc<dyn Roster>,
    /// What the deployment weighs.
    pub weights: Weights,
    /// Limits of the lifecycle.
    pub limits: Limits,
    /// How often and how long.
    pub timers: Timers,
}

/// Longest time of one cycle; a platform that hangs must not hold up the lease.
const CYCLE_LIMIT: Duration = Duration::from_secs(8);

/// The running role of one entry.
#[derive(Debug)]
pub struct Controller {
    holder: Arc<Mutex<Option<id::Entry>>>,
    stop: watch::Sender<bool>,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl Controller {
    /// Starts to contend for the lease.
    pub fn spawn(parts: Parts) -> Self {
        let holder = Arc::new(Mutex::new(None));
        let stop = watch::Sender::new(false);
        let role = Role::new(parts, Arc::clone(&holder));
        let task = tokio::spawn(role.run(stop.subscribe()));
        Self {
            holder,
            stop,
            task: Mutex::new(Some(task)),
        }
    }

    /// The holder of the lease as far as known.
    pub fn holder(&self) -> Option<id::Entry> {
        self.holder.lock().clone()
    }

    /// Ends the cycle under way and gives the lease up, so that a successor need not wait.
    pub async fn stop(&self) {
        self.stop.send_replace(true);
        let task = self.task.lock().take();
        if let Some(task) = task
            && let Err(error) = task.await
        {
            log::error!("the controller's task ended early: {error}");
        }
    }

    /// Ends at once, as a crash would: the lease is left to lapse.
    pub fn abort(&self) {
        if let Some(task) = self.task.lock().take() {
            task.abort();
        }
    }
}

struct Role {
    parts: Parts,
    contender: Contender,
    held: Option<Held>,
    memory: Memory,
    house: House,
    desk: Arc<Desk>,
    jobs: Option<Keeper>,
    renewed: Instant,
    holder: Arc<Mutex<Option<id::Entry>>>,
}

impl Role {
    fn new(parts: Parts, holder: Arc<Mutex<Option<id::Entry>>>) -> Self {
        let contender = Contender::new(
            Arc::clone(parts.ledger.table()),
            parts.identity.entry.clone(),
            parts.identity.incarnation,
            parts.timers.lease,
        );
        let memory = Memory::default();
        let house = House::open(&parts);
        Self {
            parts,
            contender,
            held: None,
            memory,
            house,
            desk: Arc::default(),
            jobs: None,
            renewed: Instant::now(),
            holder,
        }
    }

    async fn run(mut self, mut stop: watch::Receiver<bool>) {
        loop {
            let pause = self.round().await;
            *self.holder.lock() = self.contender.holder();
            tokio::select! {
                () = sleep(pause) => {}
                _ = stop.changed() => break,
            }
        }
        self.jobs = None;
        if let Some(held) = self.held.take()
            && let Err(error) = self.contender.give_up(&held).await
        {
            log::warn!("the lease could not be given up and will lapse: {error}");
        }
    }

    /// Contends, or renews and acts; returns how long to pause.
    async fn round(&mut self) -> Duration {
        self.hold().await;
        let Some(held) = self.held.clone() else {
            return self.parts.timers.renew;
        };
        match timeout(
            CYCLE_LIMIT,
            self.memory.cycle(&self.parts, &held, &self.desk),
        )
        .await
        {
            Ok(Ok(())) => {}
            Ok(Err(refusal)) => log::warn!("a cycle ended early: {refusal}"),
            Err(elapsed) => log::warn!("a cycle took too long: {elapsed}"),
        }
        self.house.step(&self.parts, &held).await;
        self.parts.timers.cycle
    }

    async fn hold(&mut self) {
        let now = self.parts.clock.now();
        let limit = self.parts.timers.renew;
        let outcome = match &self.held {
            Some(_) if self.renewed.elapsed() < limit => return,
            Some(held) => timeout(limit, self.contender.renew(held, now)).await,
            None => timeout(limit, self.contender.contend(now)).await,
        };
        match outcome {
            Ok(Ok(held)) => {
                self.note(held.as_ref());
                self.drive(held.as_ref());
                self.held = held;
                self.renewed = Instant::now();
            }
            // A holder that cannot reach the store keeps its epoch: its changes are fenced by the
            // row, and the store that comes back says whether it still stands.
            Ok(Err(error)) => log::warn!("the lease could not be read or renewed: {error}"),
            Err(elapsed) => log::warn!("the lease could not be read or renewed: {elapsed}"),
        }
    }

    /// Drives the jobs for as long as the lease is held.
    fn drive(&mut self, held: Option<&Held>) {
        match held {
            None => self.jobs = None,
            Some(held) if self.jobs.is_none() => {
                let (parts, desk) = (self.parts.clone(), Arc::clone(&self.desk));
                self.jobs = Some(Keeper::spawn(parts, held.clone(), desk));
            }
            Some(_) => {}
        }
    }

    fn note(&self, held: Option<&Held>) {
        let name = &self.parts.identity.entry;
        match (&self.held, held) {
            (None, Some(held)) => log::info!("{name} holds the lease, epoch {}", held.number()),
            (Some(_), None) => log::warn!("{name} has lost the lease"),
            _ => {}
        }
    }
}
