//! What owners publish while their pools have too few workers.

use crate::{
    cases,
    fixture::{Fixture, POOL, configuration, job, sleep_secs, with_accounts},
};
use eyre::{Result, ensure, eyre};
use primroseroute_admission::PoolLoad;
use primroseroute_cell::row;
use primroseroute_platform::rows::{Version, read_row};
use primroseroute_standin::site::{CallerFaults, Options};

cases! {
    /// Gateways would limit submissions by the figures of an owner that is gone.
    successor_publishes_its_own_load_until_the_backlog_is_gone => dies();
    /// Figures of an owner that knows nothing of what its successor does.
    owner_that_was_replaced_publishes_nothing => replaced();
    /// An owner that takes a published load for unpublished, or the reverse.
    load_is_published_while_answers_of_commits_are_lost => answers_lost();
    /// Deployments without accounts would pay for calls that nobody needs.
    pool_without_accounts_publishes_no_load => without_accounts();
    admission_that_is_switched_off_publishes_nothing => switched_off();
}

async fn open(seed: u64) -> Result<Fixture> {
    let options = Options {
        seed,
        ..Options::default()
    };
    let configuration = with_accounts(configuration(1, POOL), &[("small", 0), ("large", 0)]);
    let mut fixture = Fixture::open_on(configuration, options, &[250; 3], 3).await?;
    fixture.key = Some("large".into());
    Ok(fixture)
}

async fn load(fixture: &Fixture) -> Result<Option<(Version, PoolLoad)>> {
    let rows = fixture.world.caller("observer");
    let Some(row) = read_row(&rows, row::pool_load(POOL)).await? else {
        return Ok(None);
    };
    let value = row.value.unwrap_or_default();
    Ok(Some((row.version, serde_json::from_slice(&value)?)))
}

/// Submits more than the pool can process, a second long; some of it may be rejected.
async fn flood(fixture: &mut Fixture, entry: &str) {
    for _job in 0..6 {
        let id = fixture.next_job_id();
        let _status = fixture.send(entry, &id, &job("1500", 16)).await;
    }
    sleep_secs(1).await;
}

/// Floods the pool until it limits submissions under a token; returns its load.
async fn flood_until_limited(fixture: &mut Fixture, entry: &str, token: u64) -> Result<PoolLoad> {
    for _second in 0..15 {
        flood(fixture, entry).await;
        if let Some((_version, load)) = load(fixture).await?
            && load.owner == token
            && load.beyond_wait_ms > 0
        {
            return Ok(load);
        }
    }
    Err(eyre!("{:?}", load(fixture).await?))
}

async fn wait_for_end(fixture: &Fixture) -> Result<()> {
    for _second in 0..40 {
        sleep_secs(1).await;
        if load(fixture)
            .await?
            .is_some_and(|(_, load)| load.beyond_wait_ms == 0)
        {
            return Ok(());
        }
    }
    Err(eyre!("{:?}", load(fixture).await?))
}

/// Waits until the pool has another owner than the one with `token`, under a flood.
async fn wait_for_successor(fixture: &mut Fixture, entry: &str, token: u64) -> Result<u64> {
    for _second in 0..20 {
        flood(fixture, entry).await;
        let now = fixture.token(POOL).await?;
        if now != token {
            return Ok(now);
        }
    }
    Err(eyre!("the pool has no other owner than {token}"))
}

async fn dies() -> Result<()> {
    let mut fixture = open(901).await?;
    let owner = fixture.owner(POOL).await?;
    let token = fixture.token(POOL).await?;
    let entry = fixture.non_owner(POOL).await?;
    flood_until_limited(&mut fixture, &entry, token).await?;
    // The share of an account with so few jobs is known after some seconds.
    for _second in 0..3 {
        flood(&mut fixture, &entry).await;
    }
    let limited = flood_until_limited(&mut fixture, &entry, token).await?;
    ensure!(limited.within_permille.contains_key("large"), "{limited:?}");
    ensure!(
        !limited.within_permille.contains_key("small"),
        "{limited:?}"
    );
    ensure!(limited.largest_worker.cpu > 0, "{limited:?}");
    fixture.kill(&owner);
    let successor = wait_for_successor(&mut fixture, &entry, token).await?;
    flood_until_limited(&mut fixture, &entry, successor).await?;
    wait_for_end(&fixture).await?;
    fixture.check_invariants()
}

async fn replaced() -> Result<()> {
    let mut fixture = open(902).await?;
    let owner = fixture.owner(POOL).await?;
    let token = fixture.token(POOL).await?;
    let entry = fixture.non_owner(POOL).await?;
    flood_until_limited(&mut fixture, &entry, token).await?;
    fixture.update_faults(&owner, |faults| faults.frozen = true);
    let successor = wait_for_successor(&mut fixture, &entry, token).await?;
    flood_until_limited(&mut fixture, &entry, successor).await?;
    fixture.update_faults(&owner, |faults| faults.frozen = false);
    for _second in 0..8 {
        flood(&mut fixture, &entry).await;
        let (_version, load) = load(&fixture).await?.ok_or_else(|| eyre!("no load"))?;
        ensure!(load.owner == successor, "{load:?}");
    }
    wait_for_end(&fixture).await?;
    fixture.check_invariants()
}

async fn answers_lost() -> Result<()> {
    let mut fixture = open(903).await?;
    let token = fixture.token(POOL).await?;
    fixture.update_all_faults(|faults| faults.lost_commits = 0.3);
    flood_until_limited(&mut fixture, "e-0", token).await?;
    for _second in 0..5 {
        flood(&mut fixture, "e-0").await;
    }
    wait_for_end(&fixture).await?;
    fixture.update_all_faults(|faults| *faults = CallerFaults::default());
    sleep_secs(20).await;
    fixture.check_invariants()
}

async fn without_accounts() -> Result<()> {
    let mut fixture = Fixture::open(904, 2, 2).await?;
    for _second in 0..5 {
        flood(&mut fixture, "e-0").await;
    }
    ensure!(load(&fixture).await?.is_none());
    fixture.check_invariants()
}

async fn switched_off() -> Result<()> {
    let mut fixture = open(905).await?;
    let token = fixture.token(POOL).await?;
    flood_until_limited(&mut fixture, "e-0", token).await?;
    fixture
        .bounds
        .send_modify(|bounds| bounds.admission = false);
    sleep_secs(1).await;
    let last = load(&fixture).await?;
    for _second in 0..3 {
        flood(&mut fixture, "e-0").await;
    }
    ensure!(load(&fixture).await? == last, "{last:?}");
    fixture.bounds.send_modify(|bounds| bounds.admission = true);
    flood_until_limited(&mut fixture, "e-0", token).await?;
    ensure!(load(&fixture).await? != last);
    Ok(())
}
