//! Background jobs: carries out the decisions of the `jobs` crate while the lease is held.
//!
//! The driver runs in its own task, so that slow calls to the platform's tasks never delay the
//! lifecycle, and a hanging list of instances never lets leases of runs expire.
//!
//! # A cycle
//!
//! The task reports are read first. Inside [`primroseroute_view::commit_with_retry`], on the newest
//! rows, a copy of the scheduler applies the operators' changes and the reports, and plans. All
//! rows of the plan, and the rows of instances that it quarantines, are committed as one change
//! that is conditional on the epoch. Only after the commit does the copy replace the scheduler and
//! are the calls sent. A plan without rows commits nothing; in that case the epoch row is read
//! before anything is sent.
//!
//! # Commits with an unknown outcome
//!
//! The copy is discarded and nothing is sent. If the rows were written after all, the next cycle
//! finds a start in the table that the scheduler doesn't know, and rebuilds the scheduler from the
//! rows as a successor would: the run counts as taken over, and its lease must expire first.
//!
//! # Paused controllers
//!
//! Each call is sent within `calls::SEND_TIMEOUT` of the decision that was validated by the
//! epoch, or not at all. A successor assumes that each run was renewed until one whole lease after
//! its takeover, which is longer.
//!
//! # Drains
//!
//! [`drain_acknowledgement`] adds an acknowledgement of the tasks to those of the entries: an
//! instance is not empty as long as a row says that a job runs or may run there.

mod acknowledgement;
mod calls;
mod driver;
mod observation;
mod quarantine;
mod row_cache;
mod state;

pub use acknowledgement::drain_acknowledgement;
pub(crate) use driver::DriverHandle;
pub(crate) use observation::{LatestObservation, Observation};

use primroseroute_jobs::Limits;
use primroseroute_platform::task::Resources;
use std::time::Duration;

/// Starts per plan. With as many ends and as many deletions that makes 300 rows in 2 s, a quarter
/// of the store's write rate.
const MAX_STARTS: usize = 100;

/// Default cores of a worker.
const DEFAULT_CORES: f64 = 64.0;

/// Default memory of a worker: 256 GiB.
const DEFAULT_MEMORY_BYTES: f64 = 256.0 * 1024.0 * 1024.0 * 1024.0;

/// Settings of the job driver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Resources of each worker for jobs. The platform's list contains no sizes, so all workers are
    /// assumed to be equal.
    pub capacity: Resources,
    /// Limits of the scheduler.
    pub limits: Limits,
    /// How long a drain waits for checkpoints before jobs are stopped without one.
    pub drain_timeout: Duration,
    /// Interval between plans.
    pub cycle: Duration,
}

impl Default for Settings {
    /// Workers of 64 cores and 256 GiB without accelerators. A minute is enough for a checkpoint.
    /// The 2 s cycle is a fifth of the interval between two renewals.
    fn default() -> Self {
        Self {
            capacity: Resources {
                cores: DEFAULT_CORES,
                memory: DEFAULT_MEMORY_BYTES,
                accelerators: 0.0,
            },
            limits: Limits {
                starts: MAX_STARTS,
                ..Limits::default()
            },
            drain_timeout: Duration::from_secs(60),
            cycle: Duration::from_secs(2),
        }
    }
}
