//! Start and stop of an entry.

use crate::{
    core::Core,
    local::OperatorApi,
    metered::{MeteredTable, MetricsObserver},
    parts::{Listen, Parts},
    propagate, slot_reports,
    store_poll::{self, StorePoll},
};
use eyre::{Context, Result};
use primroseroute_admin::{Admin, Parts as AdminParts};
use primroseroute_audit::Trail;
use primroseroute_claims::{Claims, Options};
use primroseroute_controller::{Controller, Parts as ControllerParts, Roster};
use primroseroute_domain::change::Seq;
use primroseroute_ledger::Ledger;
use primroseroute_peer::Local;
use primroseroute_route::{
    CallerServer, Components, Dispatchers, RequestHandler, backend::Backend,
};
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::{task::JoinHandle, time::sleep};

/// Interval at which expired idle connections to backend servers are closed.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    core: Arc<Core>,
    server: CallerServer,
    admin: Admin,
    tasks: Vec<JoinHandle<()>>,
    grace: Duration,
}

impl Entry {
    /// Starts an entry; it is ready once it has a view.
    ///
    /// # Errors
    /// If an address cannot be bound or the peer link cannot be opened.
    ///
    /// # Panics
    /// If called outside a tokio runtime.
    pub async fn spawn(parts: Parts) -> Result<Self> {
        let seed = u64::from_le_bytes(std::array::from_fn(|i| parts.seed[i]));
        let table = MeteredTable::new(parts.table, parts.meter.clone());
        let ledger = Ledger::open(Arc::clone(&table));
        let name = parts.identity.entry.clone();
        // Increases with each start, so that peers can distinguish a restarted entry from a late
        // report.
        let incarnation = parts.clock.now().0;
        let dispatchers = Arc::new(Dispatchers::new(name, incarnation, parts.flow, seed));
        let core = Arc::new(Core::new(
            parts.identity,
            ledger,
            dispatchers,
            parts.membership,
        ));
        let opened = parts
            .dial
            .dial(core.identity.clone(), Arc::clone(&core) as Arc<dyn Local>)
            .wrap_err("opening the peer link")?;
        core.link
            .set(opened.link)
            .expect("the link is only set here");

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
            .expect("the controller is only set here");

        let claims = Claims::spawn(
            table,
            Arc::clone(&parts.clock),
            Options::default(),
            parts.seed,
        );
        let handler = Arc::new(RequestHandler::new(Components {
            cell: Arc::clone(&core.cell),
            dispatchers: Arc::clone(&core.dispatchers),
            backend: Arc::clone(&parts.backend),
            claims,
            observer: Arc::new(MetricsObserver(parts.meter.clone())),
            options: parts.path,
        }));
        let server = CallerServer::bind(parts.listen.callers, parts.front, handler).await?;
        let admin = AdminParts {
            local: Arc::new(OperatorApi::new(Arc::clone(&core), parts.meter)),
            ledger: core.ledger.clone(),
            trail: Trail::open(core.ledger.clone(), parts.objects),
            cell: Arc::clone(&core.cell),
            clock: Arc::clone(&parts.clock),
            weights: parts.weights,
            capacity: parts.jobs.capacity,
            tokens: parts.operators,
        };
        let admin = Admin::bind(parts.listen.admin, parts.front, admin).await?;
        let store_poll = StorePoll {
            core: Arc::clone(&core),
            clock: parts.clock,
            listen: Listen {
                callers: server.address(),
                admin: admin.address(),
                peers: opened.address,
            },
            zone: parts.zone,
            region: parts.region,
            poll: parts.timers.poll,
            roster: parts.timers.roster,
            seed,
        };
        let tasks = vec![
            tokio::spawn(propagate::run(Arc::clone(&core))),
            tokio::spawn(store_poll.run()),
            tokio::spawn(slot_reports::run(Arc::clone(&core))),
            tokio::spawn(sweep_idle_connections(parts.backend)),
        ];
        Ok(Self {
            core,
            server,
            admin,
            tasks,
            grace: parts.timers.grace,
        })
    }

    /// The address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.server.address()
    }

    /// The address for operators.
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// The newest change that has been applied to the dispatchers.
    pub fn in_force(&self) -> Seq {
        self.core.in_force()
    }

    /// Queued requests.
    pub fn waiting(&self) -> usize {
        self.core.dispatchers.waiting()
    }

    /// Whether the load balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// Stops gracefully: no request in flight is interrupted, no outcome left unwritten.
    ///
    /// The entry first stops being ready, and the listener stays open for the grace time, because a
    /// load balancer continues to send requests until its next check; if the listener closed
    /// immediately, those callers would be refused.
    pub async fn stop(self) {
        self.core.stopping.store(true, Ordering::Relaxed);
        if let Some(controller) = self.core.controller.get() {
            controller.stop().await;
        }
        self.server.disable_keep_alive();
        sleep(self.grace).await;
        self.server.stop().await;
        for task in &self.tasks {
            task.abort();
        }
        store_poll::deregister(&self.core).await;
        if let Some(link) = self.core.link.get() {
            link.close().await;
        }
        self.admin.stop().await;
    }

    /// Stops immediately, as a killed process would: nothing is finished and nobody is notified.
    pub async fn abort(self) {
        if let Some(controller) = self.core.controller.get() {
            controller.abort();
        }
        for task in &self.tasks {
            task.abort();
        }
        self.server.abort();
        self.admin.abort();
        if let Some(link) = self.core.link.get() {
            link.close().await;
        }
    }
}

async fn sweep_idle_connections(backend: Arc<dyn Backend>) {
    loop {
        sleep(IDLE_SWEEP_INTERVAL).await;
        backend.sweep();
    }
}
