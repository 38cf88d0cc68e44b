//! Many entries that together ask the store for more than it gives.

use crate::{
    bed::{Bed, POOL, job, seconds},
    cases,
    lines::{capture, captured},
};
use eyre::{Result, ensure};
use primroseroute_domain::work::State;
use primroseroute_standin::site::{Options, Reach};

cases! {
    /// A store over its rate refuses the reads of entries that start together for good.
    entries_that_start_together_get_to_work => start();
    /// A takeover that waits for the reads of all entries that have started with its own.
    pool_is_read_before_all_entries_have_read => takeover();
    /// The same once the store has been away and has forgotten its history.
    entries_that_read_anew_together_get_to_work => return_of_the_store();
    /// A feed that isn't asked for while the read in its place is refused again and again.
    feed_is_asked_for_beside_refused_reads => feed_beside_reads();
}

/// Entries of the site.
const ENTRIES: usize = 40;

/// Reads that the store takes a second: half of what the entries ask for at their start.
const READS: u32 = 300;

/// Share of reads, in percent, that may be refused once the entries have settled.
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
    /// Longest time of a read of the pool, in milliseconds.
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
    bed.update_all_faults(|faults| faults.store = Reach::Refused);
    seconds(5).await;
    bed.world.compact();
    bed.update_all_faults(|faults| faults.store = Reach::Fine);
    seconds(6).await;
    serves(&mut bed).await?;
    settles(&bed).await
}

async fn feed_beside_reads() -> Result<()> {
    let mut bed = Bed::open(63, 2, 4).await?;
    let owner = bed.owner(POOL).await?;
    bed.update_faults(&owner, |faults| {
        faults.feeds = Reach::Throttled;
        faults.job_reads = Reach::Throttled;
    });
    seconds(4).await;
    bed.update_faults(&owner, |faults| faults.feeds = Reach::Fine);
    let id = bed.submit(&owner, &job("300", 2)).await?;
    bed.until(&owner, &id, State::Completed, 5).await?;
    bed.judge()
}

/// A job is accepted and completed.
async fn serves(bed: &mut Bed) -> Result<()> {
    let id = bed.submit("e-0", &job("300", 2)).await?;
    bed.until("e-1", &id, State::Completed, 4).await?;
    bed.judge()
}

/// Few reads are refused in the end.
async fn settles(bed: &Bed) -> Result<()> {
    seconds(10).await;
    let before = bed.world.reads();
    seconds(5).await;
    let after = bed.world.reads();
    let refused = after.refused - before.refused;
    let all = after.taken - before.taken + refused;
    ensure!(
        refused * 100 <= all * REFUSED_PERCENT,
        "{refused} of {all} reads were refused"
    );
    Ok(())
}
