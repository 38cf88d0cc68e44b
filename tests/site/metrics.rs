//! Metrics that owners report on their control loops.

use crate::{
    cases,
    fixture::{Fixture, POOL, job, long_running, sleep_secs},
};
use eyre::{Result, ensure};
use http::StatusCode;
use parking_lot::Mutex;
use primroseroute_cell::{Cause, Outcome};
use primroseroute_domain::work::{End, Name};
use primroseroute_owner::Observer;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::sleep;

/// Delay of a commit, shorter than the time after which another entry takes the pool over.
const COMMIT_DELAY: Duration = Duration::from_millis(200);

cases! {
    metrics_without_faults => without_faults();
    metrics_while_a_commit_is_delayed => commit_waits();
    metrics_while_responses_are_delayed => responses_delayed();
}

/// Records the longest reported durations.
#[derive(Debug, Default)]
pub(crate) struct RecordedMetrics(Mutex<LongestTimes>);

#[derive(Clone, Debug, Default)]
struct LongestTimes {
    /// Age of the newest response of the feed of [`POOL`]'s jobs.
    feed_age: Duration,
    /// Duration of a round of [`POOL`]'s control loop.
    round: Duration,
    /// Time for which orders waited before they were sent, by kind.
    orders: BTreeMap<&'static str, Duration>,
}

impl RecordedMetrics {
    /// Returns and resets the longest durations.
    fn take(&self) -> LongestTimes {
        std::mem::take(&mut *self.0.lock())
    }
}

impl Observer for RecordedMetrics {
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
    fn poll_fenced(&self, _pool: &Name) {}
    fn unplaceable_steps(&self, _pool: &Name, _steps: usize) {}
    fn tombstones(&self, _pool: &Name, _tombstones: usize) {}
    fn runs_moved(&self, _pool: &Name, _runs: usize) {}
    fn commit_finished(&self, _took: Duration) {}

    fn jobs_feed_age(&self, pool: &Name, ago: Duration) {
        if &**pool == POOL {
            let mut longest = self.0.lock();
            longest.feed_age = longest.feed_age.max(ago);
        }
    }

    fn round_finished(&self, pool: &Name, took: Duration) {
        if &**pool == POOL {
            let mut longest = self.0.lock();
            longest.round = longest.round.max(took);
        }
    }

    fn order_waited(&self, order: &'static str, waited: Duration) {
        let mut longest = self.0.lock();
        let known = longest.orders.entry(order).or_default();
        *known = waited.max(*known);
    }
}

// Without faults, the age of the feed is at most the time of one long poll, and rounds and waits of orders are
// short.
async fn without_faults() -> Result<()> {
    let mut fixture = Fixture::open(101, 2, 3).await?;
    fixture.metrics.take();
    let id = fixture.submit("e-0", &long_running(3)).await?;
    sleep_secs(2).await;
    ensure!(fixture.cancel("e-0", &id).await == StatusCode::OK);
    sleep_secs(3).await;
    let LongestTimes {
        feed_age,
        round,
        orders,
    } = fixture.metrics.take();
    ensure!(feed_age > Duration::ZERO && feed_age <= Duration::from_millis(2_300));
    ensure!(round > Duration::ZERO && round <= Duration::from_millis(100));
    for order in ["start", "stop"] {
        let waited = orders.get(order);
        ensure!(waited.is_some_and(|waited| *waited <= Duration::from_millis(100)));
    }
    Ok(())
}

// The commit of a start gets no response for a while. The durations of the round and of the start's wait show it,
// and the feed continues.
async fn commit_waits() -> Result<()> {
    let mut fixture = Fixture::open(102, 2, 3).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    fixture.metrics.take();
    fixture.update_faults(&owner, |faults| faults.late_commits = 1.0);
    fixture.submit(&other, &job("500", 1)).await?;
    sleep(COMMIT_DELAY).await;
    fixture.update_faults(&owner, |faults| faults.late_commits = 0.0);
    sleep_secs(6).await;
    let longest = fixture.metrics.take();
    ensure!(fixture.owner(POOL).await? == owner);
    ensure!(longest.round >= COMMIT_DELAY, "{longest:?}");
    let start = longest.orders.get("start");
    ensure!(
        start.is_some_and(|waited| *waited >= COMMIT_DELAY),
        "{longest:?}"
    );
    Ok(())
}

// Guards against an understated age of the feed. Responses to the owner are delayed. The age counts from the last
// call that was answered before the delay, and not from the arrival of an old response.
async fn responses_delayed() -> Result<()> {
    let fixture = Fixture::open(103, 2, 3).await?;
    let owner = fixture.owner(POOL).await?;
    fixture.metrics.take();
    fixture.update_faults(&owner, |faults| faults.frozen = true);
    sleep_secs(2).await;
    fixture.update_faults(&owner, |faults| faults.frozen = false);
    sleep_secs(1).await;
    let longest = fixture.metrics.take();
    ensure!(longest.feed_age >= Duration::from_secs(2), "{longest:?}");
    Ok(())
}
