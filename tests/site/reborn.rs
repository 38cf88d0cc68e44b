//! Workers that restart under the same id.
//!
//! The comment on each case names the failure that it guards against.

use crate::{
    bed::{Bed, POOL, job, lasting, seconds, task},
    cases,
};
use eyre::{Result, ensure, eyre};
use primroseroute_domain::work::{JobId, Name, State};
use primroseroute_standin::site::{Event, Reach};
use std::time::Duration;
use tokio::time::sleep;

cases! {
    /// Run ends of a worker's next incarnation that are mistaken for old ones, so that their tasks run again and
    /// again.
    ends_of_a_next_life_are_taken_in => next_life(401, Duration::from_secs(BACK));
    /// The same where the worker is back before any entry has noticed its crash.
    ends_of_a_next_life_that_nobody_missed_are_taken_in => next_life(402, Duration::from_millis(300));
    /// Tasks that wait for a lease of a terminated incarnation to expire.
    runs_of_a_life_that_is_over_start_again_soon => lost_runs();
    /// A worker that is never used again under its id.
    worker_that_was_over_is_used_again => used_again();
    /// Long-running tasks whose lease expires, since it is counted on the clock of the previous incarnation.
    lasting_tasks_stay_on_a_next_life => lease();
    /// A start that reaches the incarnation after the one that it was sent to, while its task runs elsewhere.
    late_start_of_a_life_before_runs_beside_no_other => late_start();
    /// The same for starts of a former owner.
    late_start_of_a_former_owner_runs_beside_no_other => late_start_of_former_owner();
    /// Unbounded retries of a task that crashes its workers, which restart under the same ids.
    crashes_of_workers_that_keep_their_ids_count => crashes();
    /// Runs of the previous incarnation that a new owner assumes to be running.
    next_owner_finds_the_next_life => next_owner();
}

/// Seconds from a crash until the worker has restarted.
const BACK: u64 = 3;

/// The only worker of a pool.
fn only_worker(bed: &Bed) -> Result<Name> {
    let worker = bed.workers_of(POOL).pop();
    worker.ok_or_else(|| eyre!("no worker"))
}

/// Crashes a worker, and restarts it under the same id `after` that.
async fn renew(bed: &Bed, worker: &Name, after: Duration) -> Result<()> {
    let instance = bed.instance_of(worker);
    let instance = instance.ok_or_else(|| eyre!("{worker} has no instance"))?;
    bed.world.crash(worker);
    sleep(after).await;
    bed.world.restart_as(&instance, worker);
    Ok(())
}

/// Number of starts of a job's tasks so far.
fn starts(bed: &Bed, id: &JobId) -> usize {
    bed.count(|event| matches!(event, Event::Started { task, .. } if task.job == *id))
}

async fn until_starts(bed: &Bed, id: &JobId, count: usize) -> Result<()> {
    let started = |bed: &Bed| (starts(bed, id) >= count).then_some(());
    bed.wait_for("a start", 30, started).await
}

/// A worker reports run ends, crashes, and restarts `after` the crash; tasks of its next incarnation are started
/// once each.
async fn next_life(seed: u64, after: Duration) -> Result<()> {
    let mut bed = Bed::open(seed, 3, 1).await?;
    let before = bed.submit("e-0", &job("200", 20)).await?;
    bed.until("e-0", &before, State::Completed, 20).await?;
    let worker = only_worker(&bed)?;
    renew(&bed, &worker, after).await?;
    let after = bed.submit("e-0", &job("200", 4)).await?;
    bed.until("e-0", &after, State::Completed, 20).await?;
    ensure!(starts(&bed, &after) == 4, "{}", starts(&bed, &after));
    bed.judge()
}

async fn lost_runs() -> Result<()> {
    let mut bed = Bed::open(403, 3, 1).await?;
    let id = bed.submit("e-0", &job("3000", 3)).await?;
    until_starts(&bed, &id, 3).await?;
    seconds(1).await;
    let worker = only_worker(&bed)?;
    renew(&bed, &worker, Duration::from_millis(800)).await?;
    seconds(2).await;
    ensure!(starts(&bed, &id) == 6, "{}", starts(&bed, &id));
    bed.until("e-0", &id, State::Completed, 10).await?;
    bed.judge()
}

