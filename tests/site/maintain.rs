//! Waves of maintenance: in time, no more at once than allowed, and no step misses too many tasks.

use crate::{
    bed::{Bed, POOL, STANDBY, job, lasting, seconds, task},
    cases,
};
use eyre::{Result, ensure};
use primroseroute_cell::row;
use primroseroute_domain::work::{JobId, Name};
use primroseroute_platform::site::{Instruction, Wave};
use primroseroute_standin::site::{Event, Reach};
use std::{collections::BTreeMap, time::Duration};

cases! {
    wave_over_a_pool_with_lasting_tasks => whole_pool();
    wave_goes_on_after_its_owner_is_killed => owner_killed();
    successor_orders_nothing_at_once => no_order_at_once();
    replaced_owner_orders_nothing => partly_silent();
    crash_is_not_taken_for_maintenance => crashed();
    order_on_its_way_counts_beside_a_new_owner => owner_stopped();
}

fn wave(instances: impl IntoIterator<Item = Name>, maximum: usize) -> Instruction {
    Instruction::Wave(Wave {
        number: 1,
        instances: instances.into_iter().collect(),
        duration: Duration::from_secs(40),
        maximum,
    })
}

fn own_instances(bed: &Bed) -> Vec<Name> {
    let all = bed.world.instances().into_iter();
    let own = all.filter(|known| &*known.pool == POOL);
    own.map(|known| known.name).collect()
}

