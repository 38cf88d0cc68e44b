//! Fair shares where declared sizes are far off, and completion of large jobs.

use crate::simulation::{Simulation, TICK_SECONDS, cores, name, profile};
use primroseroute_jobs::{Limits, State};
use primroseroute_platform::task::Resources;
use std::collections::BTreeMap;

const ACCOUNTS: u32 = 8;

/// Jain's fairness index: 1 where all shares are equal, 1/n where one account has everything.
fn jain_index(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    sum * sum / (shares.len() as f64 * squares)
}

/// True and declared size of the jobs of account `number`; it declares between a tenth and ten times
/// the true size.
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

/// Weighted dominant shares of the accounts by the true use of their runs, summed over the ticks.
fn shares(weights: [u32; ACCOUNTS as usize]) -> Vec<f64> {
    let mut sim = Simulation::start(12);
    for account in 0..ACCOUNTS {
        let weight = weights[account as usize];
        sim.weights.insert(name(&format!("a{account}")), weight);
        let (real, declared) = sizes(account);
        for number in 0..1500_u64 {
            let seconds = 60 + number * 37 % 120;
            let (job, account) = (format!("j{account}-{number}"), format!("a{account}"));
            sim.submit(&job, &account, "reminder", declared, profile(real, seconds));
        }
    }
    let mut used: BTreeMap<String, f64> = BTreeMap::new();
    for tick in 0..400 {
        sim.tick();
        if tick < 50 {
            continue;
        }
        for task in &sim.tasks {
            let row = sim.scheduler.row(&task.job).expect("known");
            let size = sim.profiles[&task.job].size;
            let share = size.cores.max(size.memory) / (12.0 * 8.0);
            *used.entry(row.account.to_string()).or_default() += share;
        }
    }
    let weighted =
        |account: u32| used[&format!("a{account}")] / f64::from(weights[account as usize]);
    (0..ACCOUNTS).map(weighted).collect()
}

// Eight accounts with more work than capacity declare a tenth of what they use, ten times as much,
// or the true size. Their dominant shares, by true use and weight, must be nearly equal.
fn shares_are_fair(weights: [u32; ACCOUNTS as usize]) {
    let shares = shares(weights);
    let index = jain_index(&shares);
    assert!(index >= 0.95, "Jain's index of {shares:?} is {index:.3}");
}

cases! { shares_are_fair:
    equal_weights([1; 8]);
    unequal_weights([1, 2, 3, 1, 2, 3, 1, 2]);
    rising_weights([1, 1, 2, 2, 3, 3, 4, 4]);
}

fn submit_small(sim: &mut Simulation, accounts: &[&str], numbers: std::ops::Range<usize>) {
    for number in numbers {
        let account = accounts[number % accounts.len()];
        let seconds = 300 + number as u64 * 97 % 600;
        let job = format!("small{number}");
        let real = profile(cores(2.0), seconds);
        sim.submit(&job, account, "reminder", cores(2.0), real);
    }
}

// Three instances are full of small jobs that end one by one, with more of them queued for hours. A
// job that needs a whole instance waits, since small ones take each gap that opens. After ten minutes
// an instance is reserved for it, and it runs when the last run there has ended.
fn large_job_finishes(accounts: &[&str]) {
    let mut sim = Simulation::start(3);
    submit_small(&mut sim, accounts, 0..15);
    sim.run_ticks(30);
    sim.submit(
        "large",
        "big",
        "rebuild",
        cores(8.0),
        profile(cores(8.0), 60),
    );
    submit_small(&mut sim, accounts, 15..300);
    let aged = Limits::default().aged.as_secs();
    sim.run_ticks((aged + 1500) / TICK_SECONDS);
    assert_eq!(sim.state("large"), &State::Done);
}

cases! { large_job_finishes:
    large_job_of_another_account(&["small"]);
    large_job_among_small_ones_of_its_own_account(&["big", "small", "third"]);
}

// A job declares more than any instance has, ten times its true size. It gets a whole instance at
// first, and the second of its kind gets the size that was observed for the first.
#[test]
fn declared_size_exceeds_every_instance() {
    let mut sim = Simulation::start(1);
    sim.submit(
        "one",
        "gojo",
        "rebuild",
        cores(40.0),
        profile(cores(4.0), 200),
    );
    sim.submit(
        "two",
        "gojo",
        "rebuild",
        cores(40.0),
        profile(cores(4.0), 200),
    );
    sim.run_ticks(2);
    assert_eq!(sim.starts.len(), 1);
    sim.run_ticks(10);
    assert_eq!(sim.starts.len(), 2, "both run concurrently");
}
