//! Instances move between pools: to those that have too few, and away from those that have too many.

use crate::{
    bed::{Bed, OTHER, POOL, STANDBY, configuration, job, lasting, seconds, task, with_standby},
    cases,
};
use eyre::{Result, ensure, eyre};
use primroseroute_domain::work::{Name, State};
use primroseroute_platform::site::{InstanceState, Instruction};
use primroseroute_standin::site::Event;
use std::time::Duration;
use tokio::time::sleep;

/// Longer than a pool keeps what it was given while no work comes in.
const UNTRIED: u64 = 62;

cases! {
    idle_instances_are_switched_off => switched_off();
    pool_keeps_what_it_was_given_until_its_first_work => untried();
    pool_under_load_gets_the_instances_of_others => under_load();
    lasting_task_keeps_its_instance => lasting_stays();
    owner_killed_between_moves => owner_killed();
    moves_keep_to_the_platforms_rate => rate();
    order_that_took_long_to_write_down_is_not_given => slow_store();
    frozen_owner_moves_nothing_after_its_replacement => owner_frozen();
    instance_goes_on_without_a_pause => at_once();
    groups_that_are_given_up_go_on_at_once => given_up();
    new_owner_moves_nothing_under_lasting_tasks => taken_over();
}

/// Instances of a pool that are up.
fn up(bed: &Bed, pool: &str) -> usize {
    let all = bed.world.instances().into_iter();
    let own = all.filter(|known| &*known.pool == pool && known.state == InstanceState::Up);
    own.count()
}

/// Moves, each with its time, its instance, its target and who ordered it.
fn moved(bed: &Bed) -> Vec<(u64, Name, Name, Name)> {
    let events = bed.world.journal().events.into_iter();
    let moves = events.filter_map(|event| match event {
        Event::Moved {
            at,
            instance,
            to,
            entry,
            ..
        } => Some((at, instance, to, entry)),
        _ => None,
    });
    moves.collect()
}

/// A first job of a pool, which has ended long enough ago that nothing is kept for it any more.
async fn first_work(bed: &mut Bed, entry: &str) -> Result<()> {
    let id = bed.submit(entry, &job("500", 1)).await?;
    bed.until(entry, &id, State::Completed, 2).await?;
    seconds(12).await;
    Ok(())
}

// Nothing more is asked of a pool of six. All but the one that the next job may need are switched off,
// and the first job after that runs at once.
async fn switched_off() -> Result<()> {
    let mut bed = Bed::open_with_standby(71, 2, 6).await?;
    first_work(&mut bed, "e-0").await?;
    ensure!(up(&bed, POOL) == 1, "{} are up", up(&bed, POOL));
    ensure!(up(&bed, STANDBY) == 9);
    let id = bed.submit("e-0", &job("500", 4)).await?;
    bed.until("e-0", &id, State::Completed, 2).await?;
    bed.judge()
}

// A site has started, and its callers come a while later: they find the six instances that their pool was given, also where its
// owner is replaced meanwhile. Where none comes at all, all but one are switched off.
async fn untried() -> Result<()> {
    let mut bed = Bed::open_with_standby(120, 2, 6).await?;
    seconds(15).await;
    ensure!(up(&bed, POOL) == 6, "{} are up", up(&bed, POOL));
    let owner = bed.owner(POOL).await?;
    bed.kill(&owner);
    seconds(15).await;
    ensure!(up(&bed, POOL) == 6, "{} are up", up(&bed, POOL));
    seconds(UNTRIED).await;
    ensure!(up(&bed, POOL) == 1, "{} are up", up(&bed, POOL));
    bed.judge()
}

// Tasks for three times the pool's workers come in. Instances that are switched off join it, and when
// the work is done they leave again; the other pool keeps its one.
async fn under_load() -> Result<()> {
    let mut bed = Bed::open_with_standby(72, 2, 2).await?;
    seconds(6).await;
    let mut jobs = Vec::new();
    for _job in 0..12 {
        jobs.push(bed.submit("e-0", &job("4000", 4)).await?);
    }
    seconds(4).await;
    ensure!(up(&bed, POOL) == 6, "{} are up", up(&bed, POOL));
    ensure!(up(&bed, OTHER) == 1);
    for id in &jobs {
        // On two workers alone it would take 12 s.
        bed.until("e-0", id, State::Completed, 6).await?;
    }
    seconds(15).await;
    ensure!(up(&bed, POOL) == 1, "{} are up", up(&bed, POOL));
    bed.judge()
}

