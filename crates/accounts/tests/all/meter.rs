//! What one pool may start for an account.

use crate::cases;
use primroseroute_accounts::{
    budget::Usage,
    meter::{Charge, Limit, Meter},
};
use primroseroute_domain::work::Demand;

cases! {
    tasks_are_admitted_up_to_the_room => up_to_the_room();
    accounts_without_a_limit_are_always_admitted => no_limit();
    /// A task that requests more than the maximum could never start otherwise.
    task_beyond_the_maximum_runs_alone => beyond_the_maximum();
    refused_tasks_are_counted_until_the_next_count => refused();
    gang_is_admitted_as_a_whole => gang();
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
    meter.recount([charge].into_iter());
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
    meter.recount([].into_iter());
    assert_eq!(meter.usage(&"a".into()), Usage::default());
}

fn gang() {
    let (meter, charge) = meter(30, 100, 10);
    assert!(meter.admits(charge, 3) && !meter.admits(charge, 4));
}
