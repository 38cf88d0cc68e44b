//! Background jobs: drives the `jobs` crate's decisions while the lease is held.
//!
//! A task of its own, so that a slow call to the platform's tasks never holds up the lifecycle, and
//! a hanging list of instances never lets leases of runs lapse.
//!
//! # A cycle
//!
//! The task reports are read first. Inside [`primroseroute_view::amend`], on the newest rows, a copy
//! of the scheduler takes in what operators wrote and what the reports say, and plans. All rows of the
//! plan, and the rows of instances that it quarantines, go out as one change that is conditional on
//! the epoch. Only when that is committed does the copy become the scheduler, and are the calls sent. A
//! plan without rows commits nothing; there the epoch row is read before anything is sent.
//!
//! # Where a commit's fate is not known
//!
//! The copy is dropped and nothing is sent. Should the rows have been written after all, the next
//! cycle finds a start in the table that the scheduler doesn't know, and opens the scheduler anew from the
//! rows, as a successor would: the run counts as taken over and is waited out.
//!
//! # Paused controllers
//!
//! Each call is sent within [`calls::SEND`] of the decision that the epoch vouched for, or not at
//! all. A successor counts each run as renewed one whole lease after its takeover, which is longer.
//!
//! # Drains
//!
//! [`voice`] speaks for the tasks among the entries' acknowledgements: an instance is not empty as
//! long as a row says that a job runs or may run there.

mod calls;
mod driver;
mod mirror;
mod quarantine;
mod sight;
mod state;
mod voice;

pub(crate) use driver::Keeper;
pub(crate) use sight::{Desk, Sight};
pub use voice::voice;

use primroseroute_jobs::Limits;
use primroseroute_platform::task::Resources;
use std::time::Duration;

/// Starts of one plan: with as many ends and as many deletions, 300 rows in 2 s, a quarter of what
/// the store writes.
const BATCH: usize = 100;

/// What a worker has by default: 64 cores.
const CORES: f64 = 64.0;

/// What a worker has by default: 256 GiB.
const MEMORY: f64 = 256.0 * 1024.0 * 1024.0 * 1024.0;

/// How jobs are driven.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// What each worker has for jobs; the platform's list says nothing of sizes, so all are alike.
    pub capacity: Resources,
    /// The numbers that the decisions go by.
    pub limits: Limits,
    /// How long after its begin a drain waits for checkpoints before jobs are stopped without.
    pub drain: Duration,
    /// Between two plans.
    pub cycle: Duration,
}

impl Default for Settings {
    /// Workers of 64 cores and 256 GiB without accelerators; a minute is time for a checkpoint; a
    /// plan in 2 s is a fifth of the time between two renewals.
    fn default() -> Self {
        Self {
            capacity: Resources {
                cores: CORES,
                memory: MEMORY,
                accelerators: 0.0,
            },
            limits: Limits {
                starts: BATCH,
                ..Limits::default()
            },
            drain: Duration::from_secs(60),
            cycle: Duration::from_secs(2),
        }
    }
}
