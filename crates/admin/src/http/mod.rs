//! The interface over HTTP.

mod auth;
mod job;
mod read;
mod reply;
mod router;
mod wave;
mod write;

use crate::{Local, Tokens};
use eyre::Result;
use gotham::state::StateData;
use primroseroute_audit::Trail;
use primroseroute_domain::time::Clock;
use primroseroute_fleet::placement::Weights;
use primroseroute_front::{Options, Server};
use primroseroute_ledger::Ledger;
use primroseroute_platform::task::Resources;
use primroseroute_view::SnapshotCell;
use std::{net::SocketAddr, panic::AssertUnwindSafe, sync::Arc};

/// What the interface works on.
#[derive(Clone, Debug)]
pub struct Parts {
    /// The running entry.
    pub local: Arc<dyn Local>,
    /// Where changes are committed.
    pub ledger: Ledger,
    /// The audit trail.
    pub trail: Trail,
    /// The entry's view.
    pub cell: Arc<SnapshotCell>,
    /// Wall-clock time for change records.
    pub clock: Arc<dyn Clock>,
    /// What the deployment weighs, for dry runs.
    pub weights: Weights,
    /// What a worker has for jobs.
    pub capacity: Resources,
    /// Who may use it.
    pub tokens: Tokens,
}

/// [`Parts`] as gotham's handlers find them.
///
/// gotham catches a handler's panic and wants to know that shared state survives it. The parts are
/// handles whose locks are held for single steps, so a panic leaves nothing half written.
#[derive(Debug, StateData)]
struct Shared(AssertUnwindSafe<Arc<Parts>>);

impl Clone for Shared {
    fn clone(&self) -> Self {
        Self(AssertUnwindSafe(Arc::clone(&self.0)))
    }
}

/// The running interface.
#[derive(Debug)]
pub struct Admin {
    server: Server,
}

impl Admin {
    /// Binds `address` and serves the interface on it.
    ///
    /// # Errors
    /// Where the address cannot be bound.
    pub async fn bind(address: SocketAddr, options: Options, parts: Parts) -> Result<Self> {
        let router = router::build(Shared(AssertUnwindSafe(Arc::new(parts))));
        Ok(Self {
            server: Server::bind(address, options, router).await?,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Finishes what is in flight and closes.
    pub async fn stop(self) {
        self.server.stop().await;
    }

    /// Closes at once, as a killed process would.
    pub fn abort(self) {
        self.server.abort();
    }
}
