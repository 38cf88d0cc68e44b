//! Dependencies and settings of an entry.

use eyre::Result;
use primroseroute_admin::Tokens;
use primroseroute_audit::Keep;
use primroseroute_claims::Seed;
use primroseroute_controller::{Probe, Timers as ControllerTimers, jobs};
use primroseroute_domain::{id, time::Clock};
use primroseroute_fleet::{lifecycle, placement::Weights};
use primroseroute_flow::limits::Limits;
use primroseroute_front::Options as ServerOptions;
use primroseroute_peer::{Link, LocalEntry, membership, report::Identity};
use primroseroute_platform::{fleet::Instances, object::Store, table::Table, task::Tasks};
use primroseroute_route::{Options as RequestOptions, backend::Backend};
use primroseroute_telemetry::Meter;
use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

/// An open peer link.
#[derive(Debug)]
pub struct Dialed {
    /// The link.
    pub link: Arc<dyn Link>,
    /// The address on which it listens for peers.
    pub address: SocketAddr,
}

/// Opens the peer link once the entry can handle its calls.
pub trait Dial: Send + fmt::Debug {
    /// Opens the link of `identity`, which calls `local`.
    ///
    /// # Errors
    /// If the link cannot be opened, for instance because the port is in use.
    fn dial(self: Box<Self>, identity: Identity, local: Arc<dyn LocalEntry>) -> Result<Dialed>;
}

/// Addresses on which the entry listens.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Operators, health checks and metrics.
    pub admin: SocketAddr,
    /// Peers.
    pub peers: SocketAddr,
}

/// Intervals and delays.
#[derive(Clone, Copy, Debug)]
pub struct Timers {
    /// Interval between two reads of the head; up to a tenth is added at random, so that entries
    /// that started together do not read at the same time.
    pub poll: Duration,
    /// Interval between two reads of the registration rows.
    pub roster: Duration,
    /// Time from the stop order until the listener closes, in which the load balancer stops sending
    /// requests.
    pub grace: Duration,
}

impl Default for Timers {
    /// A read of the head is cheap enough for once a second; 5 s is less than half of the 13 s after
    /// which a peer counts as unresponsive; 5 s are two failed checks of a usual load balancer.
    fn default() -> Self {
        Self {
            poll: Duration::from_secs(1),
            roster: Duration::from_secs(5),
            grace: Duration::from_secs(5),
        }
    }
}

/// Dependencies and settings of an entry.
#[derive(Debug)]
pub struct Components {
    /// Identity of this incarnation of the entry.
    pub identity: Identity,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its region, if there is more than one.
    pub region: Option<Arc<str>>,
    /// Addresses on which it listens.
    pub listen: Listen,
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's instances.
    pub instances: Arc<dyn Instances>,
    /// The platform's tasks.
    pub tasks: Arc<dyn Tasks>,
    /// Settings of jobs.
    pub jobs: jobs::Settings,
    /// The platform's object store.
    pub objects: Arc<dyn Store>,
    /// How much of the audit trail is kept in the table.
    pub keep: Keep,
    /// Health checks of workers.
    pub probe: Arc<dyn Probe>,
    /// Transport to the backend servers.
    pub backend: Arc<dyn Backend>,
    /// Opens the peer link.
    pub dial: Box<dyn Dial>,
    /// The wall clock.
    pub clock: Arc<dyn Clock>,
    /// Random seed, from the operating system except in tests.
    pub seed: Seed,
    /// Operators' tokens.
    pub operators: Tokens,
    /// Metrics.
    pub meter: Meter,
    /// Limits of each pool's dispatcher.
    pub flow: Limits,
    /// Limits on one request.
    pub request_options: RequestOptions,
    /// Limits on connections.
    pub server_options: ServerOptions,
    /// Time limits of membership.
    pub membership: membership::Limits,
    /// Intervals and delays.
    pub timers: Timers,
    /// Intervals of the controller role.
    pub controller: ControllerTimers,
    /// Limits of an instance's lifecycle.
    pub lifecycle: lifecycle::Limits,
    /// Weights for placement.
    pub weights: Weights,
}
