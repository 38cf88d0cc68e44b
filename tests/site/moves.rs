//! Moves of instances between pools, from those with a surplus to those with a shortage.

use crate::{
    cases,
    fixture::{
        Fixture, OTHER, POOL, STANDBY, configuration, job, long_running, sleep_secs, step, task,
        with_standby,
    },
};
use eyre::{Result, ensure, eyre};
use primroseroute_cell::row;
use primroseroute_domain::work::{Demand, Job, Name, State, Step};
use primroseroute_platform::site::{InstanceState, Instruction};
use primroseroute_standin::site::{Event, Reach};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::sleep;

/// Seconds, longer than the time for which a pool without any jobs keeps its initial instances.
const INITIAL_RETENTION_SECS: u64 = 62;

cases! {
    idle_instances_are_switched_off => switched_off();
    pool_keeps_its_initial_instances_until_its_first_job => without_jobs();
    pool_under_load_gets_the_instances_of_others => under_load();
    long_running_task_keeps_its_instance => long_running_stays();
    owner_killed_between_moves => owner_killed();
    moves_respect_the_platforms_rate_limit => rate();
    order_that_was_written_slowly_is_not_given => slow_store();
    suspended_owner_moves_nothing_after_its_replacement => owner_suspended();
    /// Guards against an order that is held up and carried out after the orders of its holder's successor.
    held_up_order_is_given_up_before_a_successor_orders => held_up();
    instance_moves_again_without_a_pause => moves_again();
    released_groups_resume_at_once => released();
    new_owner_moves_nothing_under_long_running_tasks => taken_over();
    long_overdue_job_that_fits_on_no_worker_gets_an_instance => overdue_job_gets_an_instance();
    /// Guards against instances that are switched on, or taken from other pools, for tasks that none can hold.
    job_that_no_instance_can_hold_moves_none => no_instance_can_hold();
}

/// Instances of a pool that are up.
fn instances_up(fixture: &Fixture, pool: &str) -> usize {
    let all = fixture.world.instances().into_iter();
    let own = all.filter(|known| &*known.pool == pool && known.state == InstanceState::Up);
    own.count()
}

/// A caller gives the memory of its tasks in bytes in place of MB; the owner is killed while the job waits.
async fn no_instance_can_hold() -> Result<()> {
    let mut fixture = Fixture::open_with_standby(85, 3, 2).await?;
    run_first_job(&mut fixture, "e-0").await?;
    let before = moved(&fixture).len();
    let demand = Demand {
        memory: 64 << 30,
        ..step(1).demand
    };
    let step = Step {
        demand,
        lasting: true,
        ..step(100)
    };
    let hopeless = Job {
        steps: vec![step],
        ..job("lasts", 1)
    };
    let id = fixture.submit("e-0", &hopeless).await?;
    sleep_secs(10).await;
    let owner = fixture.owner(POOL).await?;
    fixture.kill(&owner);
    sleep_secs(15).await;
    let moves = moved(&fixture);
    ensure!(moves.len() == before, "{:?}", &moves[before..]);
    let caller = fixture.non_owner(POOL).await?;
    ensure!(fixture.state(&caller, &id).await == Ok(State::Pending));
    let sound = fixture.submit(&caller, &job("500", 4)).await?;
    fixture
        .wait_for_state(&caller, &sound, State::Completed, 3)
        .await?;
    fixture.check_invariants()
}

