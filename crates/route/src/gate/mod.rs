//! The gates before the pools: pure decisions behind a lock, and the requests that wait on them.
//!
//! * [`one`]: the gate before one pool, and the task that ticks it.
//! * [`ticket`]: a request's place at a gate.
//! * [`all`]: the gates of one entry, and the views that are put in force at them.
//!
//! Lock order: `Gates::in_force`, then `Gates::open`, then `Gate::state`. No lock is held across an
//! await.

mod all;
mod one;
mod ticket;

pub use all::Gates;
pub(crate) use ticket::Ticket;

use primroseroute_domain::{account::Class, id, outcome::Code};
use std::time::Duration;
use tokio::time::Instant;

/// What a request is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Try this instance.
    Send {
        instance: id::Instance,
        not_after: Instant,
    },
    /// Give up.
    Refuse { code: Code, retry_after: Duration },
}

/// A request that asks to be let through.
#[derive(Clone, Debug)]
pub(crate) struct Entrant {
    pub account: id::Account,
    pub service: id::Service,
    pub class: Class,
    pub deadline: Instant,
    pub idempotent: bool,
}
