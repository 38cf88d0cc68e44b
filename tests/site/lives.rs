//! Orders to instances, and whether the lives of their workers are over.

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

/// Further time of each call of the holder that orders: several orders to workers fit into the time from a request to
/// its answer, and the answer still comes in time.
const HOLDER_DELAY: Duration = Duration::from_millis(150);

/// How often a test looks for what it waits for.
const PACE: Duration = Duration::from_millis(10);

fn wave_of(name: &Name) -> Instruction {
    Instruction::Wave(Wave {
        number: 1,
        instances: [Name::clone(name)].into(),
        duration: Duration::from_secs(40),
        maximum: 1,
    })
}

/// The worker that an instance has.
fn worker(bed: &Bed, name: &Name) -> Option<Name> {
    let all = bed.world.instances().into_iter();
    let mut own = all.filter(|known| known.name == *name);
    own.next().and_then(|known| known.worker)
}

/// An instance of [`POOL`] whose orders come from another entry than the pool's owner, and that entry.
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

/// A predecessor has counted an instance and given the order to maintain it, and hasn't heard of its end.
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

/// Waits until a row is as `wanted` says.
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
    bail!("{place:?} doesn't come")
}

/// Shows the entries the registrations of workers, or hides them.
fn registry(bed: &Bed, reach: Reach) {
    bed.update_all_faults(|faults| faults.registry = reach);
}

// A wave's instance was maintained at a predecessor's order, and is up again. The platform lists its new worker; the feed of
// registrations fails, so the pool's owner doesn't know it, and takes it for empty. While it asks for
// the maintenance once more, the registration comes, and the waiting tasks start there. The order has no effect and is
// answered as taken: the owner thinks that the worker is over, and starts its tasks elsewhere beside those that run.
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
    bed.update_faults(&holder, |faults| faults.delay = HOLDER_DELAY);
    bed.world.instruct(wave_of(&name));
    until_row(&bed, row::wave(1), |progress: &Progress| {
        progress.active.get(&name) == Some(&Some(Name::clone(&before)))
    })
    .await?;
    registry(&bed, Reach::Fine);
    sleep(Duration::from_millis(300)).await;
    // Room for the tasks elsewhere.
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

// The only instance of a pool was maintained at a predecessor's order, which its successor doesn't know. It empties
// the new worker and asks for the maintenance once more; that is answered as taken, and nothing happens to
// the worker. If the owner took it for over, the pool's jobs would wait until some other worker registers.
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

// A new instance is listed while the feed of registrations fails, and another pool lacks instances: the owner takes the
// new one for empty, since it doesn't know its worker, and asks for it to move. Before the order comes the registration
// does, and a lasting task starts there: the order would cut it off.
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
    bed.update_faults(&holder, |faults| faults.delay = HOLDER_DELAY);
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
    // The other pool is done with its jobs, and gives an instance back.
    seconds(15).await;
    bed.judge()?;
    let counts: BTreeMap<u16, usize> = (0..3)
        .map(|index| (index, bed.running(&task(&second, 0, index)).len()))
        .collect();
    ensure!(counts.values().all(|count| *count == 1), "{counts:?}");
    Ok(())
}

// The list of instances takes five seconds to come. Meanwhile a worker joins, gets tasks, and doesn't answer for
// a while. The list that comes doesn't name it, and is older than it: the tasks there run on, and must not start elsewhere.
async fn old_list() -> Result<()> {
    let mut bed = Bed::open(94, 2, 2).await?;
    let owner = bed.owner(POOL).await?;
    let other = bed.bystander(POOL).await?;
    let others = bed.submit(&other, &job("20000", 16)).await?;
    seconds(1).await;
    bed.update_faults(&owner, |faults| faults.list_delay = Duration::from_secs(5));
    sleep(Duration::from_millis(1_500)).await;
    bed.world.add_instance("n-0", POOL);
    let id = bed.submit(&other, &job("6000", 4)).await?;
    bed.until(&other, &id, State::Running, 1).await?;
    sleep(Duration::from_millis(100)).await;
    bed.update_faults(&owner, |faults| faults.workers = Reach::Silent);
    sleep(Duration::from_millis(3_800)).await;
    bed.update_faults(&owner, |faults| faults.workers = Reach::Fine);
    // Room for the tasks elsewhere.
    ensure!(bed.cancel(&other, &others).await.is_success());
    bed.until(&other, &id, State::Completed, 10).await?;
    bed.judge()?;
    for index in 0..4 {
        let starts = bed.world.journal().starts(&task(&id, 0, index));
        ensure!(starts.len() == 1, "task {index}: {starts:?}");
    }
    Ok(())
}

// Jobs of a pool wait for ever, beside its one worker at work. Its registration goes and comes back as it was, between two answers
// of the feed: the second change equals what was known before the first, and must not be passed over for that.
async fn comes_back() -> Result<()> {
    let mut bed = Bed::open(119, 2, 1).await?;
    let worker = worker(&bed, &"i-0".into()).ok_or_else(|| eyre!("no worker"))?;
    bed.world.set_partitioned(&worker, true);
    bed.world.set_partitioned(&worker, false);
    seconds(1).await;
    let id = bed.submit("e-0", &job("500", 1)).await?;
    bed.until("e-0", &id, State::Completed, 4).await?;
    bed.judge()
}
