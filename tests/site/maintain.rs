//! Maintenance waves: they complete in time, respect the limit of concurrent maintenance, and leave enough tasks
//! of each step ready.

use crate::{
    cases,
    fixture::{Fixture, POOL, STANDBY, job, long_running, sleep_secs, task},
};
use eyre::{Result, ensure};
use primroseroute_cell::row;
use primroseroute_domain::work::{JobId, Name};
use primroseroute_platform::site::{Instruction, Wave};
use primroseroute_standin::site::{Event, Reach};
use std::{collections::BTreeMap, time::Duration};

cases! {
    wave_over_a_pool_with_long_running_tasks => whole_pool();
    wave_continues_after_its_owner_is_killed => owner_killed();
    successor_gives_no_immediate_order => no_immediate_order();
    replaced_owner_gives_no_orders => partially_unresponsive();
    crash_is_not_mistaken_for_maintenance => crashed();
    order_in_flight_counts_for_a_new_owner => owner_stopped();
}

fn wave(instances: impl IntoIterator<Item = Name>, maximum: usize) -> Instruction {
    Instruction::Wave(Wave {
        number: 1,
        instances: instances.into_iter().collect(),
        duration: Duration::from_secs(40),
        maximum,
    })
}

fn pool_instances(fixture: &Fixture) -> Vec<Name> {
    let all = fixture.world.instances().into_iter();
    let own = all.filter(|known| &*known.pool == POOL);
    own.map(|known| known.name).collect()
}

/// For each instance, the times at which its maintenance began, with the entries that ordered it and their fencing
/// tokens.
fn maintained(fixture: &Fixture) -> BTreeMap<Name, Vec<(u64, Name, u64)>> {
    let mut found: BTreeMap<Name, Vec<(u64, Name, u64)>> = BTreeMap::new();
    for event in fixture.world.journal().events {
        if let Event::Maintained {
            at,
            instance,
            entry,
            token,
        } = event
        {
            found.entry(instance).or_default().push((at, entry, token));
        }
    }
    found
}

/// Maximum number of instances in maintenance at the same time, which takes two seconds each.
fn max_concurrent(fixture: &Fixture) -> usize {
    let begun: Vec<u64> = maintained(fixture)
        .into_values()
        .flatten()
        .map(|(at, _entry, _token)| at)
        .collect();
    let concurrent = |at: &u64| {
        begun
            .iter()
            .filter(|other| **other <= *at && *at < **other + 2_000)
            .count()
    };
    begun.iter().map(concurrent).max().unwrap_or(0)
}

/// Fails if a run of a job was terminated with its instance.
fn check_no_run_terminated(fixture: &Fixture, id: &JobId) -> Result<()> {
    for event in fixture.world.journal().events {
        if let Event::Ended {
            task, how: None, ..
        } = event
        {
            ensure!(task.job != *id, "{task} was terminated with its instance");
        }
    }
    Ok(())
}

