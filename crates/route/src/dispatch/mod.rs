//! Dispatchers: each guards the `flow` state machine of one pool with a lock and delivers its
//! decisions to the waiting requests.
//!
//! * [`dispatcher`]: the dispatcher of one pool, and the task that drives its timers.
//! * [`handle`]: a request's registration with a dispatcher.
//! * [`dispatchers`]: the dispatchers of one entry, and the views that are applied to them.
//!
//! Lock order: `Dispatchers::applied_seq`, then `Dispatchers::by_pool`, then `Dispatcher::state`.
//! No lock is held across an await.

mod dispatcher;
mod dispatchers;
mod handle;

pub use dispatchers::Dispatchers;
pub(crate) use handle::RequestHandle;

use primroseroute_domain::{account::Class, id, outcome::Code};
use std::time::Duration;
use tokio::time::Instant;

/// Decision of a dispatcher on one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Send an attempt to this instance.
    Send {
        instance: id::Instance,
        not_after: Instant,
    },
    /// Refuse the request.
    Refuse { code: Code, retry_after: Duration },
}

/// A request to be dispatched.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub account: id::Account,
    pub service: id::Service,
    pub class: Class,
    pub deadline: Instant,
    pub idempotent: bool,
}
