//! Cancels that an owner has taken in, as its lines tell of them until nothing of their jobs runs.

use log::info;
use primroseroute_cell::{Cell, Millis};
use primroseroute_domain::work::{JobId, Name};
use std::collections::{BTreeMap, BTreeSet};

/// An answer of the feed of a pool's jobs, on its owner's steady clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Read {
    /// When the call was sent that gave the answer before it: what it shows was stored after that.
    pub before: Millis,
    /// When it came.
    pub at: Millis,
}

/// Cancelled jobs of a pool of which something may run.
#[derive(Debug)]
pub(crate) struct Cancels {
    pool: Name,
    /// When each one's cancel was taken in.
    stopping: BTreeMap<JobId, Millis>,
}

impl Cancels {
    pub(crate) fn new(pool: &Name) -> Self {
        Self {
            pool: Name::clone(pool),
            stopping: BTreeMap::new(),
        }
    }

    /// Takes in cancels that a new owner has found.
    pub(crate) fn found(&mut self, cell: &mut Cell, jobs: &BTreeSet<JobId>, wall_ms: u64) {
        let pool = &*Name::clone(&self.pool);
        for job in jobs {
            if let Some(runs) = cell.cancel(job, wall_ms) {
                info!(pool, job:% = job, runs; "cancel found at a takeover");
                self.stops(job, runs, cell.feed_watermark());
            }
        }
    }

    /// Takes in cancels that the feed has shown.
    pub(crate) fn take(
        &mut self,
        cell: &mut Cell,
        jobs: &BTreeSet<JobId>,
        read: Read,
        (now, wall_ms): (Millis, u64),
    ) {
        let pool = &*Name::clone(&self.pool);
        for job in jobs {
            if let Some(runs) = cell.cancel(job, wall_ms) {
                // The row has no time in it, and clocks of entries differ.
                let stored_within_ms = now.saturating_sub(read.before);
                let waited_ms = now.saturating_sub(read.at);
                info!(pool, job:% = job, runs, stored_within_ms, waited_ms; "cancel taken in");
                self.stops(job, runs, now);
            }
        }
    }

    fn stops(&mut self, job: &JobId, runs: usize, now: Millis) {
        if runs > 0 {
            self.stopping.insert(job.clone(), now);
        }
    }

    /// Tells of jobs of which nothing runs any more.
    pub(crate) fn tell_over(&mut self, cell: &Cell, now: Millis) {
        let pool = &*self.pool;
        self.stopping.retain(|job, since| {
            let runs = cell.runs_of(job) > 0;
            if !runs {
                let took_ms = now.saturating_sub(*since);
                info!(pool, job:% = job, took_ms; "runs of a cancelled job are over");
            }
            runs
        });
    }
}
