//! What an owner reports of itself for metrics.

use primroseroute_cell::{Cause, Outcome};
use primroseroute_domain::work::{End, Name};
use std::{fmt, time::Duration};

/// Counts what owners do.
pub trait Observer: Send + Sync + fmt::Debug {
    /// A start has finished with this outcome.
    fn start_finished(&self, outcome: Outcome);

    /// A run has ended.
    fn run_ended(&self, how: End);

    /// So many runs were lost without an end.
    fn runs_lost(&self, cause: Cause, runs: usize);

    /// A pool was taken over.
    fn pool_taken_over(&self, pool: &Name);

    /// How many pools this entry owns now.
    fn pools_owned(&self, pools: usize);

    /// How many pools have no live owner, as this entry sees it; 0 while its view proves nothing.
    fn pools_unowned(&self, pools: usize);

    /// The demand of a pool's tasks, in thousandths of a core: of those that have runs, and of those
    /// that could start and wait.
    fn demand(&self, pool: &Name, running: u64, waiting: u64);

    /// The waits that a pool publishes: of a job within its account's entitlement, and of one beyond
    /// it.
    fn expected_waits(&self, pool: &Name, within: Duration, beyond: Duration);

    /// How many jobs of a queue wait to begin.
    fn jobs_queued(&self, queue: &Name, jobs: u64);

    /// How many workers of a pool are slow.
    fn slow_workers(&self, pool: &Name, workers: usize);

    /// How many jobs of a pool are held since the store refuses their progress.
    fn held_jobs(&self, pool: &Name, jobs: usize);

    /// How many waiting steps of a pool no instance of the fleet can run.
    fn unplaceable_steps(&self, pool: &Name, steps: usize);

    /// How many cancelled ids of a pool are held by tombstones.
    fn tombstones(&self, pool: &Name, tombstones: usize);

    /// So many runs are moved off slow workers of a pool.
    fn runs_moved(&self, pool: &Name, runs: usize);

    /// A worker of a pool has refused a poll for its fencing token.
    fn poll_fenced(&self, pool: &Name);

    /// A commit has taken this long, retries included.
    fn commit_finished(&self, took: Duration);

    /// How long ago the call was sent that gave the newest answer of the change feed of a pool's
    /// jobs: the age of what its owner knows.
    fn jobs_feed_age(&self, pool: &Name, ago: Duration);

    /// A round of a pool's loop has taken this long, its commit included.
    fn round_finished(&self, pool: &Name, took: Duration);

    /// An order of this kind has waited this long from the decision until it was sent.
    fn order_waited(&self, order: &'static str, waited: Duration);
}

/// Counts nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoopObserver;

impl Observer for NoopObserver {
    fn start_finished(&self, _outcome: Outcome) {}
    fn run_ended(&self, _how: End) {}
    fn runs_lost(&self, _cause: Cause, _runs: usize) {}
    fn pool_taken_over(&self, _pool: &Name) {}
    fn pools_owned(&self, _pools: usize) {}
    fn pools_unowned(&self, _pools: usize) {}
    fn demand(&self, _pool: &Name, _running: u64, _waiting: u64) {}
    fn expected_waits(&self, _pool: &Name, _within: Duration, _beyond: Duration) {}
    fn jobs_queued(&self, _queue: &Name, _jobs: u64) {}
    fn slow_workers(&self, _pool: &Name, _workers: usize) {}

    fn held_jobs(&self, _pool: &Name, _jobs: usize) {}
    fn unplaceable_steps(&self, _pool: &Name, _steps: usize) {}
    fn tombstones(&self, _pool: &Name, _tombstones: usize) {}
    fn runs_moved(&self, _pool: &Name, _runs: usize) {}
    fn poll_fenced(&self, _pool: &Name) {}
    fn commit_finished(&self, _took: Duration) {}
    fn jobs_feed_age(&self, _pool: &Name, _ago: Duration) {}
    fn round_finished(&self, _pool: &Name, _took: Duration) {}
    fn order_waited(&self, _order: &'static str, _waited: Duration) {}
}
