//! Workers that restart under the same id.
//!
//! The comment on each case names the failure that it guards against.

use crate::{
    cases,
    fixture::{Fixture, POOL, job, long_running, sleep_secs, task},
};
use eyre::{Result, ensure, eyre};
use primroseroute_domain::work::{JobId, Name, State};
use primroseroute_standin::site::{Event, Reach};
use std::time::Duration;
use tokio::time::sleep;

cases! {
    /// Run ends of a worker's next incarnation that are mistaken for old ones, so that their tasks run again and
    /// again.
    run_ends_of_the_next_incarnation_are_processed => next_incarnation(401, Duration::from_secs(RESTART_DELAY_SECS));
    /// The same where the worker is back before any entry has noticed its crash.
    run_ends_after_an_unnoticed_restart_are_processed => next_incarnation(402, Duration::from_millis(300));
    /// Tasks that wait for a lease of a terminated incarnation to expire.
    runs_of_a_terminated_incarnation_restart_soon => lost_runs();
    /// A worker that is never used again under its id.
    worker_that_was_terminated_is_used_again => used_again();
    /// Long-running tasks whose lease expires, since it is counted on the clock of the previous incarnation.
    long_running_tasks_stay_on_the_next_incarnation => lease();
    /// A start that reaches the incarnation after the one that it was sent to, while its task runs elsewhere.
    late_start_for_the_previous_incarnation_causes_no_overlap => late_start();
    /// The same for starts of a former owner.
    late_start_of_a_former_owner_causes_no_overlap => late_start_of_former_owner();
    /// Unbounded retries of a task that crashes its workers, which restart under the same ids.
    crashes_of_workers_that_keep_their_ids_count => crashes();
    /// Runs of the previous incarnation that a new owner assumes to be running.
    next_owner_detects_the_next_incarnation => next_owner();
}

/// Seconds from a crash until the worker has restarted.
const RESTART_DELAY_SECS: u64 = 3;

/// The only worker of a pool.
fn only_worker(fixture: &Fixture) -> Result<Name> {
    let worker = fixture.workers_of(POOL).pop();
    worker.ok_or_else(|| eyre!("no worker"))
}

/// Crashes a worker, and restarts it under the same id `after` that.
async fn restart_with_same_id(fixture: &Fixture, worker: &Name, after: Duration) -> Result<()> {
    let instance = fixture.instance_of(worker);
    let instance = instance.ok_or_else(|| eyre!("{worker} has no instance"))?;
    fixture.world.crash(worker);
    sleep(after).await;
    fixture.world.restart_as(&instance, worker);
    Ok(())
}

/// Number of starts of a job's tasks so far.
fn starts(fixture: &Fixture, id: &JobId) -> usize {
    fixture.count(|event| matches!(event, Event::Started { task, .. } if task.job == *id))
}

async fn until_starts(fixture: &Fixture, id: &JobId, count: usize) -> Result<()> {
    let started = |fixture: &Fixture| (starts(fixture, id) >= count).then_some(());
    fixture.wait_for("a start", 30, started).await
}

/// A worker reports run ends, crashes, and restarts `after` the crash; tasks of its next incarnation are started
/// once each.
async fn next_incarnation(seed: u64, after: Duration) -> Result<()> {
    let mut fixture = Fixture::open(seed, 3, 1).await?;
    let before = fixture.submit("e-0", &job("200", 20)).await?;
    fixture
        .wait_for_state("e-0", &before, State::Completed, 20)
        .await?;
    let worker = only_worker(&fixture)?;
    restart_with_same_id(&fixture, &worker, after).await?;
    let after = fixture.submit("e-0", &job("200", 4)).await?;
    fixture
        .wait_for_state("e-0", &after, State::Completed, 20)
        .await?;
    ensure!(
        starts(&fixture, &after) == 4,
        "{}",
        starts(&fixture, &after)
    );
    fixture.check_invariants()
}

async fn lost_runs() -> Result<()> {
    let mut fixture = Fixture::open(403, 3, 1).await?;
    let id = fixture.submit("e-0", &job("3000", 3)).await?;
    until_starts(&fixture, &id, 3).await?;
    sleep_secs(1).await;
    let worker = only_worker(&fixture)?;
    restart_with_same_id(&fixture, &worker, Duration::from_millis(800)).await?;
    sleep_secs(2).await;
    ensure!(starts(&fixture, &id) == 6, "{}", starts(&fixture, &id));
    fixture
        .wait_for_state("e-0", &id, State::Completed, 10)
        .await?;
    fixture.check_invariants()
}

