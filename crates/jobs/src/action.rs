//! What the decisions ask for.

use crate::row::Row;
use primroseroute_domain::id;
use primroseroute_platform::task::{Start, Token};
use std::time::Duration;

/// One call to the platform, or a change to an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a task.
    Start(Start),
    /// Extend the lease of a task.
    Renew {
        /// The job.
        job: id::Job,
        /// Its start.
        token: Token,
        /// The lease from now on.
        lease: Duration,
    },
    /// Have a task write a checkpoint.
    Checkpoint {
        /// The job.
        job: id::Job,
        /// Its start.
        token: Token,
    },
    /// Limit a task to a fraction of its processor cores.
    Throttle {
        /// The job.
        job: id::Job,
        /// Its start.
        token: Token,
        /// The fraction, 0 to 1.
        fraction: f64,
    },
    /// Stop a task.
    Stop {
        /// The job.
        job: id::Job,
        /// Its start.
        token: Token,
    },
    /// Take an instance out of use.
    Quarantine {
        /// The instance.
        instance: id::Instance,
        /// The jobs that failed on it.
        failed: Vec<id::Job>,
    },
}

/// What is to be done now.
///
/// The rows are committed first, all in one transaction; only then are the actions carried out.
/// Else a controller that dies between the two could leave a run that no row knows, and its
/// successor would start the job a second time beside it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The rows that changed.
    pub rows: Vec<Row>,
    /// The calls, in order.
    pub actions: Vec<Action>,
}
