//! Many entries of which few are active: what the others cost the store, and what becomes of pools when active entries are
//! lost.

use crate::{
    cases,
    fixture::{Fixture, POOL, job, sleep_secs},
};
use eyre::{Result, ensure};
use primroseroute_cell::row::ActiveSet;
use primroseroute_domain::work::{Name, State};
use primroseroute_platform::rows::{Rows, read_row};
use primroseroute_standin::site::Traffic;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::sleep;

cases! {
    /// Entries without duties that read what all others write, so that the store's bytes grow with the square of them.
    idle_entries_cost_the_store_the_same_at_twice_the_size => cost_at_rest();
    /// All active entries that are lost at once, after which nobody owns anything.
    pools_have_owners_again_after_all_active_entries_are_lost => all_active_lost();
    /// All entries that restart at once and all follow each other.
    few_entries_are_active_after_all_restart => all_restart();
    /// A new entry that isn't used though active ones are lost for good.
    lost_active_entries_are_replaced => replaced();
}

/// Entries of the larger site, and of one of half its size.
const ENTRIES: [usize; 2] = [100, 200];

/// Time after the end of an outage of all entries within which the site serves again.
const RECOVERY_SECS: u64 = 18;

fn cpu_shares(entries: usize) -> Vec<u32> {
    let share = |number: usize| {
        if number.is_multiple_of(10) {
            1_000
        } else {
            120
        }
    };
    (0..entries).map(share).collect()
}

async fn open(seed: u64, entries: usize) -> Result<Fixture> {
    let fixture = Fixture::open_with_cpu_shares(seed, &cpu_shares(entries), 4).await?;
    sleep_secs(16).await;
    Ok(fixture)
}

/// The active entries as they are published.
async fn active(fixture: &Fixture) -> Result<ActiveSet> {
    let onlooker = fixture.world.caller("onlooker");
    let row = read_row(
        &onlooker as &dyn Rows,
        primroseroute_cell::row::active_set(),
    )
    .await?;
    let value = row.and_then(|row| row.value);
    let value = value.ok_or_else(|| eyre::eyre!("no active set is published"))?;
    Ok(serde_json::from_slice(&value)?)
}

/// Calls, rows and bytes of each entry over ten seconds.
async fn traffic(fixture: &Fixture) -> BTreeMap<Name, Traffic> {
    let by_caller = |fixture: &Fixture| {
        let mut sums: BTreeMap<Name, Traffic> = BTreeMap::new();
        for ((caller, _table), traffic) in fixture.world.traffic() {
            let sum = sums.entry(caller).or_default();
            *sum = *sum + traffic;
        }
        sums
    };
    let before = by_caller(fixture);
    sleep_secs(10).await;
    let after = by_caller(fixture).into_iter();
    after
        .map(|(caller, sum)| {
            let earlier = before.get(&caller).copied().unwrap_or_default();
            (caller, sum - earlier)
        })
        .collect()
}

/// Largest calls and bytes of a passive entry over ten seconds.
async fn passive_cost(seed: u64, entries: usize) -> Result<(u64, u64)> {
    let fixture = open(seed, entries).await?;
    let active = active(&fixture).await?;
    ensure!(active.present == entries as u64, "{active:?}");
    let traffic = traffic(&fixture).await;
    let passive = fixture
        .nodes
        .keys()
        .filter(|name| !active.entries.contains(&***name));
    let costs = passive.map(|name| {
        let cost = traffic.get(&*fixture.caller_name(name));
        cost.copied().unwrap_or_default()
    });
    let costs: Vec<Traffic> = costs.collect();
    ensure!(costs.len() == entries - active.entries.len());
    let calls = costs.iter().map(|cost| cost.calls).max().unwrap_or(0);
    let bytes = costs.iter().map(|cost| cost.bytes).max().unwrap_or(0);
    Ok((calls, bytes))
}

async fn cost_at_rest() -> Result<()> {
    let [half, whole] = ENTRIES;
    let (calls_of_half, bytes_of_half) = passive_cost(81, half).await?;
    let (calls, bytes) = passive_cost(82, whole).await?;
    ensure!(
        calls <= calls_of_half + 1,
        "{calls_of_half} calls, {calls} at twice the size"
    );
    ensure!(
        bytes * 100 <= bytes_of_half * 125,
        "{bytes_of_half} bytes, {bytes} at twice the size"
    );
    // Half a call and one kilobyte a second.
    ensure!(
        calls <= 5 && bytes <= 10_000,
        "{calls} calls, {bytes} bytes"
    );
    Ok(())
}

/// Waits until both pools have an owner among the running entries.
async fn wait_for_owners(fixture: &Fixture, seconds: u64) -> Result<()> {
    for _tenth in 0..seconds * 10 {
        let owner = fixture.owner(POOL).await;
        if owner.is_ok_and(|owner| fixture.nodes.contains_key(&owner)) {
            return Ok(());
        }
        sleep(Duration::from_millis(100)).await;
    }
    eyre::bail!("{POOL} has no owner after {seconds} s")
}

async fn check_serving(fixture: &mut Fixture) -> Result<()> {
    let entry = fixture.nodes.keys().next().cloned().unwrap_or_default();
    let id = fixture.submit(&entry, &job("300", 2)).await?;
    fixture
        .wait_for_state(&entry, &id, State::Completed, 5)
        .await?;
    fixture.check_invariants()
}

async fn all_active_lost() -> Result<()> {
    let mut fixture = open(83, 100).await?;
    for entry in active(&fixture).await?.entries {
        fixture.kill(&entry);
    }
    wait_for_owners(&fixture, RECOVERY_SECS).await?;
    check_serving(&mut fixture).await
}

async fn all_restart() -> Result<()> {
    let mut fixture = open(84, 140).await?;
    let names: Vec<String> = fixture.nodes.keys().cloned().collect();
    for name in &names {
        fixture.kill(name);
    }
    for name in &names {
        fixture.start(name);
    }
    sleep_secs(1).await;
    check_serving(&mut fixture).await?;
    // Each table's rows that an entry reads in the ten seconds after a restart of all.
    let traffic = traffic(&fixture).await;
    let followers = traffic.values().filter(|sum| sum.rows > 140);
    let followers = followers.count();
    ensure!(
        followers <= 40,
        "{followers} of 140 entries follow the others"
    );
    Ok(())
}

async fn replaced() -> Result<()> {
    let mut fixture = open(85, 100).await?;
    let before = active(&fixture).await?;
    let lost: Vec<Name> = before.entries.iter().take(8).map(Name::clone).collect();
    for entry in &lost {
        fixture.kill(entry);
    }
    sleep_secs(20).await;
    let after = active(&fixture).await?;
    ensure!(
        lost.iter().all(|entry| !after.entries.contains(entry)),
        "{after:?}"
    );
    ensure!(after.entries.len() == before.entries.len(), "{after:?}");
    check_serving(&mut fixture).await
}
