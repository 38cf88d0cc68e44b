//! What operators see of pools, jobs and waves, read from the store without calling an entry.

use crate::{
    cases,
    fixture::{
        Fixture, OTHER, POOL, STANDBY, configuration, job, long_running, sleep_secs, with_accounts,
    },
};
use eyre::{Result, ensure, eyre};
use http::StatusCode;
use primroseroute_domain::work::{JobId, State};
use primroseroute_inspect::{JobDetails, Pool};
use primroseroute_platform::site::{Instruction, Wave};
use primroseroute_standin::site::Options;
use std::time::Duration;

cases! {
    pools_show_owners_wanted_workers_and_queues => pools();
    job_details_while_its_owner_is_down => details();
    job_that_nobody_accepted_has_no_story => unknown();
    waves_show_their_progress => waves();
    accounts_show_their_limits_and_what_pools_hold => accounts();
    published_waits_and_shares_are_shown => published();
}

async fn list_pools(fixture: &Fixture) -> Result<Vec<Pool>> {
    let caller = fixture.world.caller("operator");
    Ok(primroseroute_inspect::pools(&caller, &caller).await?)
}

async fn job_details(fixture: &Fixture, id: &JobId) -> Result<Option<JobDetails>> {
    let caller = fixture.world.caller("operator");
    Ok(primroseroute_inspect::job(&caller, id).await?)
}

fn pool(pools: &[Pool], name: &str) -> Result<Pool> {
    let found = pools.iter().find(|pool| &*pool.name == name);
    found.cloned().ok_or_else(|| eyre!("no pool {name}"))
}

async fn accounts() -> Result<()> {
    let configuration = with_accounts(configuration(1, POOL), &[("small", 8_000), ("large", 0)]);
    let options = Options::default();
    let mut fixture = Fixture::open_on(configuration, options, &[250; 2], 2).await?;
    fixture.key = Some("small".into());
    fixture.submit("e-0", &job("9000", 8)).await?;
    sleep_secs(2).await;
    let caller = fixture.world.caller("operator");
    let accounts = primroseroute_inspect::accounts(&caller, &caller).await?;
    let small = accounts.iter().find(|account| &*account.name == "small");
    let small = small.ok_or_else(|| eyre!("{accounts:?}"))?;
    ensure!(small.keys == 1 && small.maximum.cpu == 8_000);
    ensure!(small.in_force == Some(small.maximum), "{small:?}");
    let held: u64 = small.pools.values().map(|pool| pool.held.cpu).sum();
    ensure!(
        held == 8_000 && small.pools[POOL].wanted.is_some(),
        "{small:?}"
    );
    let large = accounts.iter().find(|account| &*account.name == "large");
    ensure!(
        large.is_some_and(|large| large.pools.is_empty()),
        "{accounts:?}"
    );
    Ok(())
}

async fn published() -> Result<()> {
    let configuration = with_accounts(configuration(1, POOL), &[("small", 0), ("large", 0)]);
    let options = Options::default();
    let mut fixture = Fixture::open_on(configuration, options, &[250; 2], 2).await?;
    let quiet = pool(&list_pools(&fixture).await?, POOL)?;
    ensure!(quiet.beyond_wait_ms == Some(0), "{quiet:?}");
    fixture.key = Some("large".into());
    for _job in 0..12 {
        let id = fixture.next_job_id();
        let _status = fixture.send("e-0", &id, &job("1500", 16)).await;
    }
    // Waits are published once work has waited for 3 s.
    sleep_secs(4).await;
    let busy = pool(&list_pools(&fixture).await?, POOL)?;
    ensure!(busy.beyond_wait_ms >= Some(500), "{busy:?}");
    ensure!(busy.rate_cpu > Some(0), "{busy:?}");
    let caller = fixture.world.caller("operator");
    let accounts = primroseroute_inspect::accounts(&caller, &caller).await?;
    for account in &accounts {
        let limited = account
            .within_permille
            .get(POOL)
            .is_some_and(|share| *share < 1_000);
        ensure!(limited == (&*account.name == "large"), "{account:?}");
    }
    Ok(())
}

async fn pools() -> Result<()> {
    let mut fixture = Fixture::open_with_standby(101, 2, 2).await?;
    for _job in 0..12 {
        fixture.submit("e-0", &job("4000", 4)).await?;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let pools = list_pools(&fixture).await?;
    ensure!(pools.len() == 3);
    let busy = pool(&pools, POOL)?;
    ensure!(busy.owner.as_deref() == Some(&*fixture.owner(POOL).await?));
    ensure!(busy.token == fixture.token(POOL).await?);
    ensure!(!busy.standby && busy.wanted > Some(2), "{busy:?}");
    let needed = busy.needed_now.zip(busy.needed_late);
    ensure!(needed.is_some_and(|(now, late)| now + late > 2), "{busy:?}");
    ensure!(
        busy.queued.get("holds").copied().unwrap_or(0) > 0,
        "{busy:?}"
    );
    let off = pool(&pools, STANDBY)?;
    ensure!(
        off.standby && off.up + busy.up + busy.away >= 6,
        "{pools:?}"
    );
    ensure!(pool(&pools, OTHER)?.up == 1);
    Ok(())
}

// The job's details remain available after its owner is killed: its accepted form, and where each task runs.
async fn details() -> Result<()> {
    let mut fixture = Fixture::open(102, 2, 3).await?;
    let id = fixture.submit("e-0", &long_running(2)).await?;
    sleep_secs(1).await;
    let owner = fixture.owner(POOL).await?;
    fixture.kill(&owner);
    let details = job_details(&fixture, &id)
        .await?
        .ok_or_else(|| eyre!("no details"))?;
    ensure!(details.state == State::Running && !details.cancelled);
    ensure!(&*details.queue == "holds" && &*details.pool == POOL);
    ensure!(details.tasks.len() == 2, "{details:?}");
    for task in &details.tasks {
        ensure!(task.phase == "placed" && task.worker.is_some() && task.run == 1);
        ensure!(task.name.starts_with(id.as_str()));
    }
    let other = fixture.nodes.keys().next().cloned();
    let other = other.ok_or_else(|| eyre!("no entry is left"))?;
    ensure!(fixture.cancel(&other, &id).await == StatusCode::OK);
    let details = job_details(&fixture, &id)
        .await?
        .ok_or_else(|| eyre!("no details"))?;
    ensure!(details.cancelled, "{details:?}");
    Ok(())
}

async fn unknown() -> Result<()> {
    let mut fixture = Fixture::open(103, 1, 1).await?;
    let id = fixture.next_job_id();
    ensure!(job_details(&fixture, &id).await?.is_none());
    Ok(())
}

async fn waves() -> Result<()> {
    let fixture = Fixture::open(104, 2, 6).await?;
    let own = fixture.world.instances().into_iter();
    let own = own.filter(|known| &*known.pool == POOL);
    fixture.world.instruct(Instruction::Wave(Wave {
        number: 4,
        instances: own.map(|known| known.name).collect(),
        duration: Duration::from_secs(40),
        maximum: 2,
    }));
    sleep_secs(6).await;
    let caller = fixture.world.caller("operator");
    let waves = primroseroute_inspect::waves(&caller, &caller).await?;
    let [wave] = &*waves else {
        eyre::bail!("{waves:?}");
    };
    ensure!(wave.number == 4 && wave.maximum == 2);
    ensure!(wave.active.len() <= 2 && !wave.done.is_empty(), "{wave:?}");
    ensure!(wave.active.len() + wave.done.len() + wave.waiting.len() == 6);
    Ok(())
}