/// All moves, each with its time, instance, target pool and the entry that ordered it.
fn moved(fixture: &Fixture) -> Vec<(u64, Name, Name, Name)> {
    let events = fixture.world.journal().events.into_iter();
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

/// Runs the first job of a pool, and waits until the pool no longer keeps instances for it.
async fn run_first_job(fixture: &mut Fixture, entry: &str) -> Result<()> {
    let id = fixture.submit(entry, &job("500", 1)).await?;
    fixture
        .wait_for_state(entry, &id, State::Completed, 2)
        .await?;
    sleep_secs(12).await;
    Ok(())
}

// Guards against idle instances that stay on, and jobs that are delayed afterwards: of an idle pool of six, all
// but the one that the next job may need are switched off, and the next job runs at once.
async fn switched_off() -> Result<()> {
    let mut fixture = Fixture::open_with_standby(71, 2, 6).await?;
    run_first_job(&mut fixture, "e-0").await?;
    ensure!(
        instances_up(&fixture, POOL) == 1,
        "{} are up",
        instances_up(&fixture, POOL)
    );
    ensure!(instances_up(&fixture, STANDBY) == 9);
    let id = fixture.submit("e-0", &job("500", 4)).await?;
    fixture
        .wait_for_state("e-0", &id, State::Completed, 2)
        .await?;
    fixture.check_invariants()
}

// Guards against a pool that loses its initial instances before the callers of a newly started site arrive, also
// when its owner is replaced meanwhile. If no job comes for long, all but one are switched off.
async fn without_jobs() -> Result<()> {
    let mut fixture = Fixture::open_with_standby(120, 2, 6).await?;
    sleep_secs(15).await;
    ensure!(
        instances_up(&fixture, POOL) == 6,
        "{} are up",
        instances_up(&fixture, POOL)
    );
    let owner = fixture.owner(POOL).await?;
    fixture.kill(&owner);
    sleep_secs(15).await;
    ensure!(
        instances_up(&fixture, POOL) == 6,
        "{} are up",
        instances_up(&fixture, POOL)
    );
    sleep_secs(INITIAL_RETENTION_SECS).await;
    ensure!(
        instances_up(&fixture, POOL) == 1,
        "{} are up",
        instances_up(&fixture, POOL)
    );
    fixture.check_invariants()
}

// Tasks for three times the pool's workers arrive. Standby instances join the pool, and leave it when the work is
// done; the other pool keeps its single instance.
async fn under_load() -> Result<()> {
    let mut fixture = Fixture::open_with_standby(72, 2, 2).await?;
    sleep_secs(6).await;
    let mut jobs = Vec::new();
    for _job in 0..12 {
        jobs.push(fixture.submit("e-0", &job("4000", 4)).await?);
    }
    sleep_secs(4).await;
    ensure!(
        instances_up(&fixture, POOL) == 6,
        "{} are up",
        instances_up(&fixture, POOL)
    );
    ensure!(instances_up(&fixture, OTHER) == 1);
    for id in &jobs {
        // On two workers alone this would take 12 s.
        fixture
            .wait_for_state("e-0", id, State::Completed, 6)
            .await?;
    }
    sleep_secs(15).await;
    ensure!(
        instances_up(&fixture, POOL) == 1,
        "{} are up",
        instances_up(&fixture, POOL)
    );
    fixture.check_invariants()
}

// Guards against moving instances under long-running tasks: with three of them on three of six workers, only the
// others are switched off.
async fn long_running_stays() -> Result<()> {
    let mut fixture = Fixture::open_with_standby(73, 2, 6).await?;
    let id = fixture.submit("e-0", &long_running(3)).await?;
    run_first_job(&mut fixture, "e-0").await?;
    sleep_secs(8).await;
    ensure!(instances_up(&fixture, POOL) >= 3);
    ensure!(
        instances_up(&fixture, POOL) < 6,
        "no instance was switched off"
    );
    for index in 0..3 {
        let task = task(&id, 0, index);
        let starts = fixture.world.journal().starts(&task);
        ensure!(starts.len() == 1, "{task} was moved: {starts:?}");
    }
    fixture.check_invariants()
}

// Load rises and falls while the entries that own the pools are killed, one after the other. A successor gives no
// order to an instance before the pause between two holders has passed, which the invariant check verifies for
// each instance; instances still move afterwards.
async fn owner_killed() -> Result<()> {
    let mut fixture = Fixture::open_with_standby(74, 3, 4).await?;
    sleep_secs(5).await;
    for pool in [STANDBY, POOL] {
        for _job in 0..12 {
            fixture.submit("e-0", &job("1500", 4)).await?;
        }
        sleep_secs(2).await;
        let owner = fixture.owner(pool).await?;
        if owner != "e-0" {
            fixture.kill(&owner);
        }
        sleep_secs(12).await;
        if owner != "e-0" {
            fixture.start(&owner);
        }
    }
    sleep_secs(10).await;
    let owners: std::collections::BTreeSet<_> = moved(&fixture)
        .into_iter()
        .map(|(_at, _instance, _to, entry)| entry)
        .collect();
    ensure!(owners.len() > 1, "only {owners:?} moved instances");
    fixture.check_invariants()
}

// Guards against moves by a former owner: the process that owns the standby pool is suspended while another pool
// fills up, is replaced, and resumes. Its requests and orders are conditional on the ownership that it has lost,
// so only orders of other entries reach the instances.
async fn owner_suspended() -> Result<()> {
    let mut fixture = Fixture::open_with_standby(75, 3, 2).await?;
    sleep_secs(5).await;
    let owner = fixture.owner(STANDBY).await?;
    let caller = fixture.non_owner(STANDBY).await?;
    fixture.update_faults(&owner, |faults| faults.frozen = true);
    for _job in 0..12 {
        fixture.submit(&caller, &job("9000", 4)).await?;
    }
    sleep_secs(8).await;
    let successor = fixture.owner(STANDBY).await?;
    ensure!(successor != owner, "{owner} wasn't replaced");
    let thawed = fixture.world.now();
    fixture.update_faults(&owner, |faults| faults.frozen = false);
    sleep_secs(12).await;
    let moves = moved(&fixture);
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
    fixture.check_invariants()
}

// The platform accepts four orders per second, and fourteen standby instances are needed at once. At most three
// move in any second, which leaves a part of the rate to maintenance waves and other pools.
async fn rate() -> Result<()> {
    let mut fixture = Fixture::open_with_standby(76, 3, 15).await?;
    run_first_job(&mut fixture, "e-0").await?;
    fixture.bounds.send_modify(|bounds| bounds.order_rate = 4.0);
    let owner = fixture.owner(STANDBY).await?;
    let caller = fixture.non_owner(STANDBY).await?;
    fixture.kill(&owner);
    sleep_secs(8).await;
    let from = fixture.world.now();
    for _job in 0..24 {
        fixture.submit(&caller, &job("9000", 4)).await?;
    }
    sleep_secs(12).await;
    let moves = moved(&fixture).into_iter();
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
    fixture.check_invariants()
}

// Guards against orders based on an outdated write: the store takes half a second per write while a pool fills up.
// By the time a holder gets the response, another entry may hold the instances, so it gives no order. Once the
// store is fast again, the instances move.
async fn slow_store() -> Result<()> {
    let mut fixture = Fixture::open_with_standby(79, 2, 2).await?;
    sleep_secs(5).await;
    fixture.update_all_faults(|faults| faults.delay = Duration::from_millis(450));
    let slow_from = fixture.world.now();
    for _job in 0..12 {
        fixture.submit("e-0", &job("9000", 4)).await?;
    }
    let slow_until = fixture.world.now();
    fixture.update_all_faults(|faults| faults.delay = Duration::ZERO);
    for _job in 0..12 {
        fixture.submit("e-0", &job("9000", 4)).await?;
    }
    sleep_secs(8).await;
    let moves = moved(&fixture);
    // An order already in flight when the store became slow is still carried out.
    let meanwhile = slow_from + 500..slow_until;
    let early = moves.iter().find(|(at, ..)| meanwhile.contains(at));
    ensure!(early.is_none(), "{early:?}");
    ensure!(moves.iter().any(|(at, ..)| *at >= slow_until), "{moves:?}");
    fixture.check_invariants()
}

// Instances have just joined a pool when its jobs are done and another pool fills up. They move on at once: an
// instance keeps its holder, so no pause between two holders applies.
async fn moves_again() -> Result<()> {
    let mut fixture = Fixture::open_with_standby(80, 3, 2).await?;
    sleep_secs(6).await;
    for _job in 0..12 {
        fixture.submit("e-0", &job("700", 4)).await?;
    }
    sleep_secs(2).await;
    fixture
        .world
        .instruct(Instruction::Configuration(with_standby(configuration(
            2, OTHER,
        ))));
    sleep(Duration::from_millis(500)).await;
    for _job in 0..12 {
        fixture.submit("e-0", &job("4000", 4)).await?;
    }
    sleep_secs(6).await;
    let moves = moved(&fixture);
    let again = moves.iter().any(|(at, instance, to, entry)| {
        &**to == OTHER
            && moves.iter().any(|(before, same, _to, holder)| {
                same == instance && holder == entry && before < at && *at < before + 3_000
            })
    });
    ensure!(again, "no instance moved again within the pause: {moves:?}");
    fixture.check_invariants()
}

// Two of three entries shut down, one after the other, while nothing moves; then a pool fills up. The new holder
// of their instance groups needs no pause, since the previous holders recorded that they had given no recent
// orders.
async fn released() -> Result<()> {
    let mut fixture = Fixture::open_with_standby(81, 3, 2).await?;
    sleep_secs(6).await;
    for name in ["e-1", "e-2"] {
        let node = fixture.nodes.remove(name);
        let entry = node.map(|node| node.entry);
        entry.expect("one of the entries").stop().await;
        sleep_secs(1).await;
    }
    let from = fixture.world.now();
    for _job in 0..12 {
        fixture.submit("e-0", &job("4000", 4)).await?;
    }
    sleep(Duration::from_millis(1_500)).await;
    let moves = moved(&fixture);
    let soon = moves.iter().filter(|(at, ..)| *at >= from);
    ensure!(soon.count() >= 4, "{moves:?}");
    fixture.check_invariants()
}

// Guards against a new owner that moves instances away under long-running tasks that it has just loaded. Six such
// tasks run on six of ten instances when the owner is killed and another pool fills up. The new owner has surplus
// instances, and a commit takes longer than the list of instances: instances whose use it hasn't recorded yet must
// not count as idle.
async fn taken_over() -> Result<()> {
    for entries in [3, 4, 5] {
        let mut fixture = Fixture::open(82, entries, 10).await?;
        let id = fixture.submit("e-0", &long_running(6)).await?;
        sleep_secs(4).await;
        fixture
            .world
            .instruct(Instruction::Configuration(configuration(2, OTHER)));
        sleep_secs(1).await;
        let owner = fixture.owner(POOL).await?;
        let caller = fixture.non_owner(POOL).await?;
        fixture.kill(&owner);
        let killed = fixture.world.now();
        sleep(Duration::from_millis(1_500)).await;
        for _job in 0..12 {
            fixture.submit(&caller, &job("3000", 4)).await?;
        }
        fixture.update_all_faults(|faults| faults.delay = Duration::from_millis(120));
        sleep_secs(5).await;
        let moves = moved(&fixture);
        ensure!(moves.iter().any(|(at, ..)| *at > killed), "{moves:?}");
        for index in 0..6 {
            let task = task(&id, 0, index);
            let starts = fixture.world.journal().starts(&task);
            ensure!(
                starts.len() == 1,
                "{entries} entries: {task} was disturbed: {starts:?}"
            );
        }
        fixture.check_invariants()?;
    }
    Ok(())
}

// Guards against a job that never runs because it no longer counts in its pool's need: it is past three times its
// objective when a new owner loads it, and its task of ten cores fits on neither of the two workers that the pool
// keeps for long-running tasks.
async fn overdue_job_gets_an_instance() -> Result<()> {
    let mut fixture = Fixture::open_with_standby(83, 3, 6).await?;
    let long_running = Step {
        lasting: true,
        ..step(12)
    };
    let long_running = Job {
        steps: vec![long_running],
        ..job("lasts", 12)
    };
    fixture.submit("e-0", &long_running).await?;
    run_first_job(&mut fixture, "e-0").await?;
    let owner = fixture.owner(POOL).await?;
    let caller = fixture.non_owner(POOL).await?;
    fixture.update_faults(&owner, |faults| faults.jobs = Reach::Refused);
    sleep_secs(1).await;
    let demand = Demand {
        cpu: 10_000,
        ..step(1).demand
    };
    let wide = Job {
        steps: vec![Step { demand, ..step(1) }],
        ..job("500", 1)
    };
    let id = fixture.submit(&caller, &wide).await?;
    sleep_secs(5).await;
    fixture.kill(&owner);
    fixture
        .wait_for_state(&caller, &id, State::Completed, 13)
        .await?;
    fixture.check_invariants()
}

/// An entry other than the owner of the pool that holds a group with a standby instance.
async fn holder_of_standby_instance(fixture: &Fixture) -> Result<String> {
    let owner = fixture.owner(POOL).await?;
    for number in 0..4 {
        let holder = fixture.owner(&row::group(&format!("s-{number}"))).await?;
        if holder != owner {
            return Ok(holder);
        }
    }
    Err(eyre!("the pool's owner holds all groups"))
}

async fn held_up() -> Result<()> {
    let mut fixture = Fixture::open_with_standby(128, 3, 2).await?;
    sleep_secs(6).await;
    let holder = holder_of_standby_instance(&fixture).await?;
    let owner = fixture.owner(POOL).await?;
    fixture.update_faults(&holder, |faults| {
        faults.instance_order_delay = Duration::from_secs(11);
    });
    for _job in 0..12 {
        fixture.submit(&owner, &job("20000", 4)).await?;
    }
    sleep(Duration::from_millis(600)).await;
    fixture.update_faults(&holder, |faults| faults.store = Reach::Silent);
    sleep_secs(18).await;
    let mut newest: BTreeMap<Name, u64> = BTreeMap::new();
    for event in fixture.world.journal().events {
        if let Event::Moved {
            instance, token, ..
        } = event
        {
            let known = newest.entry(Name::clone(&instance)).or_default();
            ensure!(*known < token, "{instance}: {token} after {known}");
            *known = token;
        }
    }
    let up = instances_up(&fixture, POOL);
    ensure!(up == 6, "{up} are up");
    fixture.check_invariants()
}