// Three tasks last on three of six workers. The others are switched off, and those three stay.
async fn lasting_stays() -> Result<()> {
    let mut bed = Bed::open_with_standby(73, 2, 6).await?;
    let id = bed.submit("e-0", &lasting(3)).await?;
    first_work(&mut bed, "e-0").await?;
    seconds(8).await;
    ensure!(up(&bed, POOL) >= 3);
    ensure!(up(&bed, POOL) < 6, "none was switched off");
    for index in 0..3 {
        let task = task(&id, 0, index);
        let starts = bed.world.journal().starts(&task);
        ensure!(starts.len() == 1, "{task} was moved: {starts:?}");
    }
    bed.judge()
}

// Load comes and goes while the entries that own the pools are killed, one after the other. Whoever
// takes over orders no instance before the pause between two holders has passed, which the judge
// checks for each instance; and instances still come and go.
async fn owner_killed() -> Result<()> {
    let mut bed = Bed::open_with_standby(74, 3, 4).await?;
    seconds(5).await;
    for pool in [STANDBY, POOL] {
        for _job in 0..12 {
            bed.submit("e-0", &job("1500", 4)).await?;
        }
        seconds(2).await;
        let owner = bed.owner(pool).await?;
        if owner != "e-0" {
            bed.kill(&owner);
        }
        seconds(12).await;
        if owner != "e-0" {
            bed.start(&owner);
        }
    }
    seconds(10).await;
    let owners: std::collections::BTreeSet<_> = moved(&bed)
        .into_iter()
        .map(|(_at, _instance, _to, entry)| entry)
        .collect();
    ensure!(owners.len() > 1, "only {owners:?} moved instances");
    bed.judge()
}

// The process that owns the standby pool stands still while the pool beside it fills up, is replaced,
// and goes on. What it asks for, and what it orders for others, is conditional on what it has lost: only
// others' orders reach the instances.
async fn owner_frozen() -> Result<()> {
    let mut bed = Bed::open_with_standby(75, 3, 2).await?;
    seconds(5).await;
    let owner = bed.owner(STANDBY).await?;
    let caller = bed.bystander(STANDBY).await?;
    bed.update_faults(&owner, |faults| faults.frozen = true);
    for _job in 0..12 {
        bed.submit(&caller, &job("9000", 4)).await?;
    }
    seconds(8).await;
    let successor = bed.owner(STANDBY).await?;
    ensure!(successor != owner, "{owner} wasn't replaced");
    let thawed = bed.world.now();
    bed.update_faults(&owner, |faults| faults.frozen = false);
    seconds(12).await;
    let moves = moved(&bed);
    let late = moves
        .iter()
        .find(|(at, _instance, _to, entry)| *at >= thawed && **entry == *owner);
    ensure!(late.is_none(), "{late:?}");
    let by_others = |(at, _instance, _to, entry): &&(u64, Name, Name, Name)| {
        *at >= thawed - 8_000 && **entry != *owner
    };
    moves
        .iter()
        .find(by_others)
        .ok_or_else(|| eyre!("nobody but {owner} moved anything: {moves:?}"))?;
    bed.judge()
}

// The platform takes four orders a second, and fourteen instances that are switched off are wanted at once.
// They go three in any second, so that waves and other pools have their part of the rate.
async fn rate() -> Result<()> {
    let mut bed = Bed::open_with_standby(76, 3, 15).await?;
    first_work(&mut bed, "e-0").await?;
    bed.bounds.send_modify(|bounds| bounds.order_rate = 4.0);
    let owner = bed.owner(STANDBY).await?;
    let caller = bed.bystander(STANDBY).await?;
    bed.kill(&owner);
    seconds(8).await;
    let from = bed.world.now();
    for _job in 0..24 {
        bed.submit(&caller, &job("9000", 4)).await?;
    }
    seconds(12).await;
    let moves = moved(&bed).into_iter();
    let times: Vec<u64> = moves
        .map(|(at, _instance, _to, _entry)| at)
        .filter(|at| *at >= from)
        .collect();
    ensure!(times.len() >= 6, "{times:?}");
    for at in &times {
        let together = times
            .iter()
            .filter(|other| *at <= **other && **other < at + 1_000);
        ensure!(together.count() <= 3, "{times:?}");
    }
    bed.judge()
}

