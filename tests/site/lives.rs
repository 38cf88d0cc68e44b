//! Whether a worker has terminated: conclusions from orders to its instance, lists of instances, and
//! registrations.

use crate::{
    bed::{Bed, OTHER, POOL, configuration, job, lasting, seconds, task},
    cases,
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
    worker_that_is_not_known_yet_is_not_taken_for_empty => unknown();
    order_that_was_carried_out_before_ends_no_life => done_before();
    worker_that_is_not_known_yet_is_not_moved_under_its_tasks => moved();
    list_from_before_a_worker_came_does_not_say_that_it_is_over => old_list();
    registration_that_comes_back_as_it_was_counts => comes_back();
}

/// Extra latency of each call of the holder that gives orders: long enough for several orders to workers between a
/// request and its response, and short enough that the response still arrives in time.
const HOLDER_DELAY: Duration = Duration::from_millis(150);

/// Interval at which a test checks a condition that it waits for.
const PACE: Duration = Duration::from_millis(10);

fn wave_of(name: &Name) -> Instruction {
    Instruction::Wave(Wave {
        number: 1,
        instances: [Name::clone(name)].into(),
        duration: Duration::from_secs(40),
        maximum: 1,
    })
}

/// The worker on an instance, if it is known.
fn worker(bed: &Bed, name: &Name) -> Option<Name> {
    let all = bed.world.instances().into_iter();
    let mut own = all.filter(|known| known.name == *name);
    own.next().and_then(|known| known.worker)
}

/// An instance of [`POOL`] whose orders come from an entry other than the pool's owner, and that entry.
async fn with_holder(bed: &Bed) -> Result<(Name, String)> {
    let owner = bed.owner(POOL).await?;
    for known in bed.world.instances() {
        let holder = bed.owner(&row::group(&known.name)).await?;
        if &*known.pool == POOL && holder != owner {
            return Ok((known.name, holder));
        }
    }
    bail!("{owner} holds all groups")
}

