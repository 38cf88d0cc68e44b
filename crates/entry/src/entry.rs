//! Start and stop of an entry.

use crate::{
    components::{Components, Listen},
    core::Core,
    local::OperatorApi,
    metered::{MeteredTable, MetricsObserver},
    propagate, slot_reports,
    store_poll::{self, StorePoll},
};
use eyre::{Context, Result};
use primroseroute_admin::{Admin, Components as AdminComponents};
use primroseroute_audit::Trail;
use primroseroute_claims::{Claims, Options};
use primroseroute_controller::{Components as ControllerComponents, Controller, Roster};
use primroseroute_domain::change::Seq;
use primroseroute_ledger::Ledger;
use primroseroute_peer::LocalEntry;
use primroseroute_route::{
    CallerServer, Components as HandlerComponents, Dispatchers, RequestHandler, backend::Backend,
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
    pub async fn spawn(components: Components) -> Result<Self> {
        let seed = u64::from_le_bytes(std::array::from_fn(|i| components.seed[i]));
        let table = MeteredTable::wrap(components.table, components.meter.clone());
        let ledger = Ledger::open(Arc::clone(&table));
        let name = components.identity.entry.clone();
        // Increases with each start, so that peers can distinguish a restarted entry from a late
        // report.
        let incarnation = components.clock.now().0;
        let dispatchers = Arc::new(Dispatchers::new(name, incarnation, components.flow, seed));
        let core = Arc::new(Core::new(
            components.identity,
            ledger,
            dispatchers,
            components.membership,
        ));
        let opened = components
            .dial
            .dial(
                core.identity.clone(),
                Arc::clone(&core) as Arc<dyn LocalEntry>,
            )
            .wrap_err("opening the peer link")?;
        core.link.set(opened.link).expect("the link is set once");

        let controller = Controller::spawn(ControllerComponents {
            identity: core.identity.clone(),
            ledger: core.ledger.clone(),
            cell: Arc::clone(&core.cell),
            clock: Arc::clone(&components.clock),
            instances: components.instances,
            tasks: components.tasks,
            jobs: components.jobs,
            objects: Arc::clone(&components.objects),
            keep: components.keep,
            probe: components.probe,
            roster: Arc::clone(&core) as Arc<dyn Roster>,
            weights: components.weights,
            limits: components.lifecycle,
            timers: components.controller,
        });
        core.controller
            .set(controller)
            .expect("the controller is only set here");

        let claims = Claims::spawn(
            table,
            Arc::clone(&components.clock),
            Options::default(),
            components.seed,
        );
        let handler = Arc::new(RequestHandler::new(HandlerComponents {
            cell: Arc::clone(&core.cell),
            dispatchers: Arc::clone(&core.dispatchers),
            backend: Arc::clone(&components.backend),
            claims,
            observer: Arc::new(MetricsObserver(components.meter.clone())),
            options: components.request_options,
        }));
        let server = CallerServer::bind(
            components.listen.callers,
            components.server_options.clone(),
            handler,
        )
        .await?;
        let admin = AdminComponents {
            local: Arc::new(OperatorApi::new(Arc::clone(&core), components.meter)),
            ledger: core.ledger.clone(),
            trail: Trail::new(core.ledger.clone(), components.objects),
            cell: Arc::clone(&core.cell),
            clock: Arc::clone(&components.clock),
            weights: components.weights,
            capacity: components.jobs.capacity,
            tokens: components.operators,
        };
        let admin = Admin::bind(components.listen.admin, components.server_options, admin).await?;
        let store_poll = StorePoll {
            core: Arc::clone(&core),
            clock: components.clock,
            listen: Listen {
                callers: server.address(),
                admin: admin.address(),
                peers: opened.address,
            },
            zone: components.zone,
            region: components.region,
            poll: components.timers.poll,
            roster: components.timers.roster,
            seed,
        };
        let tasks = vec![
            tokio::spawn(propagate::run(Arc::clone(&core))),
            tokio::spawn(store_poll.run()),
            tokio::spawn(slot_reports::run(Arc::clone(&core))),
            tokio::spawn(sweep_idle_connections(components.backend)),
        ];
        Ok(Self {
            core,
            server,
            admin,
            tasks,
            grace: components.timers.grace,
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
    pub fn applied_seq(&self) -> Seq {
        self.core.applied_seq()
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