// The store takes half a second for each write while a pool fills up. Another entry may hold the instances
// that it wants by the time their holders have the answer, so these order nothing on it. When the store is
// quick again, the instances come.
async fn slow_store() -> Result<()> {
    let mut bed = Bed::open_with_standby(79, 2, 2).await?;
    seconds(5).await;
    bed.update_all_faults(|faults| faults.delay = Duration::from_millis(450));
    let slow_from = bed.world.now();
    for _job in 0..12 {
        bed.submit("e-0", &job("9000", 4)).await?;
    }
    let slow_until = bed.world.now();
    bed.update_all_faults(|faults| faults.delay = Duration::ZERO);
    for _job in 0..12 {
        bed.submit("e-0", &job("9000", 4)).await?;
    }
    seconds(8).await;
    let moves = moved(&bed);
    // An order that was on its way when the store became slow is still given.
    let meanwhile = slow_from + 500..slow_until;
    let early = moves.iter().find(|(at, ..)| meanwhile.contains(at));
    ensure!(early.is_none(), "{early:?}");
    ensure!(moves.iter().any(|(at, ..)| *at >= slow_until), "{moves:?}");
    bed.judge()
}

// Instances have just come to a pool when its jobs are done and another pool fills up. They go on at
// once: the holder of an instance stays the same, so that no pause stands between its moves.
async fn at_once() -> Result<()> {
    let mut bed = Bed::open_with_standby(80, 3, 2).await?;
    seconds(6).await;
    for _job in 0..12 {
        bed.submit("e-0", &job("700", 4)).await?;
    }
    seconds(2).await;
    bed.world
        .instruct(Instruction::Configuration(with_standby(configuration(
            2, OTHER,
        ))));
    sleep(Duration::from_millis(500)).await;
    for _job in 0..12 {
        bed.submit("e-0", &job("4000", 4)).await?;
    }
    seconds(6).await;
    let moves = moved(&bed);
    let again = moves.iter().any(|(at, instance, to, entry)| {
        &**to == OTHER
            && moves.iter().any(|(before, same, _to, holder)| {
                same == instance && holder == entry && before < at && *at < before + 3_000
            })
    });
    ensure!(again, "no instance went on within the pause: {moves:?}");
    bed.judge()
}

// Both holders of groups but one stop, one after the other, while nothing moves; then a pool fills up. Whoever has
// their groups now needn't wait out a pause: the holders before have said that they ordered nothing lately.
async fn given_up() -> Result<()> {
    let mut bed = Bed::open_with_standby(81, 3, 2).await?;
    seconds(6).await;
    for name in ["e-1", "e-2"] {
        let node = bed.nodes.remove(name);
        let entry = node.map(|node| node.entry);
        entry.expect("one of the entries").stop().await;
        seconds(1).await;
    }
    let from = bed.world.now();
    for _job in 0..12 {
        bed.submit("e-0", &job("4000", 4)).await?;
    }
    sleep(Duration::from_millis(1_500)).await;
    let moves = moved(&bed);
    let soon = moves.iter().filter(|(at, ..)| *at >= from);
    ensure!(soon.count() >= 4, "{moves:?}");
    bed.judge()
}

// Six tasks last on six of ten instances of a pool whose owner is killed while the pool beside it fills up. The
// new owner has instances to give, and a commit takes longer than the list of instances: it must not take those that it
// has told itself nothing of yet for empty, and move them away under the tasks that it has just loaded.
async fn taken_over() -> Result<()> {
    for entries in [3, 4, 5] {
        let mut bed = Bed::open(82, entries, 10).await?;
        let id = bed.submit("e-0", &lasting(6)).await?;
        seconds(4).await;
        bed.world
            .instruct(Instruction::Configuration(configuration(2, OTHER)));
        seconds(1).await;
        let owner = bed.owner(POOL).await?;
        let caller = bed.bystander(POOL).await?;
        bed.kill(&owner);
        let killed = bed.world.now();
        sleep(Duration::from_millis(1_500)).await;
        for _job in 0..12 {
            bed.submit(&caller, &job("3000", 4)).await?;
        }
        bed.update_all_faults(|faults| faults.delay = Duration::from_millis(120));
        seconds(5).await;
        let moves = moved(&bed);
        ensure!(moves.iter().any(|(at, ..)| *at > killed), "{moves:?}");
        for index in 0..6 {
            let task = task(&id, 0, index);
            let starts = bed.world.journal().starts(&task);
            ensure!(
                starts.len() == 1,
                "{entries} entries: {task} was disturbed: {starts:?}"
            );
        }
        bed.judge()?;
    }
    Ok(())
}
