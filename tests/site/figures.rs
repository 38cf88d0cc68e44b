//! What owners tell of their loops, as metrics would show it.

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

/// Shorter than the time after which another entry takes the pool.
const AWHILE: Duration = Duration::from_millis(200);

cases! {
    figures_of_a_calm_pool => calm();
    figures_while_a_commit_waits => commit_waits();
    figures_while_answers_are_held_up => held_up();
}

/// The longest times so far.
#[derive(Debug, Default)]
pub(crate) struct Figures(Mutex<Longest>);

#[derive(Clone, Debug, Default)]
struct Longest {
    /// Age of the newest answer of the feed of [`POOL`]'s jobs.
    read: Duration,
    /// Rounds of its loop.
    round: Duration,
    /// Waits of orders, by kind.
    orders: BTreeMap<&'static str, Duration>,
}

impl Figures {
    /// What was longest since the last call.
    fn take(&self) -> Longest {
        std::mem::take(&mut *self.0.lock())
    }
}

impl Observer for Figures {
    fn start_finished(&self, _outcome: Outcome) {}
    fn run_ended(&self, _how: End) {}
    fn runs_lost(&self, _cause: Cause, _runs: usize) {}
    fn pool_taken_over(&self, _pool: &Name) {}
    fn pools_owned(&self, _pools: usize) {}
    fn jobs_queued(&self, _queue: &Name, _jobs: u64) {}
    fn commit_finished(&self, _took: Duration) {}

    fn jobs_feed_age(&self, pool: &Name, ago: Duration) {
        if &**pool == POOL {
            let mut longest = self.0.lock();
            longest.read = longest.read.max(ago);
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

// Nothing is wrong: the feed's own wait is all that the age shows, and rounds and orders are short.
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

// The commit of a start gets no answer for a while. The round and the start's wait show it; the feed goes on.
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

// Answers to the owner are held up for a while. What it knows of its jobs is as old as the last call that was answered
// before, and not as the moment at which an old answer came.
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
