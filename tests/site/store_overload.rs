//! Many entries whose combined load exceeds the rate limit of the store.

use crate::{
    cases,
    fixture::{Fixture, POOL, job, sleep_secs},
    log_capture::{capture, captured},
};
use eyre::{Result, ensure};
use primroseroute_domain::work::State;
use primroseroute_standin::site::{Options, Reach};

cases! {
    /// Entries that start together and whose reads a store over its rate limit rejects forever.
    entries_that_start_together_become_available => start();
    /// A takeover that waits for the reads of all entries that started at the same time.
    pool_is_loaded_before_all_entries_have_read => takeover();
    /// The same after an outage of the store, whose history has been compacted meanwhile.
    entries_that_read_anew_together_become_available => store_returns();
    /// A feed that is no longer polled while the read that replaces it is rejected again and again.
    feed_is_polled_while_reads_are_rejected => feed_beside_reads();
}

/// Number of entries on the site.
const ENTRIES: usize = 40;

/// Reads that the store accepts per second: half of the load of the entries at their start.
const READS: u32 = 300;

/// Maximum share of rejected reads, in percent, in steady state.
const REFUSED_PERCENT: u64 = 20;

async fn open(seed: u64) -> Result<Fixture> {
    let options = Options {
        seed,
        reads_per_second: Some(READS),
        ..Options::default()
    };
    Fixture::open_as(options, ENTRIES, 4).await
}

async fn start() -> Result<()> {
    let mut fixture = open(61).await?;
    sleep_secs(6).await;
    fixture.owner(POOL).await?;
    check_serving(&mut fixture).await?;
    check_steady_state(&fixture).await
}

async fn takeover() -> Result<()> {
    /// Maximum time to load the pool, in milliseconds.
    const LOAD: u64 = 1_000;
    capture();
    let mut fixture = open(64).await?;
    sleep_secs(16).await;
    let names: Vec<String> = fixture.nodes.keys().cloned().collect();
    for name in &names {
        fixture.kill(name);
    }
    sleep_secs(1).await;
    let before = captured().len();
    for name in &names {
        fixture.start(name);
    }
    sleep_secs(8).await;
    let lines = captured();
    let loads = lines[before..].iter();
    let loads = loads.filter(|line| line.text == "pool loaded");
    let mut took = Vec::new();
    for load in loads {
        took.push(load.field("took_ms").unwrap_or_default().parse::<u64>()?);
    }
    ensure!(!took.is_empty());
    ensure!(took.iter().all(|took| *took <= LOAD), "{took:?} ms");
    check_serving(&mut fixture).await
}

async fn store_returns() -> Result<()> {
    let mut fixture = open(62).await?;
    sleep_secs(16).await;
    fixture.update_all_faults(|faults| faults.store = Reach::Refused);
    sleep_secs(5).await;
    fixture.world.compact();
    fixture.update_all_faults(|faults| faults.store = Reach::Fine);
    sleep_secs(6).await;
    check_serving(&mut fixture).await?;
    check_steady_state(&fixture).await
}

async fn feed_beside_reads() -> Result<()> {
    let mut fixture = Fixture::open(63, 2, 4).await?;
    let owner = fixture.owner(POOL).await?;
    fixture.update_faults(&owner, |faults| {
        faults.feeds = Reach::Throttled;
        faults.job_reads = Reach::Throttled;
    });
    sleep_secs(4).await;
    fixture.update_faults(&owner, |faults| faults.feeds = Reach::Fine);
    let id = fixture.submit(&owner, &job("300", 2)).await?;
    fixture
        .wait_for_state(&owner, &id, State::Completed, 5)
        .await?;
    fixture.check_invariants()
}

/// Checks that a job is accepted and completes.
async fn check_serving(fixture: &mut Fixture) -> Result<()> {
    let id = fixture.submit("e-0", &job("300", 2)).await?;
    fixture
        .wait_for_state("e-1", &id, State::Completed, 4)
        .await?;
    fixture.check_invariants()
}

/// Checks that few reads are rejected in steady state.
async fn check_steady_state(fixture: &Fixture) -> Result<()> {
    sleep_secs(10).await;
    let before = fixture.world.reads();
    sleep_secs(5).await;
    let after = fixture.world.reads();
    let refused = after.refused - before.refused;
    let all = after.taken - before.taken + refused;
    ensure!(
        refused * 100 <= all * REFUSED_PERCENT,
        "{refused} of {all} reads were rejected"
    );
    Ok(())
}
