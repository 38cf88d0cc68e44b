//! Pools without an owner: which entry takes them over, and how soon.

use crate::{
    cases,
    fixture::{Fixture, OTHER, POOL, job, sleep_secs},
};
use eyre::{Result, ensure, eyre};
use primroseroute_cell::row;
use primroseroute_domain::work::{Name, State};
use primroseroute_owner::membership::elect;
use primroseroute_standin::site::Reach;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::sleep;

cases! {
    pool_is_not_left_to_an_entry_that_learns_late_of_a_death => left_to_an_observer();
    pool_assigned_to_an_entry_without_a_change_feed_goes_to_another => assigned();
    pool_released_to_an_entry_without_a_change_feed_goes_to_another => released();
    pool_reserved_for_a_slow_entry_that_restarted_goes_to_another => slow_after_its_restart();
    pool_is_not_released_to_a_dead_entry => dead_and_stronger();
    restarted_owner_releases_nothing_to_a_dead_entry => restarted_beside_a_dead_entry();
    pool_of_an_owner_that_cannot_read_its_jobs_goes_to_another => jobs_unreadable(250);
    pool_of_a_strong_owner_that_cannot_read_its_jobs_goes_to_another => jobs_unreadable(1_000);
    released_pool_is_taken_over_while_heartbeats_are_slow => stopped_while_slow();
}

/// Longest time until a dead owner's pool has its next owner: the timeout of its heartbeats, and three turns of the
/// election.
const REPLACED_WITHIN: Duration = Duration::from_secs(5);

/// CPU shares of the entries that own pools, and of the others: one of the first with two pools has less for each of
/// them than one of the others has for its first.
const STRONG: u32 = 160;
const WEAK: u32 = 120;

/// Waits until `pool` has an owner other than `before`, for at most [`REPLACED_WITHIN`].
async fn wait_for_other_owner(fixture: &Fixture, pool: &str, before: &str) -> Result<String> {
    let begin = fixture.world.now();
    loop {
        // A released pool has none.
        if let Ok(owner) = fixture.owner(pool).await
            && owner != before
        {
            return Ok(owner);
        }
        let waited = Duration::from_millis(fixture.world.now() - begin);
        ensure!(
            waited < REPLACED_WITHIN,
            "{pool} has no new owner after {waited:?}"
        );
        sleep(Duration::from_millis(50)).await;
    }
}

// All strong entries but one are killed at once. The survivor leaves the second pool to a weak entry, which has more
// CPU for it, but reads heartbeats only every few seconds and still takes the killed ones for alive.
async fn left_to_an_observer() -> Result<()> {
    let strong = elect::candidates(&all_alike(100), pools_and_groups()).len();
    let mut shares = vec![STRONG; strong];
    shares.extend([WEAK; 8]);
    let mut fixture = Fixture::open_with_cpu_shares(63, &shares, 3).await?;
    sleep_secs(10).await;
    let owners = [fixture.owner(POOL).await?, fixture.owner(OTHER).await?];
    let survivor = (0..strong)
        .map(|number| format!("e-{number}"))
        .find(|name| !owners.contains(name));
    let survivor = survivor.ok_or_else(|| eyre!("each strong entry owns a pool"))?;
    for number in 0..strong {
        let name = format!("e-{number}");
        if name != survivor {
            fixture.kill(&name);
        }
    }
    for (pool, before) in [POOL, OTHER].into_iter().zip(&owners) {
        wait_for_other_owner(&fixture, pool, before).await?;
    }
    let id = fixture.submit(&survivor, &job("500", 4)).await?;
    fixture
        .wait_for_state(&survivor, &id, State::Completed, 3)
        .await?;
    fixture.check_invariants()
}

// The strongest entry writes its heartbeats and has no working change feed, so that it takes nothing over. The owner
// is killed: its pool is assigned to that entry, and jobs would wait for as long as it heartbeats.
async fn assigned() -> Result<()> {
    let mut fixture = Fixture::open_with_cpu_shares(64, &[250, 450, 250], 3).await?;
    ensure!(fixture.owner(POOL).await? == "e-1");
    let owner = restart_without_feed(&mut fixture, "e-1").await?;
    fixture.kill(&owner);
    let successor = wait_for_other_owner(&fixture, POOL, &owner).await?;
    let id = fixture.submit(&successor, &job("500", 4)).await?;
    fixture
        .wait_for_state(&successor, &id, State::Completed, 3)
        .await?;
    fixture.check_invariants()
}

// The owner of a pool sees the heartbeats of a far stronger entry and releases its pool. That entry has no working
// change feed and takes nothing over: the pool would have no owner for as long as it heartbeats.
async fn released() -> Result<()> {
    let mut fixture = Fixture::open_with_cpu_shares(64, &[250, 1_000, 250], 3).await?;
    ensure!(fixture.owner(POOL).await? == "e-1");
    let owner = restart_without_feed(&mut fixture, "e-1").await?;
    let id = fixture.submit(&owner, &job("9000", 4)).await?;
    sleep_secs(8).await;
    let later = fixture.submit(&owner, &job("500", 4)).await?;
    for id in [&id, &later] {
        fixture
            .wait_for_state(&owner, id, State::Completed, 5)
            .await?;
    }
    fixture.check_invariants()
}

