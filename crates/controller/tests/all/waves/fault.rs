//! Random faults of the platform, the processes and the workers, and concurrent operator actions.

use super::simulation::Simulation;
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

/// Faults per run.
const FAULTS: usize = 40;

/// Single workers lost per run, in addition to one whole rack; more could violate any budget.
const MAX_SINGLE_LOSSES: usize = 2;

pub async fn run(sim: &mut Simulation) {
    let mut single_losses = 0;
    let mut rack_lost = false;
    for _ in 0..FAULTS {
        let pause = sim.random.random_range(2..40);
        sleep(Duration::from_secs(pause)).await;
        match sim.random.random_range(0..12) {
            0 => outage(sim, Outage::Refuse).await,
            1 => outage(sim, Outage::Hang(Duration::from_secs(4))).await,
            2 => sim.platform.faults().lose_answers(Kind::Commit, 3),
            3 => sim.platform.faults().lose_requests(Kind::Commit, 2),
            4 => sim
                .platform
                .faults()
                .delay_effects(Kind::Commit, 2, Duration::from_secs(20)),
            5 => restart(sim),
            6 | 7 => pause_holder(sim).await,
            8 => partition_entry(sim).await,
            9 if single_losses < MAX_SINGLE_LOSSES => {
                single_losses += 1;
                lose_one(sim);
            }
            10 if !rack_lost => {
                rack_lost = true;
                lose_rack(sim);
            }
            _ => operator_action(sim).await,
        }
    }
}

async fn outage(sim: &mut Simulation, outage: Outage) {
    sim.platform.faults().set_outage(Some(outage));
    let length = sim.random.random_range(1..90);
    sleep(Duration::from_secs(length)).await;
    sim.platform.faults().set_outage(None);
}

fn any_controller(sim: &mut Simulation) -> usize {
    sim.random.random_range(0..sim.controllers.len())
}

fn holder(sim: &Simulation) -> Option<usize> {
    let name = sim.controllers[0].controller.holder()?;
    sim.entries.iter().position(|entry| entry.name == name)
}

fn restart(sim: &mut Simulation) {
    let index = any_controller(sim);
    let index = holder(sim).unwrap_or(index);
    sim.restart(index);
}

/// Pauses the holder for longer than its lease, so that another takes over and the paused one
/// resumes in the middle of an operation.
async fn pause_holder(sim: &mut Simulation) {
    let Some(index) = holder(sim) else { return };
    sim.controllers[index].paused.send_replace(true);
    let length = sim.random.random_range(5..60);
    sleep(Duration::from_secs(length)).await;
    sim.controllers[index].paused.send_replace(false);
}

async fn partition_entry(sim: &mut Simulation) {
    let index = sim.random.random_range(0..sim.entries.len());
    sim.entries[index].partitioned.store(true, Ordering::SeqCst);
    let length = sim.random.random_range(5..60);
    sleep(Duration::from_secs(length)).await;
    sim.entries[index]
        .partitioned
        .store(false, Ordering::SeqCst);
}

fn lose_one(sim: &mut Simulation) {
    let index = sim.random.random_range(0..sim.workers.len());
    let worker = sim.workers[index].clone();
    if sim.random.random_bool(0.5) {
        sim.losses.set(worker.address, true);
    } else {
        sim.platform.fleet().set_reboot(&worker.id, Reboot::Hangs);
        sim.held.insert(worker.id);
    }
}

fn lose_rack(sim: &mut Simulation) {
    let index = sim.random.random_range(0..sim.workers.len());
    let rack = sim.workers[index].rack.clone();
    let lost = sim.workers.iter().filter(|worker| worker.rack == rack);
    for worker in lost {
        sim.losses.set(worker.address, true);
    }
}

/// An operator drains an instance concurrently with the wave, or pauses and resumes the wave.
async fn operator_action(sim: &mut Simulation) {
    let index = sim.random.random_range(0..sim.workers.len());
    let id = sim.workers[index].id.clone();
    let now = sim.platform.now();
    let drain = |snapshot: &Snapshot, draft: &mut Draft| {
        let Some(found) = snapshot.instances().get(&id) else {
            return Ok(());
        };
        let row = lifecycle::apply_command(&fleet(snapshot), &id, &lifecycle::Command::Drain, now)?;
        draft.put(key::instance(&id), Some(found.version), &row);
        Ok(())
    };
    // The command may be refused because of the budget or the instance's state.
    if sim.operate(&drain).await.is_ok() {
        sim.held.insert(id);
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

/// Releases every instance that an operator has drained.
pub async fn release_all(sim: &Simulation) {
    let now = sim.platform.now();
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
    while sim.operate(&release).await.is_err() {
        sleep(Duration::from_secs(1)).await;
    }
}

/// Resumes a halted wave.
pub async fn resume(sim: &Simulation, name: &id::Wave) {
    let now = sim.platform.now();
    let resume = |snapshot: &Snapshot, draft: &mut Draft| {
        let waves = snapshot
            .rows_with_prefix::<id::Wave, Wave>(key::WAVES)
            .expect("wave rows can be decoded");
        let found = &waves[name];
        let next = found.value.command(Command::Resume, now)?;
        draft.put(key::wave(name), Some(found.version), &next);
        Ok(())
    };
    // The wave may have been resumed in the meantime.
    let _refused: Result<(), Refusal> = sim.operate(&resume).await;
}
