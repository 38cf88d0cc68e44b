//! Metrics that owners report on their control loops.

use crate::{
    bed::{Bed, POOL, job, lasting, seconds},
    cases,
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
const AWHILE: Duration = Duration::from_millis(200);

cases! {
    figures_of_a_calm_pool => calm();
    figures_while_a_commit_waits => commit_waits();
    figures_while_answers_are_held_up => held_up();
}

/// Records the longest reported durations.
#[derive(Debug, Default)]
pub(crate) struct Figures(Mutex<Longest>);

#[derive(Clone, Debug, Default)]
struct Longest {
    /// Age of the newest response of the feed of [`POOL`]'s jobs.
    read: Duration,
    /// Duration of a round of [`POOL`]'s control loop.
    round: Duration,
    /// Time for which orders waited before they were sent, by kind.
    orders: BTreeMap<&'static str, Duration>,
}

impl Figures {
    /// Returns and resets the longest durations.
    fn take(&self) -> Longest {
        std::mem::take(&mut *self.0.lock())
    }
}

impl Observer for Figures {
    fn started(&self, _outcome: Outcome) {}
    fn ended(&self, _how: End) {}
    fn lost(&self, _cause: Cause, _runs: usize) {}
    fn taken_over(&self, _pool: &Name) {}
    fn owns(&self, _pools: usize) {}
    fn queued(&self, _queue: &Name, _jobs: u64) {}
    fn committed(&self, _took: Duration) {}

    fn jobs_read(&self, pool: &Name, ago: Duration) {
        if &**pool == POOL {
            let mut longest = self.0.lock();
            longest.read = longest.read.max(ago);
        }
    }

    fn round(&self, pool: &Name, took: Duration) {
        if &**pool == POOL {
            let mut longest = self.0.lock();
            longest.round = longest.round.max(took);
        }
    }

    fn sending(&self, order: &'static str, waited: Duration) {
        let mut longest = self.0.lock();
        let known = longest.orders.entry(order).or_default();
        *known = waited.max(*known);
    }
}

// Without faults, the age of the feed is at most the time of one long poll, and rounds and waits of orders are
// short.
async fn calm() -> Result<()> {
    let mut bed = Bed::open(101, 2, 3).await?;
    bed.figures.take();
    let id = bed.submit("e-0", &lasting(3)).await?;
    seconds(2).await;
    ensure!(bed.cancel("e-0", &id).await == StatusCode::OK);
    seconds(3).await;
    let Longest {
        read,
        round,
        orders,
    } = bed.figures.take();
    ensure!(read > Duration::ZERO && read <= Duration::from_millis(2_300));
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
    let mut bed = Bed::open(102, 2, 3).await?;
    let owner = bed.owner(POOL).await?;
    let other = bed.bystander(POOL).await?;
    bed.figures.take();
    bed.conduct(&owner, |conduct| conduct.late_commits = 1.0);
    bed.submit(&other, &job("500", 1)).await?;
    sleep(AWHILE).await;
    bed.conduct(&owner, |conduct| conduct.late_commits = 0.0);
    seconds(6).await;
    let longest = bed.figures.take();
    ensure!(bed.owner(POOL).await? == owner);
    ensure!(longest.round >= AWHILE, "{longest:?}");
    let start = longest.orders.get("start");
    ensure!(start.is_some_and(|waited| *waited >= AWHILE), "{longest:?}");
    Ok(())
}

// Guards against an understated age of the feed. Responses to the owner are delayed. The age counts from the last
// call that was answered before the delay, and not from the arrival of an old response.
async fn held_up() -> Result<()> {
    let bed = Bed::open(103, 2, 3).await?;
    let owner = bed.owner(POOL).await?;
    bed.figures.take();
    bed.conduct(&owner, |conduct| conduct.frozen = true);
    seconds(2).await;
    bed.conduct(&owner, |conduct| conduct.frozen = false);
    seconds(1).await;
    let longest = bed.figures.take();
    ensure!(longest.read >= Duration::from_secs(2), "{longest:?}");
    Ok(())
}