// Guards against maintenance that interrupts too many tasks. Every instance of a pool is due, two at a time, while
// three long-running tasks run there, one of which may be unavailable. Workers are evacuated before the order, one
// task of the step at a time.
async fn whole_pool() -> Result<()> {
    let mut fixture = Fixture::open(61, 2, 6).await?;
    let id = fixture.submit("e-0", &long_running(3)).await?;
    sleep_secs(2).await;
    let short = fixture.submit("e-0", &job("5500", 12)).await?;
    fixture.world.instruct(wave(pool_instances(&fixture), 2));
    let mut least = 3;
    for _tenth in 0..380 {
        let running = (0..3).filter(|index| !fixture.running(&task(&id, 0, *index)).is_empty());
        least = least.min(running.count());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    ensure!(fixture.world.waves().get(&1) == Some(&true), "not complete");
    ensure!(maintained(&fixture).len() == 6);
    ensure!(max_concurrent(&fixture) <= 2);
    ensure!(least >= 2, "only {least} of 3 tasks ran at some moment");
    check_no_run_terminated(&fixture, &id)?;
    check_no_run_terminated(&fixture, &short)?;
    fixture.check_invariants()
}

// The owner is killed in the middle of a wave. Its successor resumes from the wave's row, with higher fencing
// tokens, and gives no order before the pause between two holders has passed.
async fn owner_killed() -> Result<()> {
    let mut fixture = Fixture::open(62, 3, 6).await?;
    let id = fixture.submit("e-0", &long_running(3)).await?;
    sleep_secs(2).await;
    let owner = fixture.owner(POOL).await?;
    fixture.world.instruct(wave(pool_instances(&fixture), 2));
    sleep_secs(5).await;
    fixture.kill(&owner);
    sleep_secs(45).await;
    ensure!(fixture.world.waves().get(&1) == Some(&true), "not complete");
    let orders = maintained(&fixture);
    ensure!(orders.len() == 6);
    for (instance, orders) in &orders {
        for pair in orders.windows(2) {
            let ((at, entry, token), (later, other, higher)) = (&pair[0], &pair[1]);
            ensure!(higher > token, "{instance}: {token}, then {higher}");
            ensure!(
                entry == other || *later >= at + 3_000,
                "{instance}: {orders:?}"
            );
        }
    }
    check_no_run_terminated(&fixture, &id)?;
    fixture.check_invariants()
}

// An entry that holds instance groups is killed in the middle of a wave. It may have sent its last order a moment
// ago, to any of their instances, so its successor gives them none before the pause between two holders has
// passed. Then the wave continues.
async fn no_immediate_order() -> Result<()> {
    let mut fixture = Fixture::open(63, 2, 8).await?;
    let holder = fixture.owner(POOL).await?;
    let mut groups = Vec::new();
    for group in row::groups() {
        if fixture.owner(&group).await? == holder {
            groups.push(group);
        }
    }
    ensure!(!groups.is_empty(), "{holder} holds no group");
    fixture.world.instruct(wave(pool_instances(&fixture), 1));
    sleep_secs(4).await;
    let killed = fixture.world.now();
    fixture.kill(&holder);
    sleep_secs(30).await;
    let orders = maintained(&fixture);
    let of_groups = orders
        .iter()
        .filter(|(instance, _orders)| groups.contains(&row::group(instance)));
    let mut later: Vec<u64> = of_groups
        .flat_map(|(_instance, orders)| orders)
        .filter(|(_at, entry, _token)| **entry != *holder)
        .map(|(at, _entry, _token)| *at)
        .collect();
    later.sort_unstable();
    let at = later
        .first()
        .ok_or_else(|| eyre::eyre!("the wave does not continue: {orders:?}"))?;
    ensure!(*at >= killed + 3_000, "killed at {killed}, ordered at {at}");
    fixture.check_invariants()
}

// Guards against orders of two owners to the same instances. The part of the store with owners and heartbeats
// doesn't respond to the pool's owner, which still reaches the rest of the store and the instances. It is replaced
// without learning of it. Each of its orders depends on the ownership, whose check gets no response.
async fn partially_unresponsive() -> Result<()> {
    let fixture = Fixture::open_with_standby(64, 3, 4).await?;
    let owner = fixture.owner(STANDBY).await?;
    sleep_secs(4).await;
    let off = fixture.world.instances().into_iter();
    let off = off.filter(|known| &*known.pool == STANDBY);
    fixture.world.instruct(wave(off.map(|known| known.name), 1));
    sleep_secs(1).await;
    fixture.update_faults(&owner, |faults| faults.control = Reach::Silent);
    sleep_secs(14).await;
    let successor = fixture.owner(STANDBY).await?;
    ensure!(successor != owner, "{owner} wasn't replaced");
    fixture.update_faults(&owner, |faults| faults.control = Reach::Fine);
    sleep_secs(30).await;
    ensure!(fixture.world.waves().get(&1) == Some(&true), "not complete");
    fixture.check_invariants()
}

// Guards against a crash that is mistaken for maintenance. The owner records an instance as in maintenance and is
// killed before its order is sent; then the instance's worker crashes and is replaced. The instance still has to
// be maintained before the wave is reported as complete.
async fn crashed() -> Result<()> {
    let mut fixture = Fixture::open(65, 2, 3).await?;
    let name: Name = "i-0".into();
    let before = fixture.world.instances().into_iter();
    let mut before = before.filter(|known| known.name == name);
    let worker = before.next().and_then(|known| known.worker);
    let worker = worker.ok_or_else(|| eyre::eyre!("no worker"))?;
    // The row that a predecessor would have left.
    let caller = fixture.world.caller("predecessor");
    let progress = primroseroute_cell::row::WaveProgress {
        active: [(Name::clone(&name), Some(Name::clone(&worker)))].into(),
        ..primroseroute_cell::row::WaveProgress::default()
    };
    let place = primroseroute_cell::row::wave(1);
    let txn = primroseroute_platform::rows::Txn {
        puts: vec![(place, serde_json::to_vec(&progress)?.into())],
        ..primroseroute_platform::rows::Txn::default()
    };
    primroseroute_platform::rows::Rows::commit(&caller, txn).await?;
    fixture.world.crash(&worker);
    fixture.world.restart(&name);
    sleep_secs(1).await;
    fixture.world.instruct(wave(pool_instances(&fixture), 2));
    sleep_secs(30).await;
    ensure!(fixture.world.waves().get(&1) == Some(&true), "not complete");
    let orders = maintained(&fixture);
    ensure!(
        orders.contains_key(&name),
        "{name} wasn't maintained: {orders:?}"
    );
    let id = fixture.submit("e-0", &job("300", 2)).await?;
    fixture
        .wait_for_state("e-0", &id, primroseroute_domain::work::State::Completed, 3)
        .await?;
    fixture.check_invariants()
}

/// Progress of the wave, according to its row.
async fn progress(fixture: &Fixture) -> Result<row::WaveProgress> {
    let rows = fixture.world.caller("observer");
    let row = primroseroute_platform::rows::read_row(&rows, row::wave(1)).await?;
    let value = row.and_then(|row| row.value);
    value.map_or(Ok(row::WaveProgress::default()), |value| {
        Ok(serde_json::from_slice(&value)?)
    })
}

// Guards against more instances down than a wave allows. The owner of a pool has recorded an instance as in
// maintenance and requested the order, and is shut down gracefully while the holder of the group gives it. Its
// successor finds the instance up, on a worker that it doesn't evacuate, assumes that the order was never given
// and no longer counts the instance; it starts another one, and then the order takes effect.
async fn owner_stopped() -> Result<()> {
    let mut fixture = Fixture::open(66, 3, 8).await?;
    fixture.update_all_faults(|faults| faults.instance_order_delay = Duration::from_millis(350));
    fixture.world.instruct(wave(pool_instances(&fixture), 1));
    for _stop in 0..4 {
        let owner = fixture.owner(POOL).await?;
        let ordered = maintained(&fixture).len();
        while progress(&fixture).await?.active.is_empty() || maintained(&fixture).len() > ordered {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(60)).await;
        fixture.stop(&owner);
        sleep_secs(3).await;
        fixture.start(&owner);
        fixture
            .update_all_faults(|faults| faults.instance_order_delay = Duration::from_millis(350));
        sleep_secs(1).await;
    }
    sleep_secs(60).await;
    ensure!(max_concurrent(&fixture) <= 1, "{:?}", maintained(&fixture));
    ensure!(fixture.world.waves().get(&1) == Some(&true), "not complete");
    fixture.check_invariants()
}
