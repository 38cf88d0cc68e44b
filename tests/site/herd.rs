//! Many entries whose combined load exceeds the rate limit of the store.

use crate::{
    bed::{Bed, POOL, job, seconds},
    cases,
    lines::{capture, captured},
};
use eyre::{Result, ensure};
use primroseroute_domain::work::State;
use primroseroute_standin::site::{Options, Reach};

cases! {
    /// Entries that start together and whose reads a store over its rate limit rejects forever.
    entries_that_start_together_get_to_work => start();
    /// A takeover that waits for the reads of all entries that started at the same time.
    pool_is_read_before_all_entries_have_read => takeover();
    /// The same after an outage of the store, whose history has been compacted meanwhile.
    entries_that_read_anew_together_get_to_work => return_of_the_store();
    /// A feed that is no longer polled while the read that replaces it is rejected again and again.
    feed_is_asked_for_beside_refused_reads => feed_beside_reads();
}

/// Number of entries on the site.
const ENTRIES: usize = 40;

/// Reads that the store accepts per second: half of the load of the entries at their start.
const READS: u32 = 300;

/// Maximum share of rejected reads, in percent, in steady state.
const REFUSED_PERCENT: u64 = 20;

async fn open(seed: u64) -> Result<Bed> {
    let options = Options {
        seed,
        reads_per_second: Some(READS),
        ..Options::default()
    };
    Bed::open_as(options, ENTRIES, 4).await
}

async fn start() -> Result<()> {
    let mut bed = open(61).await?;
    seconds(6).await;
    bed.owner(POOL).await?;
    serves(&mut bed).await?;
    settles(&bed).await
}

async fn takeover() -> Result<()> {
    /// Maximum time to load the pool, in milliseconds.
    const LOAD: u64 = 1_000;
    capture();
    let mut bed = open(64).await?;
    seconds(16).await;
    let names: Vec<String> = bed.nodes.keys().cloned().collect();
    for name in &names {
        bed.kill(name);
    }
    seconds(1).await;
    let before = captured().len();
    for name in &names {
        bed.start(name);
    }
    seconds(8).await;
    let lines = captured();
    let loads = lines[before..].iter();
    let loads = loads.filter(|line| line.text == "pool loaded");
    let mut took = Vec::new();
    for load in loads {
        took.push(load.field("took_ms").unwrap_or_default().parse::<u64>()?);
    }
    ensure!(!took.is_empty());
    ensure!(took.iter().all(|took| *took <= LOAD), "{took:?} ms");
    serves(&mut bed).await
}

async fn return_of_the_store() -> Result<()> {
    let mut bed = open(62).await?;
    seconds(16).await;
    bed.conduct_all(|conduct| conduct.store = Reach::Refused);
    seconds(5).await;
    bed.world.compact();
    bed.conduct_all(|conduct| conduct.store = Reach::Fine);
    seconds(6).await;
    serves(&mut bed).await?;
    settles(&bed).await
}

async fn feed_beside_reads() -> Result<()> {
    let mut bed = Bed::open(63, 2, 4).await?;
    let owner = bed.owner(POOL).await?;
    bed.conduct(&owner, |conduct| {
        conduct.feeds = Reach::Throttled;
        conduct.job_reads = Reach::Throttled;
    });
    seconds(4).await;
    bed.conduct(&owner, |conduct| conduct.feeds = Reach::Fine);
    let id = bed.submit(&owner, &job("300", 2)).await?;
    bed.until(&owner, &id, State::Completed, 5).await?;
    bed.judge()
}

/// Checks that a job is accepted and completes.
async fn serves(bed: &mut Bed) -> Result<()> {
    let id = bed.submit("e-0", &job("300", 2)).await?;
    bed.until("e-1", &id, State::Completed, 4).await?;
    bed.judge()
}

/// Checks that few reads are rejected in steady state.
async fn settles(bed: &Bed) -> Result<()> {
    seconds(10).await;
    let before = bed.world.reads();
    seconds(5).await;
    let after = bed.world.reads();
    let refused = after.refused - before.refused;
    let all = after.taken - before.taken + refused;
    ensure!(
        refused * 100 <= all * REFUSED_PERCENT,
        "{refused} of {all} reads were rejected"
    );
    Ok(())
}