/// Sets up what a predecessor leaves behind that has recorded an instance as in maintenance, has given the order,
/// and hasn't learned that the maintenance is over.
async fn maintained_before(bed: &Bed, name: &Name) -> Result<()> {
    let caller = bed.world.caller("predecessor");
    let progress = Progress {
        active: [(Name::clone(name), worker(bed, name))].into(),
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
    bed: &Bed,
    place: Place,
    wanted: impl Fn(&T) -> bool,
) -> Result<()> {
    let caller = bed.world.caller("observer");
    for _look in 0..500 {
        let found = read_row(&caller, place.clone()).await?;
        let value = found.and_then(|row| row.value);
        let value = value.and_then(|value| serde_json::from_slice(&value).ok());
        if value.is_some_and(|value| wanted(&value)) {
            return Ok(());
        }
        sleep(PACE).await;
    }
    bail!("{place:?} does not reach the expected state")
}

/// Makes the registrations of workers available to all entries, or unavailable.
fn registry(bed: &Bed, reach: Reach) {
    bed.conduct_all(|conduct| conduct.registry = reach);
}

// Guards against duplicate runs after a maintenance order without effect. A wave's instance was maintained on a
// predecessor's order, and is up again. The platform lists its new worker, but the feed of registrations fails, so
// the pool's owner doesn't know the worker and assumes that it is idle. While the owner requests the maintenance
// once more, the registration arrives, and the waiting tasks start there. The order has no effect and is accepted:
// the owner would conclude that the worker has terminated, and start its tasks elsewhere beside those that run.
async fn unknown() -> Result<()> {
    let mut bed = Bed::open(91, 3, 4).await?;
    let (name, holder) = with_holder(&bed).await?;
    maintained_before(&bed, &name).await?;
    sleep(Duration::from_millis(300)).await;
    registry(&bed, Reach::Refused);
    let others = bed.submit("e-0", &job("30000", 24)).await?;
    sleep(Duration::from_millis(500)).await;
    let id = bed.submit("e-0", &job("3000", 4)).await?;
    seconds(2).await;
    let before = worker(&bed, &name).ok_or_else(|| eyre!("{name} isn't up"))?;
    bed.conduct(&holder, |conduct| conduct.delay = HOLDER_DELAY);
    bed.world.instruct(wave_of(&name));
    until_row(&bed, row::wave(1), |progress: &Progress| {
        progress.active.get(&name) == Some(&Some(Name::clone(&before)))
    })
    .await?;
    registry(&bed, Reach::Fine);
    sleep(Duration::from_millis(300)).await;
    // Free capacity for the tasks elsewhere.
    ensure!(bed.cancel("e-0", &others).await.is_success());
    bed.until("e-0", &id, State::Completed, 10).await?;
    bed.judge()?;
    for index in 0..4 {
        let starts = bed.world.journal().starts(&task(&id, 0, index));
        ensure!(starts.len() == 1, "task {index}: {starts:?}");
    }
    seconds(2).await;
    ensure!(bed.world.waves().get(&1) == Some(&true), "not complete");
    Ok(())
}

// Guards against a live worker that is considered terminated. The only instance of a pool was maintained on a
// predecessor's order, which its successor doesn't know. It evacuates the new worker and requests the maintenance
// once more; the order is accepted, and nothing happens to the worker. If the owner considered it terminated, the
// pool's jobs would wait until another worker registers.
async fn done_before() -> Result<()> {
    let mut bed = Bed::open(92, 2, 1).await?;
    let name: Name = "i-0".into();
    maintained_before(&bed, &name).await?;
    seconds(3).await;
    let before = worker(&bed, &name);
    bed.world.instruct(wave_of(&name));
    seconds(3).await;
    ensure!(bed.world.waves().get(&1) == Some(&true), "not complete");
    ensure!(worker(&bed, &name) == before, "it was maintained again");
    let id = bed.submit("e-0", &job("300", 2)).await?;
    bed.until("e-0", &id, State::Completed, 2).await?;
    bed.judge()
}

// Guards against a move that terminates a task which has just started. A new instance is listed while the feed of
// registrations fails, and another pool lacks instances: the owner doesn't know the new worker, assumes that it is
// idle, and requests a move of its instance. The registration arrives before the order, and a long-running task
// starts there.
async fn moved() -> Result<()> {
    let mut bed = Bed::open(93, 3, 2).await?;
    let first = bed.submit("e-0", &lasting(2)).await?;
    bed.until("e-0", &first, State::Running, 3).await?;
    registry(&bed, Reach::Refused);
    let owner = bed.owner(POOL).await?;
    let mut names = (0..).map(|number| format!("n-{number}"));
    let name: Name = loop {
        let name: Name = names.next().unwrap_or_default().into();
        if bed.owner(&row::group(&name)).await? != owner {
            break name;
        }
    };
    let holder = bed.owner(&row::group(&name)).await?;
    bed.world.add_instance(&name, POOL);
    bed.conduct(&holder, |conduct| conduct.delay = HOLDER_DELAY);
    bed.world
        .instruct(Instruction::Configuration(configuration(2, OTHER)));
    sleep(Duration::from_millis(500)).await;
    for _job in 0..6 {
        bed.submit(&owner, &job("4000", 4)).await?;
    }
    until_row(&bed, row::orders(POOL), |asked: &Orders| {
        asked.orders.contains_key(&name)
    })
    .await?;
    registry(&bed, Reach::Fine);
    bed.world
        .instruct(Instruction::Configuration(configuration(3, POOL)));
    sleep(Duration::from_millis(120)).await;
    let second = bed.submit(&owner, &lasting(3)).await?;
    // Meanwhile the other pool finishes its jobs and returns an instance.
    seconds(15).await;
    bed.judge()?;
    let counts: BTreeMap<u16, usize> = (0..3)
        .map(|index| (index, bed.running(&task(&second, 0, index)).len()))
        .collect();
    ensure!(counts.values().all(|count| *count == 1), "{counts:?}");
    Ok(())
}

// Guards against duplicate runs because of an outdated list of instances. The list takes five seconds to arrive.
// Meanwhile a worker joins, gets tasks, and is unresponsive for a while. The list predates the worker and doesn't
// contain it: its tasks run on, and must not start elsewhere.
async fn old_list() -> Result<()> {
    let mut bed = Bed::open(94, 2, 2).await?;
    let owner = bed.owner(POOL).await?;
    let other = bed.bystander(POOL).await?;
    let others = bed.submit(&other, &job("20000", 16)).await?;
    seconds(1).await;
    bed.conduct(&owner, |conduct| conduct.lists = Duration::from_secs(5));
    sleep(Duration::from_millis(1_500)).await;
    bed.world.add_instance("n-0", POOL);
    let id = bed.submit(&other, &job("6000", 4)).await?;
    bed.until(&other, &id, State::Running, 1).await?;
    sleep(Duration::from_millis(100)).await;
    bed.conduct(&owner, |conduct| conduct.workers = Reach::Silent);
    sleep(Duration::from_millis(3_800)).await;
    bed.conduct(&owner, |conduct| conduct.workers = Reach::Fine);
    // Free capacity for the tasks elsewhere.
    ensure!(bed.cancel(&other, &others).await.is_success());
    bed.until(&other, &id, State::Completed, 10).await?;
    bed.judge()?;
    for index in 0..4 {
        let starts = bed.world.journal().starts(&task(&id, 0, index));
        ensure!(starts.len() == 1, "task {index}: {starts:?}");
    }
    Ok(())
}

// Guards against jobs that wait forever although the pool's only worker is available. Between two responses of the
// feed, its registration is removed and restored unchanged: the second change equals what was known before the
// first, and must not be skipped for that.
async fn comes_back() -> Result<()> {
    let mut bed = Bed::open(119, 2, 1).await?;
    let worker = worker(&bed, &"i-0".into()).ok_or_else(|| eyre!("no worker"))?;
    bed.world.cut(&worker, true);
    bed.world.cut(&worker, false);
    seconds(1).await;
    let id = bed.submit("e-0", &job("500", 1)).await?;
    bed.until("e-0", &id, State::Completed, 4).await?;
    bed.judge()
}