/// For each instance, how often it was maintained, and the entries that ordered it.
fn maintained(bed: &Bed) -> BTreeMap<Name, Vec<(u64, Name, u64)>> {
    let mut found: BTreeMap<Name, Vec<(u64, Name, u64)>> = BTreeMap::new();
    for event in bed.world.journal().events {
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

/// Most instances that were in maintenance at the same time, at two seconds each.
fn most_at_once(bed: &Bed) -> usize {
    let begun: Vec<u64> = maintained(bed)
        .into_values()
        .flatten()
        .map(|(at, _entry, _token)| at)
        .collect();
    let at_once = |at: &u64| {
        begun
            .iter()
            .filter(|other| **other <= *at && *at < **other + 2_000)
            .count()
    };
    begun.iter().map(at_once).max().unwrap_or(0)
}

/// Fails where a run of a job went down with its instance.
fn nothing_was_cut_off(bed: &Bed, id: &JobId) -> Result<()> {
    for event in bed.world.journal().events {
        if let Event::Ended {
            task, how: None, ..
        } = event
        {
            ensure!(task.job != *id, "{task} went down with its instance");
        }
    }
    Ok(())
}

// Every instance of a pool is due, two at once, while three tasks last there and one may be missed.
// Workers are emptied before the order, one task of the step at a time.
async fn whole_pool() -> Result<()> {
    let mut bed = Bed::open(61, 2, 6).await?;
    let id = bed.submit("e-0", &lasting(3)).await?;
    seconds(2).await;
    let short = bed.submit("e-0", &job("5500", 12)).await?;
    bed.world.instruct(wave(own_instances(&bed), 2));
    let mut least = 3;
    for _tenth in 0..380 {
        let running = (0..3).filter(|index| !bed.running(&task(&id, 0, *index)).is_empty());
        least = least.min(running.count());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    ensure!(bed.world.waves().get(&1) == Some(&true), "not complete");
    ensure!(maintained(&bed).len() == 6);
    ensure!(most_at_once(&bed) <= 2);
    ensure!(least >= 2, "{least} of 3 tasks ran at some moment");
    nothing_was_cut_off(&bed, &id)?;
    nothing_was_cut_off(&bed, &short)?;
    bed.judge()
}

// The owner is killed in the middle of a wave. Its successor goes on from the wave's row, with
// higher fencing tokens, and gives no order before the pause between two holders has passed.
async fn owner_killed() -> Result<()> {
    let mut bed = Bed::open(62, 3, 6).await?;
    let id = bed.submit("e-0", &lasting(3)).await?;
    seconds(2).await;
    let owner = bed.owner(POOL).await?;
    bed.world.instruct(wave(own_instances(&bed), 2));
    seconds(5).await;
    bed.kill(&owner);
    seconds(45).await;
    ensure!(bed.world.waves().get(&1) == Some(&true), "not complete");
    let orders = maintained(&bed);
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
    nothing_was_cut_off(&bed, &id)?;
    bed.judge()
}

// An entry that holds groups of instances is killed in the middle of a wave. Its last order may have gone
// out a moment ago, and nobody can say to which instance, so its successor gives the instances of those groups
// none before the pause between two holders has passed, and the wave goes on after that.
async fn no_order_at_once() -> Result<()> {
    let mut bed = Bed::open(63, 2, 8).await?;
    let holder = bed.owner(POOL).await?;
    let mut groups = Vec::new();
    for group in row::groups() {
        if bed.owner(&group).await? == holder {
            groups.push(group);
        }
    }
    ensure!(!groups.is_empty(), "{holder} holds nothing");
    bed.world.instruct(wave(own_instances(&bed), 1));
    seconds(4).await;
    let killed = bed.world.now();
    bed.kill(&holder);
    seconds(30).await;
    let orders = maintained(&bed);
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
        .ok_or_else(|| eyre::eyre!("the wave doesn't go on: {orders:?}"))?;
    ensure!(*at >= killed + 3_000, "killed at {killed}, ordered at {at}");
    bed.judge()
}

// The part of the store that holds owners and heartbeats is silent towards the pool's owner, while it
// reaches the rest and the instances. It is replaced, and doesn't know. Its orders would meet those
// of its successor at the same instances: each one needs the ownership, and gets no answer.
async fn partly_silent() -> Result<()> {
    let bed = Bed::open_with_standby(64, 3, 4).await?;
    let owner = bed.owner(STANDBY).await?;
    seconds(4).await;
    let off = bed.world.instances().into_iter();
    let off = off.filter(|known| &*known.pool == STANDBY);
    bed.world.instruct(wave(off.map(|known| known.name), 1));
    seconds(1).await;
    bed.update_faults(&owner, |faults| faults.control = Reach::Silent);
    seconds(14).await;
    let successor = bed.owner(STANDBY).await?;
    ensure!(successor != owner, "{owner} wasn't replaced");
    bed.update_faults(&owner, |faults| faults.control = Reach::Fine);
    seconds(30).await;
    ensure!(bed.world.waves().get(&1) == Some(&true), "not complete");
    bed.judge()
}

// The owner counts an instance as in maintenance and is killed before its order goes out; then the instance's
// worker crashes and a new one comes. The successor must not take that for the maintenance: the instance
// has it before the wave is said to be complete.
async fn crashed() -> Result<()> {
    let mut bed = Bed::open(65, 2, 3).await?;
    let name: Name = "i-0".into();
    let before = bed.world.instances().into_iter();
    let mut before = before.filter(|known| known.name == name);
    let worker = before.next().and_then(|known| known.worker);
    let worker = worker.ok_or_else(|| eyre::eyre!("no worker"))?;
    // As a predecessor would have left it.
    let caller = bed.world.caller("predecessor");
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
    bed.world.crash(&worker);
    bed.world.restart(&name);
    seconds(1).await;
    bed.world.instruct(wave(own_instances(&bed), 2));
    seconds(30).await;
    ensure!(bed.world.waves().get(&1) == Some(&true), "not complete");
    let orders = maintained(&bed);
    ensure!(
        orders.contains_key(&name),
        "{name} wasn't maintained: {orders:?}"
    );
    let id = bed.submit("e-0", &job("300", 2)).await?;
    bed.until("e-0", &id, primroseroute_domain::work::State::Completed, 3)
        .await?;
    bed.judge()
}

/// How far the wave is.
async fn progress(bed: &Bed) -> Result<row::WaveProgress> {
    let rows = bed.world.caller("observer");
    let row = primroseroute_platform::rows::read_row(&rows, row::wave(1)).await?;
    let value = row.and_then(|row| row.value);
    value.map_or(Ok(row::WaveProgress::default()), |value| {
        Ok(serde_json::from_slice(&value)?)
    })
}

// An operator sees more instances down than the wave allows. The owner of a pool has counted one and asked for its order, and is
// stopped gracefully while the holder of the group gives it. Its successor finds the instance up, on a worker that it doesn't
// empty, takes the order for one that never came and counts it no more; another one begins, and then the order takes effect.
async fn owner_stopped() -> Result<()> {
    let mut bed = Bed::open(66, 3, 8).await?;
    bed.update_all_faults(|faults| faults.instance_order_delay = Duration::from_millis(350));
    bed.world.instruct(wave(own_instances(&bed), 1));
    for _stop in 0..4 {
        let owner = bed.owner(POOL).await?;
        let ordered = maintained(&bed).len();
        while progress(&bed).await?.active.is_empty() || maintained(&bed).len() > ordered {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(60)).await;
        bed.stop(&owner);
        seconds(3).await;
        bed.start(&owner);
        bed.update_all_faults(|faults| faults.instance_order_delay = Duration::from_millis(350));
        seconds(1).await;
    }
    seconds(60).await;
    ensure!(most_at_once(&bed) <= 1, "{:?}", maintained(&bed));
    ensure!(bed.world.waves().get(&1) == Some(&true), "not complete");
    bed.judge()
}
