//! Workers whose capacity shrinks and grows while they run.
//!
//! The comment on each case names the failure that it guards against.

use crate::{
    cases,
    fixture::{Fixture, POOL, job, long_running, sleep_secs, task},
};
use eyre::{Result, ensure};
use primroseroute_domain::work::{Demand, Name, State};
use primroseroute_standin::site::CAPACITY;

cases! {
    /// Starts beyond a capacity that has shrunk.
    shrunk_capacity_is_not_exceeded => shrunk();
    /// Capacity that is never used again once it has shrunk.
    restored_capacity_is_used => grown();
    /// Starts beyond the capacity while other runs are still being stopped.
    run_that_is_being_stopped_occupies_capacity => stopping();
    /// A full worker that gets more tasks from the next owner, which knows an older capacity.
    next_owner_knows_the_capacity => next_owner();
    /// Long-running tasks that lose their worker because its capacity has shrunk below their demand.
    long_running_tasks_stay_when_capacity_shrinks => long_running_stays();
}

/// Half of a worker's initial capacity: enough for four tasks of these tests.
const HALF: Demand = Demand {
    cpu: CAPACITY.cpu / 2,
    ..CAPACITY
};

fn resize(fixture: &Fixture, capacity: Demand) {
    for worker in fixture.workers_of(POOL) {
        fixture.world.resize(&worker, capacity);
    }
}

async fn shrunk() -> Result<()> {
    let mut fixture = Fixture::open(501, 3, 3).await?;
    resize(&fixture, HALF);
    sleep_secs(5).await;
    let id = fixture.submit("e-0", &job("1000", 40)).await?;
    fixture
        .wait_for_state("e-0", &id, State::Completed, 30)
        .await?;
    fixture.check_invariants()
}

async fn grown() -> Result<()> {
    let mut fixture = Fixture::open(502, 3, 1).await?;
    resize(&fixture, HALF);
    sleep_secs(5).await;
    resize(&fixture, CAPACITY);
    sleep_secs(5).await;
    let id = fixture.submit("e-0", &job("3000", 8)).await?;
    sleep_secs(1).await;
    let running = (0..8).filter(|index| !fixture.running(&task(&id, 0, *index)).is_empty());
    ensure!(running.count() == 8, "some tasks wait");
    fixture
        .wait_for_state("e-0", &id, State::Completed, 30)
        .await?;
    fixture.check_invariants()
}

async fn stopping() -> Result<()> {
    let stop = std::time::Duration::from_millis(900);
    let mut fixture = Fixture::open_with_slow_stops(503, 3, 1, stop).await?;
    let first = fixture.submit("e-0", &job("20000", 8)).await?;
    sleep_secs(1).await;
    let next = fixture.submit("e-0", &job("500", 8)).await?;
    fixture.cancel("e-0", &first).await;
    fixture
        .wait_for_state("e-0", &next, State::Completed, 20)
        .await?;
    fixture.check_invariants()
}

async fn next_owner() -> Result<()> {
    let mut fixture = Fixture::open(504, 3, 2).await?;
    resize(&fixture, HALF);
    let owner = fixture.owner(POOL).await?;
    fixture.kill(&owner);
    sleep_secs(6).await;
    let entry = fixture.non_owner(POOL).await?;
    let id = fixture.submit(&entry, &job("1000", 30)).await?;
    fixture
        .wait_for_state(&entry, &id, State::Completed, 30)
        .await?;
    fixture.check_invariants()
}

async fn long_running_stays() -> Result<()> {
    let mut fixture = Fixture::open(505, 3, 2).await?;
    let id = fixture.submit("e-0", &long_running(2)).await?;
    sleep_secs(3).await;
    let before: Vec<Vec<Name>> = (0..2)
        .map(|index| fixture.running(&task(&id, 0, index)))
        .collect();
    resize(&fixture, Demand { cpu: 0, ..CAPACITY });
    sleep_secs(10).await;
    let after: Vec<Vec<Name>> = (0..2)
        .map(|index| fixture.running(&task(&id, 0, index)))
        .collect();
    ensure!(before == after, "{before:?} {after:?}");
    resize(&fixture, CAPACITY);
    sleep_secs(5).await;
    fixture.check_invariants()
}
