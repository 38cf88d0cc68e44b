//! The admin API over HTTP.

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

/// Components that the admin API uses.
#[derive(Clone, Debug)]
pub struct Components {
    /// The running entry.
    pub local: Arc<dyn Local>,
    /// The ledger to which changes are committed.
    pub ledger: Ledger,
    /// The audit trail.
    pub trail: Trail,
    /// The entry's view.
    pub cell: Arc<SnapshotCell>,
    /// Wall clock for change records.
    pub clock: Arc<dyn Clock>,
    /// The deployment's cost weights, for planning waves.
    pub weights: Weights,
    /// Capacity of a worker for jobs.
    pub capacity: Resources,
    /// Tokens of the operators that may use the API.
    pub tokens: Tokens,
}

/// [`Components`] in the form in which gotham's handlers share them.
///
/// gotham catches panics of handlers and requires shared state to be unwind safe. The components are
/// handles whose locks are held for single operations only, so a panic leaves no partial write.
#[derive(Debug, StateData)]
struct Shared(AssertUnwindSafe<Arc<Components>>);

impl Clone for Shared {
    fn clone(&self) -> Self {
        Self(AssertUnwindSafe(Arc::clone(&self.0)))
    }
}

/// The running admin API server.
#[derive(Debug)]
pub struct Admin {
    server: Server,
}

impl Admin {
    /// Binds `address` and serves the admin API on it.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        options: Options,
        components: Components,
    ) -> Result<Self> {
        let router = router::build(Shared(AssertUnwindSafe(Arc::new(components))));
        Ok(Self {
            server: Server::bind(address, options, router).await?,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Shuts down after requests in flight have finished.
    pub async fn stop(self) {
        self.server.stop().await;
    }

    /// Closes all connections at once, as a killed process would.
    pub fn abort(self) {
        self.server.abort();
    }
}