async fn used_again() -> Result<()> {
    let mut bed = Bed::open(404, 3, 2).await?;
    let long = bed.submit("e-0", &job("4000", 12)).await?;
    until_starts(&bed, &long, 12).await?;
    let worker = bed.running(&task(&long, 0, 0)).pop();
    let worker = worker.ok_or_else(|| eyre!("task 0 does not run"))?;
    renew(&bed, &worker, Duration::from_secs(6)).await?;
    seconds(2).await;
    let wide = bed.submit("e-0", &job("2000", 16)).await?;
    until_starts(&bed, &wide, 16).await?;
    seconds(1).await;
    let used = (0..16).any(|index| bed.running(&task(&wide, 0, index)).contains(&worker));
    ensure!(used, "{worker} is not used");
    bed.until("e-0", &wide, State::Completed, 20).await?;
    bed.judge()
}

async fn lease() -> Result<()> {
    let mut bed = Bed::open(405, 3, 1).await?;
    let worker = only_worker(&bed)?;
    seconds(10).await;
    renew(&bed, &worker, Duration::from_secs(BACK)).await?;
    let id = bed.submit("e-0", &lasting(1)).await?;
    until_starts(&bed, &id, 1).await?;
    seconds(30).await;
    ensure!(starts(&bed, &id) == 1, "the task was started again");
    ensure!(bed.running(&task(&id, 0, 0)) == vec![worker]);
    bed.judge()
}

async fn late_start() -> Result<()> {
    for seed in 0..6 {
        let mut bed = Bed::open(410 + seed, 3, 2).await?;
        bed.conduct_all(|conduct| conduct.late_orders = 1.0);
        let id = bed.submit("e-0", &job("4000", 4)).await?;
        sleep(Duration::from_millis(300)).await;
        let worker = Name::clone(&bed.workers_of(POOL)[0]);
        bed.conduct_all(|conduct| conduct.late_orders = 0.0);
        renew(&bed, &worker, Duration::from_secs(BACK)).await?;
        bed.until("e-0", &id, State::Completed, 60).await?;
        seconds(15).await;
        bed.judge()?;
    }
    Ok(())
}

async fn late_start_of_former_owner() -> Result<()> {
    for seed in 0..6 {
        let mut bed = Bed::open(420 + seed, 3, 2).await?;
        bed.conduct_all(|conduct| conduct.late_orders = 1.0);
        let id = bed.submit("e-0", &job("4000", 4)).await?;
        sleep(Duration::from_millis(300)).await;
        let owner = bed.owner(POOL).await?;
        bed.conduct(&owner, |conduct| conduct.store = Reach::Silent);
        let worker = Name::clone(&bed.workers_of(POOL)[0]);
        renew(&bed, &worker, Duration::from_secs(BACK)).await?;
        bed.conduct_all(|conduct| {
            conduct.late_orders = 0.0;
            conduct.store = Reach::Fine;
        });
        bed.until("e-0", &id, State::Completed, 60).await?;
        seconds(15).await;
        bed.judge()?;
    }
    Ok(())
}

async fn crashes() -> Result<()> {
    let mut bed = Bed::open_with_same_ids(406, 3, 5).await?;
    let others = bed.submit("e-0", &job("2000", 8)).await?;
    let id = bed.submit("e-0", &job("5 crashes", 1)).await?;
    bed.until("e-0", &id, State::Failed, 60).await?;
    bed.until("e-0", &others, State::Completed, 60).await?;
    seconds(20).await;
    bed.judge()
}

async fn next_owner() -> Result<()> {
    let mut bed = Bed::open(407, 3, 1).await?;
    let before = bed.submit("e-0", &job("200", 20)).await?;
    bed.until("e-0", &before, State::Completed, 20).await?;
    let id = bed.submit("e-0", &job("3000", 4)).await?;
    until_starts(&bed, &id, 4).await?;
    let owner = bed.owner(POOL).await?;
    let worker = only_worker(&bed)?;
    bed.kill(&owner);
    renew(&bed, &worker, Duration::from_millis(500)).await?;
    let other = bed.nodes.keys().next().cloned();
    let other = other.ok_or_else(|| eyre!("no entry"))?;
    bed.until(&other, &id, State::Completed, 30).await?;
    ensure!(starts(&bed, &id) == 8, "{}", starts(&bed, &id));
    bed.judge()
}
