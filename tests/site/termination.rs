//! Whether a worker has terminated: conclusions from orders to its instance, lists of instances, and
//! registrations.

use crate::{
    cases,
    fixture::{Fixture, OTHER, POOL, configuration, job, long_running, sleep_secs, task},
};
use eyre::{Result, bail, ensure, eyre};
use primroseroute_cell::row::{self, Orders, WaveProgress as Progress};
use primroseroute_domain::work::{Name, State};
use primroseroute_platform::{
    rows::{Place, Rows, Txn, read_row},
    site::{Instruction, LeaseHolder, Site, Wave},
};
use primroseroute_standin::site::Reach;
use serde::de::DeserializeOwned;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::sleep;

cases! {
    unregistered_worker_is_not_assumed_idle => unregistered();
    repeated_order_does_not_terminate_a_worker => already_maintained();
    instance_of_an_unregistered_worker_is_not_moved_under_its_tasks => moved();
    outdated_list_does_not_terminate_a_new_worker => outdated_list();
    registration_that_is_restored_unchanged_counts => registration_restored();
}

/// Extra latency of each call of the holder that gives orders: long enough for several orders to workers between a
/// request and its response, and short enough that the response still arrives in time.
const HOLDER_DELAY: Duration = Duration::from_millis(150);

/// Interval at which a test checks a condition that it waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

fn wave_of(name: &Name) -> Instruction {
    Instruction::Wave(Wave {
        number: 1,
        instances: [Name::clone(name)].into(),
        duration: Duration::from_secs(40),
        maximum: 1,
    })
}

/// The worker on an instance, if it is known.
fn worker(fixture: &Fixture, name: &Name) -> Option<Name> {
    let all = fixture.world.instances().into_iter();
    let mut own = all.filter(|known| known.name == *name);
    own.next().and_then(|known| known.worker)
}

/// An instance of [`POOL`] whose orders come from an entry other than the pool's owner, and that entry.
async fn with_holder(fixture: &Fixture) -> Result<(Name, String)> {
    let owner = fixture.owner(POOL).await?;
    for known in fixture.world.instances() {
        let holder = fixture.owner(&row::group(&known.name)).await?;
        if &*known.pool == POOL && holder != owner {
            return Ok((known.name, holder));
        }
    }
    bail!("{owner} holds all groups")
}

/// Sets up what a predecessor leaves behind that has recorded an instance as in maintenance, has given the order,
/// and hasn't learned that the maintenance is over.
async fn maintained_before(fixture: &Fixture, name: &Name) -> Result<()> {
    let caller = fixture.world.caller("predecessor");
    let progress = Progress {
        active: [(Name::clone(name), worker(fixture, name))].into(),
        ..Progress::default()
    };
    let txn = Txn {
        puts: vec![(row::wave(1), serde_json::to_vec(&progress)?.into())],
        ..Txn::default()
    };
    caller.commit(txn).await?;
    let holder = LeaseHolder {
        entry: "predecessor".into(),
        token: 1,
    };
    caller.maintain(name, 1, &holder).await?;
    Ok(())
}

