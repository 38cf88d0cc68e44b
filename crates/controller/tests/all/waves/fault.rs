//! Faults of the platform, the processes, the workers and the operators, drawn from a seed.

use super::world::World;
use primroseroute_domain::{
    id,
    instance::{Purpose, State},
    outcome::Refusal,
};
use primroseroute_fleet::{
    Fleet, lifecycle,
    wave::{Command, Row as Wave},
};
use primroseroute_ledger::{Draft, key};
use primroseroute_standin::platform::{fault::Outage, fleet::Reboot, tally::Kind};
use primroseroute_view::Snapshot;
use rand::RngExt;
use std::{collections::BTreeSet, sync::atomic::Ordering, time::Duration};
use tokio::time::sleep;

/// Faults of one run.
const FAULTS: usize = 40;

/// Workers lost on their own in one run, beside one whole rack; more could break any budget.
const LOST_ALONE: usize = 2;

pub async fn run(world: &mut World) {
    let mut alone = 0;
    let mut rack_lost = false;
    for _ in 0..FAULTS {
        let pause = world.random.random_range(2..40);
        sleep(Duration::from_secs(pause)).await;
        match world.random.random_range(0..12) {
            0 => outage(world, Outage::Refuse).await,
            1 => outage(world, Outage::Hang(Duration::from_secs(4))).await,
            2 => world.platform.faults().lose_answers(Kind::Commit, 3),
            3 => world.platform.faults().lose_requests(Kind::Commit, 2),
            4 => world
                .platform
                .faults()
                .delay_effects(Kind::Commit, 2, Duration::from_secs(20)),
            5 => restart(world),
            6 | 7 => pause_holder(world).await,
            8 => cut_entry(world).await,
            9 if alone < LOST_ALONE => {
                alone += 1;
                lose_one(world);
            }
            10 if !rack_lost => {
                rack_lost = true;
                lose_rack(world);
            }
            _ => race(world).await,
        }
    }
}

async fn outage(world: &mut World, outage: Outage) {
    world.platform.faults().set_outage(Some(outage));
    let length = world.random.random_range(1..90);
    sleep(Duration::from_secs(length)).await;
    world.platform.faults().set_outage(None);
}

fn any_seat(world: &mut World) -> usize {
    world.random.random_range(0..world.seats.len())
}

fn holder(world: &World) -> Option<usize> {
    let name = world.seats[0].controller.holder()?;
    world.entries.iter().position(|entry| entry.name == name)
}

fn restart(world: &mut World) {
    let index = any_seat(world);
    let index = holder(world).unwrap_or(index);
    world.restart(index);
}

/// Pauses the holder for longer than its lease: another takes over, and then the first wakes up in
/// the middle of whatever it was doing.
async fn pause_holder(world: &mut World) {
    let Some(index) = holder(world) else { return };
    world.seats[index].paused.send_replace(true);
    let length = world.random.random_range(5..60);
    sleep(Duration::from_secs(length)).await;
    world.seats[index].paused.send_replace(false);
}

async fn cut_entry(world: &mut World) {
    let index = world.random.random_range(0..world.entries.len());
    world.entries[index].cut.store(true, Ordering::SeqCst);
    let length = world.random.random_range(5..60);
    sleep(Duration::from_secs(length)).await;
    world.entries[index].cut.store(false, Ordering::SeqCst);
}

fn lose_one(world: &mut World) {
    let index = world.random.random_range(0..world.workers.len());
    let worker = world.workers[index].clone();
    if world.random.random_bool(0.5) {
        world.losses.set(worker.address, true);
    } else {
        world.platform.fleet().set_reboot(&worker.id, Reboot::Hangs);
        world.held.insert(worker.id);
    }
}

fn lose_rack(world: &mut World) {
    let index = world.random.random_range(0..world.workers.len());
    let rack = world.workers[index].rack.clone();
    let lost = world.workers.iter().filter(|worker| worker.rack == rack);
    for worker in lost {
        world.losses.set(worker.address, true);
    }
}

/// An operator drains an instance beside the wave, or pauses and resumes the wave.
async fn race(world: &mut World) {
    let index = world.random.random_range(0..world.workers.len());
    let id = world.workers[index].id.clone();
    let now = world.platform.now();
    let drain = |snapshot: &Snapshot, draft: &mut Draft| {
        let Some(found) = snapshot.instances().get(&id) else {
            return Ok(());
        };
        let row = lifecycle::apply_command(&fleet(snapshot), &id, &lifecycle::Command::Drain, now)?;
        draft.put(key::instance(&id), Some(found.version), &row);
        Ok(())
    };
    // The budget or the state may refuse it; the operator takes that for an answer.
    if world.operate(&drain).await.is_ok() {
        world.held.insert(id);
    }
}

fn fleet(snapshot: &Snapshot) -> Fleet {
    let templates = snapshot.accounts().values().map(|row| &row.value);
    let rows = snapshot
        .instances()
        .iter()
        .map(|(id, row)| (id.clone(), row.value.clone()));
    Fleet {
        budgets: Fleet::budgets(templates),
        rows: rows.collect(),
        absent: BTreeSet::new(),
    }
}

/// Releases every instance that an operator's race took out.
pub async fn release_all(world: &World) {
    let now = world.platform.now();
    let release = |snapshot: &Snapshot, draft: &mut Draft| {
        for (id, found) in snapshot.instances() {
            let row = &found.value;
            if row.state == State::Draining && row.purpose == Some(Purpose::Operator) {
                let row = lifecycle::apply_command(
                    &fleet(snapshot),
                    id,
                    &lifecycle::Command::Release,
                    now,
                )?;
                draft.put(key::instance(id), Some(found.version), &row);
            }
        }
        Ok(())
    };
    while world.operate(&release).await.is_err() {
        sleep(Duration::from_secs(1)).await;
    }
}

/// Resumes a halted wave.
pub async fn resume(world: &World, name: &id::Wave) {
    let now = world.platform.now();
    let resume = |snapshot: &Snapshot, draft: &mut Draft| {
        let waves = snapshot
            .under::<id::Wave, Wave>(key::WAVES)
            .expect("waves are readable");
        let found = &waves[name];
        let next = found.value.command(Command::Resume, now)?;
        draft.put(key::wave(name), Some(found.version), &next);
        Ok(())
    };
    // It may have gone on meanwhile.
    let _refused: Result<(), Refusal> = world.operate(&resume).await;
}
