//! Everything that an entry is given at its start.

use eyre::Result;
use primroseroute_admin::Tokens;
use primroseroute_audit::Keep;
use primroseroute_claims::Seed;
use primroseroute_controller::{Probe, Timers as ControllerTimers, jobs};
use primroseroute_domain::{id, time::Clock};
use primroseroute_fleet::{lifecycle, placement::Weights};
use primroseroute_flow::limits::Limits;
use primroseroute_front::Options as FrontOptions;
use primroseroute_peer::{Link, LocalEntry, membership, report::Identity};
use primroseroute_platform::{fleet::Instances, object::Store, table::Table, task::Tasks};
use primroseroute_route::{Options as PathOptions, backend::Backend};
use primroseroute_telemetry::Meter;
use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

/// An open peer link.
#[derive(Debug)]
pub struct Dialed {
    /// The link.
    pub link: Arc<dyn Link>,
    /// Where it listens for peers.
    pub address: SocketAddr,
}

/// Opens the peer link once the entry can answer it.
pub trait Dial: Send + fmt::Debug {
    /// Opens the link of `identity`, which calls `local`.
    ///
    /// # Errors
    /// Where the link cannot be opened, such as a port that is taken.
    fn dial(self: Box<Self>, identity: Identity, local: Arc<dyn LocalEntry>) -> Result<Dialed>;
}

/// Where the entry listens.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Operators, health checks and metrics.
    pub admin: SocketAddr,
    /// Peers.
    pub peers: SocketAddr,
}

/// How often and how long.
#[derive(Clone, Copy, Debug)]
pub struct Timers {
    /// Between two reads of the head; up to a tenth is added at random, so that entries that
    /// started together do not read together.
    pub poll: Duration,
    /// Between two reads of the registration rows.
    pub roster: Duration,
    /// From the stop order until the listener closes: the balancer's time to look away.
    pub grace: Duration,
}

impl Default for Timers {
    /// A second is the design's one cheap read; 5 s halve the 13 s after which a peer counts as
    /// silent; 5 s are two failed checks of a usual balancer.
    fn default() -> Self {
        Self {
            poll: Duration::from_secs(1),
            roster: Duration::from_secs(5),
            grace: Duration::from_secs(5),
        }
    }
}

/// Everything that an entry is given.
#[derive(Debug)]
pub struct Parts {
    /// This run of the entry.
    pub identity: Identity,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its region, where there is more than one.
    pub region: Option<Arc<str>>,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's instances.
    pub instances: Arc<dyn Instances>,
    /// The platform's tasks.
    pub tasks: Arc<dyn Tasks>,
    /// How jobs are driven.
    pub jobs: jobs::Settings,
    /// The platform's objects.
    pub objects: Arc<dyn Store>,
    /// How much of the audit trail stays in the table.
    pub keep: Keep,
    /// Checks workers.
    pub probe: Arc<dyn Probe>,
    /// The backend servers.
    pub backend: Arc<dyn Backend>,
    /// Opens the peer link.
    pub dial: Box<dyn Dial>,
    /// Wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Randomness from the operating system, or a test's.
    pub seed: Seed,
    /// Operators.
    pub operators: Tokens,
    /// Its instruments.
    pub meter: Meter,
    /// Limits of each pool's gate.
    pub flow: Limits,
    /// Bounds on one request.
    pub path: PathOptions,
    /// Bounds on connections.
    pub front: FrontOptions,
    /// Times of membership.
    pub membership: membership::Limits,
    /// How often and how long.
    pub timers: Timers,
    /// Times of the controller role.
    pub controller: ControllerTimers,
    /// Limits of an instance's lifecycle.
    pub lifecycle: lifecycle::Limits,
    /// What the deployment weighs.
    pub weights: Weights,
}
