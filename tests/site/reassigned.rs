//! Counts of queues that were assigned to another pool while jobs of theirs waited.
//!
//! The comment on each case names the failure that it guards against.

use crate::{
    cases,
    fixture::{Fixture, OTHER, POOL, configuration, job, sleep_secs},
};
use eyre::{Result, ensure};
use primroseroute_cell::row;
use primroseroute_platform::{
    rows::{Range, Row, Rows},
    site::Queue,
};
use std::time::Duration;
use tokio::time::sleep;

cases! {
    /// Jobs that wait in the former pool of a queue and aren't counted.
    jobs_of_the_former_pool_are_counted => moved();
    /// The same where a queue moves twice, and where it moves back.
    jobs_are_counted_after_several_moves => moved_several_times();
    /// The same where two queues exchange their pools.
    jobs_are_counted_after_an_exchange => exchanged();
    /// The same where the queue was removed and came back for another pool.
    jobs_are_counted_after_a_removal => removed();
    /// The same at an entry that has never seen the former configuration.
    entry_that_starts_after_the_move_counts_them => started_later();
    /// Jobs that are counted in both pools, or after they have begun.
    rows_of_former_pools_are_deleted => deleted();
}

/// Jobs that wait in [`POOL`] after [`fill`].
const WAITING: u64 = 4;

/// Accepts six jobs; the only worker has capacity for two of them.
async fn fill(fixture: &mut Fixture, payload: &str) -> Result<()> {
    for _job in 0..WAITING + 2 {
        fixture.submit("e-0", &job(payload, 4)).await?;
    }
    sleep_secs(2).await;
    Ok(())
}

/// Checks the count of each entry several times a second for `seconds`.
async fn stays(fixture: &Fixture, expected: u64, seconds: u64) -> Result<()> {
    for _tenth in 0..seconds * 10 {
        for entry in fixture.nodes.keys() {
            let queued = fixture.queued(entry).await;
            ensure!(queued == expected, "{entry} reports {queued} queued jobs");
        }
        sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

async fn moved() -> Result<()> {
    let mut fixture = Fixture::open(611, 2, 1).await?;
    fill(&mut fixture, "60000").await?;
    fixture.publish(configuration(2, OTHER));
    stays(&fixture, WAITING, 15).await?;
    // The only worker of the present pool has capacity for two of them.
    for _job in 0..3 {
        fixture.submit("e-1", &job("60000", 4)).await?;
    }
    sleep_secs(2).await;
    stays(&fixture, WAITING + 1, 5).await
}

async fn moved_several_times() -> Result<()> {
    let mut fixture = Fixture::open(612, 2, 1).await?;
    fill(&mut fixture, "60000").await?;
    for (number, pool) in [(2, OTHER), (5, POOL), (6, OTHER), (9, POOL)] {
        fixture.publish(configuration(number, pool));
        stays(&fixture, WAITING, 4).await?;
    }
    Ok(())
}

async fn exchanged() -> Result<()> {
    let mut fixture = Fixture::open(616, 2, 1).await?;
    let with_both = |number, pool: &str, other: &str| {
        let mut both = configuration(number, pool);
        both.queues.push(Queue {
            name: "rests".into(),
            path: "/rest/".into(),
            pool: other.into(),
            ..both.queues[0].clone()
        });
        both
    };
    fixture.publish(with_both(2, POOL, OTHER));
    sleep_secs(1).await;
    let queues = ["/stay/", "/rest/"];
    for queue in queues {
        fixture.queue = queue;
        fill(&mut fixture, "60000").await?;
    }
    fixture.publish(with_both(3, OTHER, POOL));
    for _turn in 0..8 {
        for queue in queues {
            fixture.queue = queue;
            stays(&fixture, WAITING, 1).await?;
        }
    }
    Ok(())
}

async fn removed() -> Result<()> {
    let mut fixture = Fixture::open(613, 2, 1).await?;
    fill(&mut fixture, "90000").await?;
    let mut without = configuration(2, POOL);
    without.queues.clear();
    fixture.publish(without);
    sleep_secs(20).await;
    fixture.publish(configuration(3, OTHER));
    sleep_secs(1).await;
    stays(&fixture, WAITING, 15).await
}

async fn started_later() -> Result<()> {
    let mut fixture = Fixture::open(614, 2, 1).await?;
    fill(&mut fixture, "60000").await?;
    fixture.publish(configuration(2, OTHER));
    sleep_secs(3).await;
    fixture.start("e-9");
    sleep_secs(2).await;
    stays(&fixture, WAITING, 5).await
}

/// The rows that name [`POOL`] as a former pool of queues of [`OTHER`].
async fn former_pools(fixture: &Fixture) -> Result<Vec<Row>> {
    let place = row::former_pool(OTHER, POOL);
    let caller = fixture.world.caller("test");
    let page = caller.read(Range {
        table: place.table,
        partition: place.partition,
        from: Some(place.key),
        to: Some(row::COMMIT_RECORD_END.into()),
    });
    Ok(page.await?.rows)
}

async fn deleted() -> Result<()> {
    let mut fixture = Fixture::open(615, 2, 1).await?;
    fill(&mut fixture, "4000").await?;
    fixture.publish(configuration(2, OTHER));
    sleep_secs(2).await;
    ensure!(!former_pools(&fixture).await?.is_empty());
    sleep_secs(28).await;
    stays(&fixture, 0, 2).await?;
    ensure!(former_pools(&fixture).await?.is_empty());
    fixture.check_invariants()
}
