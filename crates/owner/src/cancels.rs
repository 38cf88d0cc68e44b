//! Cancels that an owner has received, logged until nothing of their jobs runs.

use log::info;
use primroseroute_cell::{Cell, Millis};
use primroseroute_domain::work::{JobId, Name};
use std::collections::{BTreeMap, BTreeSet};

/// An answer of the change feed of a pool's jobs, on its owner's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FeedRead {
    /// When the call was sent that gave the previous answer: what this one shows was stored after
    /// that.
    pub before: Millis,
    /// When it arrived.
    pub at: Millis,
}

/// Cancelled jobs of a pool of which something may run.
#[derive(Debug)]
pub(crate) struct CancelTracker {
    pool: Name,
    /// When each one's cancel was received.
    stopping: BTreeMap<JobId, Millis>,
}

impl CancelTracker {
    pub(crate) fn new(pool: &Name) -> Self {
        Self {
            pool: Name::clone(pool),
            stopping: BTreeMap::new(),
        }
    }

    /// Applies cancels that a new owner has found.
    pub(crate) fn apply_found(&mut self, cell: &mut Cell, jobs: &BTreeSet<JobId>, wall_ms: u64) {
        let pool = &*Name::clone(&self.pool);
        for job in jobs {
            if let Some(runs) = cell.cancel(job, wall_ms) {
                info!(pool, job:% = job, runs; "cancel found at takeover");
                self.track(job, runs, cell.feed_watermark());
            }
        }
    }

    /// Applies cancels that the change feed has shown.
    pub(crate) fn apply(
        &mut self,
        cell: &mut Cell,
        jobs: &BTreeSet<JobId>,
        read: FeedRead,
        (now, wall_ms): (Millis, u64),
    ) {
        let pool = &*Name::clone(&self.pool);
        for job in jobs {
            if let Some(runs) = cell.cancel(job, wall_ms) {
                // The row has no time in it, and clocks of entries differ.
                let stored_within_ms = now.saturating_sub(read.before);
                let waited_ms = now.saturating_sub(read.at);
                info!(pool, job:% = job, runs, stored_within_ms, waited_ms; "cancel received");
                self.track(job, runs, now);
            }
        }
    }

    fn track(&mut self, job: &JobId, runs: usize, now: Millis) {
        if runs > 0 {
            self.stopping.insert(job.clone(), now);
        }
    }

    /// Logs the jobs of which nothing runs any more.
    pub(crate) fn log_ended(&mut self, cell: &Cell, now: Millis) {
        let pool = &*self.pool;
        self.stopping.retain(|job, since| {
            let runs = cell.runs_of(job) > 0;
            if !runs {
                let took_ms = now.saturating_sub(*since);
                info!(pool, job:% = job, took_ms; "all runs of cancelled job ended");
            }
            runs
        });
    }
}
