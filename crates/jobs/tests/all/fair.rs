//! Fair shares with declared sizes that are far off, and that every job finishes.

use crate::world::{TICK, World, cores, name, truth};
use primroseroute_jobs::{Limits, State};
use primroseroute_platform::task::Resources;
use std::collections::BTreeMap;

const ACCOUNTS: u32 = 8;

/// Jain's index: 1 where all are alike, 1/n where one has everything.
fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    sum * sum / (shares.len() as f64 * squares)
}

/// What account `number` needs a job, and what it declares: between a tenth and ten times that.
fn sizes(number: u32) -> (Resources, Resources) {
    let part = f64::from(number % 4);
    let real = Resources {
        cores: 0.25 + 0.25 * part,
        memory: 1.0 - 0.25 * part,
        accelerators: 0.0,
    };
    let off = [0.1, 10.0, 1.0, 10.0, 0.1, 0.1, 10.0, 1.0][number as usize];
    let declared = Resources {
        cores: real.cores * off,
        memory: real.memory * off,
        accelerators: 0.0,
    };
    (real, declared)
}

/// Mean weighted dominant shares of each account, by what its runs truly use.
fn shares(weights: [u32; ACCOUNTS as usize]) -> Vec<f64> {
    let mut world = World::start(12);
    for account in 0..ACCOUNTS {
        let weight = weights[account as usize];
        world.weights.insert(name(&format!("a{account}")), weight);
        let (real, declared) = sizes(account);
        for number in 0..1500_u64 {
            let seconds = 60 + number * 37 % 120;
            let (job, account) = (format!("j{account}-{number}"), format!("a{account}"));
            world.submit(&job, &account, "reminder", declared, truth(real, seconds));
        }
    }
    let mut used: BTreeMap<String, f64> = BTreeMap::new();
    for tick in 0..400 {
        world.tick();
        if tick < 50 {
            continue;
        }
        for task in &world.tasks {
            let row = world.board.row(&task.job).expect("known");
            let size = world.truths[&task.job].size;
            let share = size.cores.max(size.memory) / (12.0 * 8.0);
            *used.entry(row.account.to_string()).or_default() += share;
        }
    }
    let weighted =
        |account: u32| used[&format!("a{account}")] / f64::from(weights[account as usize]);
    (0..ACCOUNTS).map(weighted).collect()
}

// Eight accounts with more work than there is room declare a tenth of what they use, ten times as
// much, or the truth. Their dominant shares, by true use and weight, must come out alike.
fn alike(weights: [u32; ACCOUNTS as usize]) {
    let shares = shares(weights);
    let index = jain(&shares);
    assert!(index >= 0.95, "Jain's index of {shares:?} is {index:.3}");
}

cases! { alike:
    equal_weights([1; 8]);
    unequal_weights([1, 2, 3, 1, 2, 3, 1, 2]);
    rising_weights([1, 1, 2, 2, 3, 3, 4, 4]);
}

fn submit_small(world: &mut World, accounts: &[&str], numbers: std::ops::Range<usize>) {
    for number in numbers {
        let account = accounts[number % accounts.len()];
        let seconds = 300 + number as u64 * 97 % 600;
        let job = format!("small{number}");
        let real = truth(cores(2.0), seconds);
        world.submit(&job, account, "reminder", cores(2.0), real);
    }
}

// Three instances are full of small jobs that end one by one, with more of them for hours. A job
// that needs a whole instance waits, since small ones take each gap that opens. After ten minutes
// an instance is kept for it, and it runs when the last run there has ended.
fn large_job_runs(accounts: &[&str]) {
    let mut world = World::start(3);
    submit_small(&mut world, accounts, 0..15);
    world.run(30);
    world.submit("large", "big", "rebuild", cores(8.0), truth(cores(8.0), 60));
    submit_small(&mut world, accounts, 15..300);
    let aged = Limits::default().aged.as_secs();
    world.run((aged + 1500) / TICK);
    assert_eq!(world.state("large"), &State::Done);
}

cases! { large_job_runs:
    large_job_of_another_account(&["small"]);
    large_job_among_its_own_accounts_small_ones(&["big", "small", "third"]);
}

// A job declares more than any instance has, ten times what it needs. It gets a whole instance at
// first, and the second of its kind gets what the first was seen to use.
#[test]
fn declared_larger_than_any_instance() {
    let mut world = World::start(1);
    world.submit(
        "one",
        "gojo",
        "rebuild",
        cores(40.0),
        truth(cores(4.0), 200),
    );
    world.submit(
        "two",
        "gojo",
        "rebuild",
        cores(40.0),
        truth(cores(4.0), 200),
    );
    world.run(2);
    assert_eq!(world.starts.len(), 1);
    world.run(10);
    assert_eq!(world.starts.len(), 2, "both run side by side");
}