async fn used_again() -> Result<()> {
    let mut fixture = Fixture::open(404, 3, 2).await?;
    let long = fixture.submit("e-0", &job("4000", 12)).await?;
    until_starts(&fixture, &long, 12).await?;
    let worker = fixture.running(&task(&long, 0, 0)).pop();
    let worker = worker.ok_or_else(|| eyre!("task 0 does not run"))?;
    restart_with_same_id(&fixture, &worker, Duration::from_secs(6)).await?;
    sleep_secs(2).await;
    let wide = fixture.submit("e-0", &job("2000", 16)).await?;
    until_starts(&fixture, &wide, 16).await?;
    sleep_secs(1).await;
    let used = (0..16).any(|index| fixture.running(&task(&wide, 0, index)).contains(&worker));
    ensure!(used, "{worker} is not used");
    fixture
        .wait_for_state("e-0", &wide, State::Completed, 20)
        .await?;
    fixture.check_invariants()
}

async fn lease() -> Result<()> {
    let mut fixture = Fixture::open(405, 3, 1).await?;
    let worker = only_worker(&fixture)?;
    sleep_secs(10).await;
    restart_with_same_id(&fixture, &worker, Duration::from_secs(RESTART_DELAY_SECS)).await?;
    let id = fixture.submit("e-0", &long_running(1)).await?;
    until_starts(&fixture, &id, 1).await?;
    sleep_secs(30).await;
    ensure!(starts(&fixture, &id) == 1, "the task was started again");
    ensure!(fixture.running(&task(&id, 0, 0)) == vec![worker]);
    fixture.check_invariants()
}

async fn late_start() -> Result<()> {
    for seed in 0..6 {
        let mut fixture = Fixture::open(410 + seed, 3, 2).await?;
        fixture.update_all_faults(|faults| faults.late_orders = 1.0);
        let id = fixture.submit("e-0", &job("4000", 4)).await?;
        sleep(Duration::from_millis(300)).await;
        let worker = Name::clone(&fixture.workers_of(POOL)[0]);
        fixture.update_all_faults(|faults| faults.late_orders = 0.0);
        restart_with_same_id(&fixture, &worker, Duration::from_secs(RESTART_DELAY_SECS)).await?;
        fixture
            .wait_for_state("e-0", &id, State::Completed, 60)
            .await?;
        sleep_secs(15).await;
        fixture.check_invariants()?;
    }
    Ok(())
}

async fn late_start_of_former_owner() -> Result<()> {
    for seed in 0..6 {
        let mut fixture = Fixture::open(420 + seed, 3, 2).await?;
        fixture.update_all_faults(|faults| faults.late_orders = 1.0);
        let id = fixture.submit("e-0", &job("4000", 4)).await?;
        sleep(Duration::from_millis(300)).await;
        let owner = fixture.owner(POOL).await?;
        fixture.update_faults(&owner, |faults| faults.store = Reach::Silent);
        let worker = Name::clone(&fixture.workers_of(POOL)[0]);
        restart_with_same_id(&fixture, &worker, Duration::from_secs(RESTART_DELAY_SECS)).await?;
        fixture.update_all_faults(|faults| {
            faults.late_orders = 0.0;
            faults.store = Reach::Fine;
        });
        fixture
            .wait_for_state("e-0", &id, State::Completed, 60)
            .await?;
        sleep_secs(15).await;
        fixture.check_invariants()?;
    }
    Ok(())
}

async fn crashes() -> Result<()> {
    let mut fixture = Fixture::open_with_same_ids(406, 3, 5).await?;
    let others = fixture.submit("e-0", &job("2000", 8)).await?;
    let id = fixture.submit("e-0", &job("5 crashes", 1)).await?;
    fixture
        .wait_for_state("e-0", &id, State::Failed, 60)
        .await?;
    fixture
        .wait_for_state("e-0", &others, State::Completed, 60)
        .await?;
    sleep_secs(20).await;
    fixture.check_invariants()
}

async fn next_owner() -> Result<()> {
    let mut fixture = Fixture::open(407, 3, 1).await?;
    let before = fixture.submit("e-0", &job("200", 20)).await?;
    fixture
        .wait_for_state("e-0", &before, State::Completed, 20)
        .await?;
    let id = fixture.submit("e-0", &job("3000", 4)).await?;
    until_starts(&fixture, &id, 4).await?;
    let owner = fixture.owner(POOL).await?;
    let worker = only_worker(&fixture)?;
    fixture.kill(&owner);
    restart_with_same_id(&fixture, &worker, Duration::from_millis(500)).await?;
    let other = fixture.nodes.keys().next().cloned();
    let other = other.ok_or_else(|| eyre!("no entry"))?;
    fixture
        .wait_for_state(&other, &id, State::Completed, 30)
        .await?;
    ensure!(starts(&fixture, &id) == 8, "{}", starts(&fixture, &id));
    fixture.check_invariants()
}