/// Waits until a row satisfies `wanted`.
async fn until_row<T: DeserializeOwned>(
    fixture: &Fixture,
    place: Place,
    wanted: impl Fn(&T) -> bool,
) -> Result<()> {
    let caller = fixture.world.caller("observer");
    for _attempt in 0..500 {
        let found = read_row(&caller, place.clone()).await?;
        let value = found.and_then(|row| row.value);
        let value = value.and_then(|value| serde_json::from_slice(&value).ok());
        if value.is_some_and(|value| wanted(&value)) {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    bail!("{place:?} does not reach the expected state")
}

/// Makes the registrations of workers available to all entries, or unavailable.
fn set_registry(fixture: &Fixture, reach: Reach) {
    fixture.update_all_faults(|faults| faults.registry = reach);
}

// Guards against duplicate runs after a maintenance order without effect. A wave's instance was maintained on a
// predecessor's order, and is up again. The platform lists its new worker, but the feed of registrations fails, so
// the pool's owner doesn't know the worker and assumes that it is idle. While the owner requests the maintenance
// once more, the registration arrives, and the waiting tasks start there. The order has no effect and is accepted:
// the owner would conclude that the worker has terminated, and start its tasks elsewhere beside those that run.
async fn unregistered() -> Result<()> {
    let mut fixture = Fixture::open(91, 3, 4).await?;
    let (name, holder) = with_holder(&fixture).await?;
    maintained_before(&fixture, &name).await?;
    sleep(Duration::from_millis(300)).await;
    set_registry(&fixture, Reach::Refused);
    let others = fixture.submit("e-0", &job("30000", 24)).await?;
    sleep(Duration::from_millis(500)).await;
    let id = fixture.submit("e-0", &job("3000", 4)).await?;
    sleep_secs(2).await;
    let before = worker(&fixture, &name).ok_or_else(|| eyre!("{name} isn't up"))?;
    fixture.update_faults(&holder, |faults| faults.delay = HOLDER_DELAY);
    fixture.world.instruct(wave_of(&name));
    until_row(&fixture, row::wave(1), |progress: &Progress| {
        progress.active.get(&name) == Some(&Some(Name::clone(&before)))
    })
    .await?;
    set_registry(&fixture, Reach::Fine);
    sleep(Duration::from_millis(300)).await;
    // Free capacity for the tasks elsewhere.
    ensure!(fixture.cancel("e-0", &others).await.is_success());
    fixture
        .wait_for_state("e-0", &id, State::Completed, 10)
        .await?;
    fixture.check_invariants()?;
    for index in 0..4 {
        let starts = fixture.world.journal().starts(&task(&id, 0, index));
        ensure!(starts.len() == 1, "task {index}: {starts:?}");
    }
    sleep_secs(2).await;
    ensure!(fixture.world.waves().get(&1) == Some(&true), "not complete");
    Ok(())
}

// Guards against a live worker that is considered terminated. The only instance of a pool was maintained on a
// predecessor's order, which its successor doesn't know. It evacuates the new worker and requests the maintenance
// once more; the order is accepted, and nothing happens to the worker. If the owner considered it terminated, the
// pool's jobs would wait until another worker registers.
async fn already_maintained() -> Result<()> {
    let mut fixture = Fixture::open(92, 2, 1).await?;
    let name: Name = "i-0".into();
    maintained_before(&fixture, &name).await?;
    sleep_secs(3).await;
    let before = worker(&fixture, &name);
    fixture.world.instruct(wave_of(&name));
    sleep_secs(3).await;
    ensure!(fixture.world.waves().get(&1) == Some(&true), "not complete");
    ensure!(worker(&fixture, &name) == before, "it was maintained again");
    let id = fixture.submit("e-0", &job("300", 2)).await?;
    fixture
        .wait_for_state("e-0", &id, State::Completed, 2)
        .await?;
    fixture.check_invariants()
}

// Guards against a move that terminates a task which has just started. A new instance is listed while the feed of
// registrations fails, and another pool lacks instances: the owner doesn't know the new worker, assumes that it is
// idle, and requests a move of its instance. The registration arrives before the order, and a long-running task
// starts there.
async fn moved() -> Result<()> {
    let mut fixture = Fixture::open(93, 3, 2).await?;
    let first = fixture.submit("e-0", &long_running(2)).await?;
    fixture
        .wait_for_state("e-0", &first, State::Running, 3)
        .await?;
    set_registry(&fixture, Reach::Refused);
    let owner = fixture.owner(POOL).await?;
    let mut names = (0..).map(|number| format!("n-{number}"));
    let name: Name = loop {
        let name: Name = names.next().unwrap_or_default().into();
        if fixture.owner(&row::group(&name)).await? != owner {
            break name;
        }
    };
    let holder = fixture.owner(&row::group(&name)).await?;
    fixture.world.add_instance(&name, POOL);
    fixture.update_faults(&holder, |faults| faults.delay = HOLDER_DELAY);
    fixture
        .world
        .instruct(Instruction::Configuration(configuration(2, OTHER)));
    sleep(Duration::from_millis(500)).await;
    for _job in 0..6 {
        fixture.submit(&owner, &job("4000", 4)).await?;
    }
    until_row(&fixture, row::orders(POOL), |asked: &Orders| {
        asked.orders.contains_key(&name)
    })
    .await?;
    set_registry(&fixture, Reach::Fine);
    fixture
        .world
        .instruct(Instruction::Configuration(configuration(3, POOL)));
    sleep(Duration::from_millis(120)).await;
    let second = fixture.submit(&owner, &long_running(3)).await?;
    // Meanwhile the other pool finishes its jobs and returns an instance.
    sleep_secs(15).await;
    fixture.check_invariants()?;
    let counts: BTreeMap<u16, usize> = (0..3)
        .map(|index| (index, fixture.running(&task(&second, 0, index)).len()))
        .collect();
    ensure!(counts.values().all(|count| *count == 1), "{counts:?}");
    Ok(())
}

// Guards against duplicate runs because of an outdated list of instances. The list takes five seconds to arrive.
// Meanwhile a worker joins, gets tasks, and is unresponsive for a while. The list predates the worker and doesn't
// contain it: its tasks run on, and must not start elsewhere.
async fn outdated_list() -> Result<()> {
    let mut fixture = Fixture::open(94, 2, 2).await?;
    let owner = fixture.owner(POOL).await?;
    let other = fixture.non_owner(POOL).await?;
    let others = fixture.submit(&other, &job("20000", 16)).await?;
    sleep_secs(1).await;
    fixture.update_faults(&owner, |faults| faults.list_delay = Duration::from_secs(5));
    sleep(Duration::from_millis(1_500)).await;
    fixture.world.add_instance("n-0", POOL);
    let id = fixture.submit(&other, &job("6000", 4)).await?;
    fixture
        .wait_for_state(&other, &id, State::Running, 1)
        .await?;
    sleep(Duration::from_millis(100)).await;
    fixture.update_faults(&owner, |faults| faults.workers = Reach::Silent);
    sleep(Duration::from_millis(3_800)).await;
    fixture.update_faults(&owner, |faults| faults.workers = Reach::Fine);
    // Free capacity for the tasks elsewhere.
    ensure!(fixture.cancel(&other, &others).await.is_success());
    fixture
        .wait_for_state(&other, &id, State::Completed, 10)
        .await?;
    fixture.check_invariants()?;
    for index in 0..4 {
        let starts = fixture.world.journal().starts(&task(&id, 0, index));
        ensure!(starts.len() == 1, "task {index}: {starts:?}");
    }
    Ok(())
}

// Guards against jobs that wait forever although the pool's only worker is available. Between two responses of the
// feed, its registration is removed and restored unchanged: the second change equals what was known before the
// first, and must not be skipped for that.
async fn registration_restored() -> Result<()> {
    let mut fixture = Fixture::open(119, 2, 1).await?;
    let worker = worker(&fixture, &"i-0".into()).ok_or_else(|| eyre!("no worker"))?;
    fixture.world.set_partitioned(&worker, true);
    fixture.world.set_partitioned(&worker, false);
    sleep_secs(1).await;
    let id = fixture.submit("e-0", &job("500", 1)).await?;
    fixture
        .wait_for_state("e-0", &id, State::Completed, 4)
        .await?;
    fixture.check_invariants()
}
