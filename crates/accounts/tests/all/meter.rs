//! What one pool may start for an account.

use crate::cases;
use primroseroute_accounts::{
    budget::Usage,
    meter::{Charge, Index, Limit, Meter},
};
use primroseroute_domain::work::{Demand, Name};

cases! {
    tasks_are_admitted_up_to_the_room => up_to_the_room();
    accounts_without_a_limit_are_always_admitted => no_limit();
    /// A task that requests more than the maximum could never start otherwise.
    task_beyond_the_maximum_runs_alone => beyond_the_maximum();
    refused_tasks_are_counted_until_the_next_count => refused();
    gang_is_admitted_as_a_whole => gang();
    /// A flood of small jobs of one account would keep all others waiting.
    account_far_beyond_its_share_lets_others_go_first => beyond_share();
    account_beyond_its_share_by_memory_lets_others_go_first => by_memory();
    /// The only user of a pool would count as beyond its share of it.
    only_user_is_within_its_share => only_user();
}

fn cores(cpu: u64) -> Demand {
    Demand {
        cpu,
        ..Demand::default()
    }
}

fn unlimited_but(cpu: u64) -> Demand {
    Demand {
        cpu,
        memory: u64::MAX,
        accelerators: u64::MAX,
    }
}

/// A meter with an account that may use `room` of `maximum`, and a charge of `demand`.
fn meter(room: u64, maximum: u64, demand: u64) -> (Meter, Charge) {
    let mut meter = Meter::default();
    let account = meter.index(&"a".into());
    let limit = Limit {
        room: unlimited_but(room),
        maximum: cores(maximum),
    };
    meter.set_limits(&[("a".into(), limit)].into());
    let charge = Charge {
        account,
        demand: cores(demand),
    };
    (meter, charge)
}

fn up_to_the_room() {
    let (mut meter, charge) = meter(30, 100, 10);
    for _task in 0..3 {
        assert!(meter.admits(charge, 1));
        meter.add(charge);
    }
    assert!(!meter.admits(charge, 1));
    meter.recount(cores(100), [charge].into_iter());
    assert!(meter.admits(charge, 2) && !meter.admits(charge, 3));
}

fn no_limit() {
    let (mut meter, charge) = meter(0, 100, 10);
    let other = meter.index(&"b".into());
    let other = Charge {
        account: other,
        ..charge
    };
    assert!(!meter.admits(charge, 1) && meter.admits(other, 1_000));
}

fn beyond_the_maximum() {
    let (mut meter, charge) = meter(100, 100, 250);
    assert!(meter.admits(charge, 1));
    meter.add(charge);
    assert!(!meter.admits(charge, 1));
}

fn refused() {
    let (mut meter, charge) = meter(0, 100, 10);
    meter.refuse(charge, 4);
    let expected = Usage {
        used: cores(0),
        refused: cores(40),
    };
    assert_eq!(meter.usage(&"a".into()), expected);
    meter.recount(cores(100), [].into_iter());
    assert_eq!(meter.usage(&"a".into()), Usage::default());
}

fn gang() {
    let (meter, charge) = meter(30, 100, 10);
    assert!(meter.admits(charge, 3) && !meter.admits(charge, 4));
}

/// Whether accounts are beyond their shares of a pool of 100 cores and 100 MB: accounts by weight
/// and by what each uses.
fn beyond(accounts: &[(f64, Demand)]) -> Vec<bool> {
    let mut meter = Meter::default();
    let names: Vec<Name> = (0..accounts.len())
        .map(|number| format!("a-{number}").into())
        .collect();
    let weights = accounts.iter().map(|(weight, _used)| *weight);
    meter.set_weights(names.iter().zip(weights));
    let indexes: Vec<Index> = names.iter().map(|name| meter.index(name)).collect();
    let charges = indexes.iter().zip(accounts);
    let charges = charges.map(|(account, (_weight, demand))| Charge {
        account: *account,
        demand: *demand,
    });
    let capacity = Demand {
        cpu: 100,
        memory: 100,
        accelerators: 0,
    };
    meter.recount(capacity, charges);
    let beyond = indexes.iter().map(|index| meter.is_beyond_share(*index));
    beyond.collect()
}

fn beyond_share() {
    let shares = beyond(&[(1.0, cores(70)), (1.0, cores(10)), (2.0, cores(20))]);
    assert_eq!(shares, [true, false, false]);
    let weighted = beyond(&[(7.0, cores(70)), (1.0, cores(10)), (2.0, cores(20))]);
    assert_eq!(weighted, [false, false, false]);
    let small = beyond(&[(0.01, cores(6)), (10.0, cores(94))]);
    assert_eq!(small, [false, false]);
    let without_weight = beyond(&[(0.0, cores(7)), (1.0, cores(10))]);
    assert_eq!(without_weight, [true, false]);
}

fn by_memory() {
    let hungry = Demand {
        cpu: 5,
        memory: 80,
        accelerators: 0,
    };
    assert_eq!(beyond(&[(1.0, hungry), (2.0, cores(60))]), [true, false]);
}

fn only_user() {
    assert_eq!(
        beyond(&[(1.0, cores(100)), (5.0, cores(0))]),
        [false, false]
    );
}
