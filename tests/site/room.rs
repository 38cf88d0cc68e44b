//! Workers whose capacity shrinks and grows while they run.
//!
//! The comment on each case names the failure that it guards against.

use crate::{
    bed::{Bed, POOL, job, lasting, seconds, task},
    cases,
};
use eyre::{Result, ensure};
use primroseroute_domain::work::{Demand, Name, State};
use primroseroute_standin::site::CAPACITY;

cases! {
    /// Starts beyond a capacity that has shrunk.
    room_that_has_shrunk_takes_no_more_than_it_has => shrunk();
    /// Capacity that is never used again once it has shrunk.
    room_that_has_grown_again_is_used => grown();
    /// Starts beyond the capacity while other runs are still being stopped.
    run_that_is_being_stopped_takes_its_room => stopping();
    /// A full worker that gets more tasks from the next owner, which knows an older capacity.
    next_owner_knows_the_room => next_owner();
    /// Long-running tasks that lose their worker because its capacity has shrunk below their demand.
    lasting_tasks_stay_in_a_room_that_has_shrunk => stay();
}

/// Half of a worker's initial capacity: enough for four tasks of these tests.
const HALF: Demand = Demand {
    cpu: CAPACITY.cpu / 2,
    ..CAPACITY
};

fn resize(bed: &Bed, capacity: Demand) {
    for worker in bed.workers_of(POOL) {
        bed.world.resize(&worker, capacity);
    }
}

async fn shrunk() -> Result<()> {
    let mut bed = Bed::open(501, 3, 3).await?;
    resize(&bed, HALF);
    seconds(5).await;
    let id = bed.submit("e-0", &job("1000", 40)).await?;
    bed.until("e-0", &id, State::Completed, 30).await?;
    bed.judge()
}

async fn grown() -> Result<()> {
    let mut bed = Bed::open(502, 3, 1).await?;
    resize(&bed, HALF);
    seconds(5).await;
    resize(&bed, CAPACITY);
    seconds(5).await;
    let id = bed.submit("e-0", &job("3000", 8)).await?;
    seconds(1).await;
    let running = (0..8).filter(|index| !bed.running(&task(&id, 0, *index)).is_empty());
    ensure!(running.count() == 8, "some tasks wait");
    bed.until("e-0", &id, State::Completed, 30).await?;
    bed.judge()
}

async fn stopping() -> Result<()> {
    let stop = std::time::Duration::from_millis(900);
    let mut bed = Bed::open_with_slow_stops(503, 3, 1, stop).await?;
    let first = bed.submit("e-0", &job("20000", 8)).await?;
    seconds(1).await;
    let next = bed.submit("e-0", &job("500", 8)).await?;
    bed.cancel("e-0", &first).await;
    bed.until("e-0", &next, State::Completed, 20).await?;
    bed.judge()
}

async fn next_owner() -> Result<()> {
    let mut bed = Bed::open(504, 3, 2).await?;
    resize(&bed, HALF);
    let owner = bed.owner(POOL).await?;
    bed.kill(&owner);
    seconds(6).await;
    let entry = bed.bystander(POOL).await?;
    let id = bed.submit(&entry, &job("1000", 30)).await?;
    bed.until(&entry, &id, State::Completed, 30).await?;
    bed.judge()
}

async fn stay() -> Result<()> {
    let mut bed = Bed::open(505, 3, 2).await?;
    let id = bed.submit("e-0", &lasting(2)).await?;
    seconds(3).await;
    let before: Vec<Vec<Name>> = (0..2)
        .map(|index| bed.running(&task(&id, 0, index)))
        .collect();
    resize(&bed, Demand { cpu: 0, ..CAPACITY });
    seconds(10).await;
    let after: Vec<Vec<Name>> = (0..2)
        .map(|index| bed.running(&task(&id, 0, index)))
        .collect();
    ensure!(before == after, "{before:?} {after:?}");
    resize(&bed, CAPACITY);
    seconds(5).await;
    bed.judge()
}