/// Restarts `entry`, and keeps its change feeds from working; returns the entry that owns [`POOL`] then.
async fn restart_without_feed(fixture: &mut Fixture, entry: &str) -> Result<String> {
    fixture.kill(entry);
    sleep_secs(5).await;
    let owner = fixture.owner(POOL).await?;
    ensure!(owner != entry);
    fixture.start(entry);
    fixture.update_faults(entry, |faults| faults.feeds = Reach::Refused);
    sleep_secs(2).await;
    Ok(owner)
}

// An owner restarts, and its calls to the store have become slow. Others see its heartbeats, but its own are too late
// for it to judge others by theirs, so that it doesn't take back the pool that is reserved for it.
async fn slow_after_its_restart() -> Result<()> {
    let mut fixture = Fixture::open(65, 3, 3).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    fixture.kill(&owner);
    fixture.start(&owner);
    fixture.update_faults(&owner, |faults| faults.delay = Duration::from_millis(350));
    let id = fixture.submit(&other, &job("500", 4)).await?;
    wait_for_other_owner(&fixture, POOL, &owner).await?;
    fixture
        .wait_for_state(&other, &id, State::Completed, 3)
        .await?;
    fixture.check_invariants()
}

// The strongest entry has been dead for long when the heartbeats of the others are late for a moment. None of them
// takes it for alive again after that: they would release their pools to it.
async fn dead_and_stronger() -> Result<()> {
    let mut fixture = Fixture::open_with_cpu_shares(68, &[250, 1_000, 250], 3).await?;
    ensure!(fixture.owner(POOL).await? == "e-1");
    fixture.kill("e-1");
    sleep_secs(10).await;
    let token = fixture.token(POOL).await?;
    for _moment in 0..3 {
        fixture.update_all_faults(|faults| faults.commits = Reach::Refused);
        sleep_secs(2).await;
        fixture.update_all_faults(|faults| faults.commits = Reach::Fine);
        sleep_secs(4).await;
        ensure!(fixture.token(POOL).await? == token, "the pool was released");
    }
    fixture.check_invariants()
}

// The strongest entry is dead, and its last heartbeat is still in the store. Owners that restart read it and know
// nothing of its age.
async fn restarted_beside_a_dead_entry() -> Result<()> {
    let mut fixture = Fixture::open_with_cpu_shares(69, &[250, 1_000, 250], 3).await?;
    fixture.kill("e-1");
    sleep_secs(10).await;
    let owner = fixture.owner(POOL).await?;
    for name in ["e-0", "e-2"] {
        fixture.kill(name);
        fixture.start(name);
    }
    sleep_secs(1).await;
    ensure!(fixture.owner(POOL).await? == owner);
    let token = fixture.token(POOL).await?;
    sleep_secs(5).await;
    ensure!(fixture.token(POOL).await? == token, "the pool was released");
    fixture.check_invariants()
}

// The owner writes heartbeats and commits, and can't read the accepted jobs of its pool: it starts nothing. With a
// strength that makes the others release what they own to it, it doesn't get the pool back at once.
async fn jobs_unreadable(strength: u32) -> Result<()> {
    let mut fixture = Fixture::open_with_cpu_shares(66, &[250, strength, 250], 3).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    fixture.update_faults(&owner, |faults| faults.jobs = Reach::Refused);
    sleep_secs(1).await;
    let id = fixture.submit(&other, &job("500", 4)).await?;
    fixture
        .wait_for_state(&other, &id, State::Completed, 20)
        .await?;
    let later = fixture.submit(&other, &job("500", 4)).await?;
    fixture
        .wait_for_state(&other, &later, State::Completed, 3)
        .await?;
    fixture.check_invariants()
}

// An owner shuts down and releases its pool while the store is so slow that no entry judges others by their
// heartbeats. A release needs no judgement.
async fn stopped_while_slow() -> Result<()> {
    let mut fixture = Fixture::open(67, 3, 3).await?;
    let owner = fixture.owner(POOL).await?;
    fixture.update_all_faults(|faults| faults.delay = Duration::from_millis(350));
    sleep_secs(3).await;
    fixture.stop(&owner);
    wait_for_other_owner(&fixture, POOL, &owner).await?;
    fixture.check_invariants()
}

fn all_alike(entries: usize) -> BTreeMap<Name, u32> {
    let names = (0..entries).map(|number| format!("e-{number}").into());
    names.map(|name| (name, STRONG)).collect()
}

/// Number of pools and groups of the site in memory.
fn pools_and_groups() -> usize {
    2 + row::groups().count()
}
