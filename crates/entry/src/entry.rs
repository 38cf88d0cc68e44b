//! The running entry.

use crate::{
    core::Core,
    follow::{self, Follow},
    local::Operators,
    metered::{Metered, MeteredTable},
    parts::{Listen, Parts},
    share, spread,
};
use eyre::{Context, Result};
use primroseroute_admin::{Admin, Parts as AdminParts};
use primroseroute_audit::Trail;
use primroseroute_claims::{Claims, Options};
use primroseroute_controller::{Controller, Parts as ControllerParts, Roster};
use primroseroute_domain::change::Seq;
use primroseroute_ledger::Ledger;
use primroseroute_peer::LocalEntry;
use primroseroute_route::{Front, Gates, Parts as PathParts, Path, backend::Backend};
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::{task::JoinHandle, time::sleep};

/// How often idle connections to backend servers are looked through.
const SWEEP: Duration = Duration::from_secs(5);

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    core: Arc<Core>,
    front: Front,
    admin: Admin,
    tasks: Vec<JoinHandle<()>>,
    grace: Duration,
}

impl Entry {
    /// Starts an entry; it is ready once it has a view.
    ///
    /// # Errors
    /// Where an address cannot be bound or the peer link cannot be opened.
    ///
    /// # Panics
    /// Outside a tokio runtime.
    pub async fn spawn(parts: Parts) -> Result<Self> {
        let seed = u64::from_le_bytes(std::array::from_fn(|i| parts.seed[i]));
        let table = MeteredTable::open(parts.table, parts.meter.clone());
        let ledger = Ledger::open(Arc::clone(&table));
        let name = parts.identity.entry.clone();
        // Grows with each start, which peers need to tell a restarted entry from a late report.
        let incarnation = parts.clock.now().0;
        let gates = Arc::new(Gates::open(name, incarnation, parts.flow, seed));
        let core = Arc::new(Core::new(parts.identity, ledger, gates, parts.membership));
        let dialed = parts
            .dial
            .dial(
                core.identity.clone(),
                Arc::clone(&core) as Arc<dyn LocalEntry>,
            )
            .wrap_err("opening the peer link")?;
        core.link.set(dialed.link).expect("the link is set once");

        let controller = Controller::spawn(ControllerParts {
            identity: core.identity.clone(),
            ledger: core.ledger.clone(),
            cell: Arc::clone(&core.cell),
            clock: Arc::clone(&parts.clock),
            instances: parts.instances,
            tasks: parts.tasks,
            jobs: parts.jobs,
            objects: Arc::clone(&parts.objects),
            keep: parts.keep,
            probe: parts.probe,
            roster: Arc::clone(&core) as Arc<dyn Roster>,
            weights: parts.weights,
            limits: parts.lifecycle,
            timers: parts.controller,
        });
        core.controller
            .set(controller)
            .expect("the role is set once");

        let claims = Claims::spawn(
            table,
            Arc::clone(&parts.clock),
            Options::default(),
            parts.seed,
        );
        let path = Arc::new(Path::open(PathParts {
            cell: Arc::clone(&core.cell),
            gates: Arc::clone(&core.gates),
            backend: Arc::clone(&parts.backend),
            claims,
            observer: Arc::new(Metered(parts.meter.clone())),
            options: parts.path,
        }));
        let front = Front::bind(parts.listen.callers, parts.front, path).await?;
        let admin = AdminParts {
            local: Arc::new(Operators::new(Arc::clone(&core), parts.meter)),
            ledger: core.ledger.clone(),
            trail: Trail::open(core.ledger.clone(), parts.objects),
            cell: Arc::clone(&core.cell),
            clock: Arc::clone(&parts.clock),
            weights: parts.weights,
            capacity: parts.jobs.capacity,
            tokens: parts.operators,
        };
        let admin = Admin::bind(parts.listen.admin, parts.front, admin).await?;
        let follow = Follow {
            core: Arc::clone(&core),
            clock: parts.clock,
            listen: Listen {
                callers: front.address(),
                admin: admin.address(),
                peers: dialed.address,
            },
            zone: parts.zone,
            region: parts.region,
            poll: parts.timers.poll,
            roster: parts.timers.roster,
            seed,
        };
        let tasks = vec![
            tokio::spawn(spread::run(Arc::clone(&core))),
            tokio::spawn(follow.run()),
            tokio::spawn(share::run(Arc::clone(&core))),
            tokio::spawn(sweep(parts.backend)),
        ];
        Ok(Self {
            core,
            front,
            admin,
            tasks,
            grace: parts.timers.grace,
        })
    }

    /// Where callers are served.
    pub fn callers(&self) -> SocketAddr {
        self.front.address()
    }

    /// Where operators are served.
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// The newest change in force at the gates.
    pub fn in_force(&self) -> Seq {
        self.core.in_force()
    }

    /// Requests that wait at the gates.
    pub fn waiting(&self) -> usize {
        self.core.gates.waiting()
    }

    /// Whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// Stops gracefully: no request in flight is cut, no outcome left unwritten.
    ///
    /// Readiness goes first and the listener stays open for the grace time, because a balancer goes
    /// on sending until its next check; a listener that closed at once would refuse those callers.
    pub async fn stop(self) {
        self.core.stopping.store(true, Ordering::Relaxed);
        if let Some(controller) = self.core.controller.get() {
            controller.stop().await;
        }
        self.front.retire();
        sleep(self.grace).await;
        self.front.stop().await;
        for task in &self.tasks {
            task.abort();
        }
        follow::deregister(&self.core).await;
        if let Some(link) = self.core.link.get() {
            link.close().await;
        }
        self.admin.stop().await;
    }

    /// Ends at once, as a killed process would: nothing is finished, nothing is said to anyone.
    pub async fn abort(self) {
        if let Some(controller) = self.core.controller.get() {
            controller.abort();
        }
        for task in &self.tasks {
            task.abort();
        }
        self.front.abort();
        self.admin.abort();
        if let Some(link) = self.core.link.get() {
            link.close().await;
        }
    }
}

async fn sweep(backend: Arc<dyn Backend>) {
    loop {
        sleep(SWEEP).await;
        backend.sweep();
    }
}
