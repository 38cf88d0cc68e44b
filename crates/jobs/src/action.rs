//! Actions that the scheduler requests.

use crate::row::Row;
use primroseroute_domain::id;
use primroseroute_platform::task::{Start, Token};
use std::time::Duration;

/// A call to the platform or a change to an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts a task.
    Start(Start),
    /// Extends the lease of a task.
    Renew {
        /// The job.
        job: id::Job,
        /// The token of its start.
        token: Token,
        /// The new lease.
        lease: Duration,
    },
    /// Asks a task to write a checkpoint.
    Checkpoint {
        /// The job.
        job: id::Job,
        /// The token of its start.
        token: Token,
    },
    /// Limits a task to a fraction of its processor cores.
    Throttle {
        /// The job.
        job: id::Job,
        /// The token of its start.
        token: Token,
        /// The fraction, 0 to 1.
        fraction: f64,
    },
    /// Stops a task.
    Stop {
        /// The job.
        job: id::Job,
        /// The token of its start.
        token: Token,
    },
    /// Takes an instance out of service.
    Quarantine {
        /// The instance.
        instance: id::Instance,
        /// The jobs that failed on it.
        failed: Vec<id::Job>,
    },
}

/// Rows to commit and actions to execute now.
///
/// The rows are committed first, all in one transaction; only then are the actions executed.
/// Otherwise a controller that dies between the two could leave a run that no row records, and its
/// successor would start the job a second time in parallel.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The changed rows.
    pub rows: Vec<Row>,
    /// The actions, in order.
    pub actions: Vec<Action>,
}
