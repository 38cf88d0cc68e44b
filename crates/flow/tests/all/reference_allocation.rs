//! Compares slot allocation with progressive filling, and checks slot ownership.

use crate::fixture::{cases, check, entry, name, worker};
use primroseroute_domain::instance::SLOTS;
use primroseroute_flow::quota::{
    allocation::{Demand, EntryDemand, Weights, allocate, max_min, rates},
    ownership::slots,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Raises all unsatisfied accounts in small steps by weight until capacity or demand is exhausted.
fn fill(capacity: f64, weights: &Weights, demand: &Demand) -> Demand {
    let mut parts: Demand = demand
        .keys()
        .map(|account| (account.clone(), 0.0))
        .collect();
    let mut remaining = capacity;
    let max_step = capacity / 20_000.0;
    while remaining > 1e-9 {
        let unsatisfied = parts
            .iter()
            .filter(|(account, part)| **part < demand[*account] - 1e-12);
        let unsatisfied: Vec<_> = unsatisfied.map(|(account, _)| account.clone()).collect();
        let sum: f64 = unsatisfied.iter().map(|account| weights[account]).sum();
        if unsatisfied.is_empty() {
            break;
        }
        let step = max_step.min(remaining);
        for account in unsatisfied {
            let part = parts.get_mut(&account).expect("known");
            let increment = (step * weights[&account] / sum).min(demand[&account] - *part);
            *part += increment;
            remaining -= increment;
        }
    }
    parts
}

fn accounts() -> impl Strategy<Value = Vec<(u8, u8)>> {
    prop::collection::vec((1..9u8, 0..40u8), 1..6)
}

fn weights_and_demand(accounts: &[(u8, u8)]) -> (Weights, Demand) {
    let named = |at: usize| name(&format!("a{at}"));
    let weights = accounts.iter().enumerate();
    let weights = weights.map(|(at, (weight, _))| (named(at), f64::from(*weight)));
    let demand = accounts.iter().enumerate();
    let demand = demand.map(|(at, (_, demanded))| (named(at), f64::from(*demanded)));
    (weights.collect(), demand.collect())
}

#[test]
fn max_min_matches_progressive_filling() {
    check(100, &(accounts(), 1..60u8), |(accounts, capacity)| {
        let (weights, demand) = weights_and_demand(&accounts);
        let capacity = f64::from(capacity);
        let parts = max_min(capacity, &weights, &demand);
        for (account, part) in fill(capacity, &weights, &demand) {
            assert!((parts[&account] - part).abs() < capacity / 1_000.0);
        }
    });
}

#[test]
fn a_rate_is_the_part_of_an_account_that_asks_for_everything() {
    check(200, &(accounts(), 1..60u8), |(accounts, capacity)| {
        let (weights, demand) = weights_and_demand(&accounts);
        let capacity = f64::from(capacity);
        for (account, rate) in rates(capacity, &weights, &demand) {
            let mut unbounded = demand.clone();
            unbounded.insert(account.clone(), capacity);
            let part = max_min(capacity, &weights, &unbounded)[&account];
            // The rate is computed for all accounts at once, so it may be too high but never too low.
            assert!(rate > part - 1e-9, "{rate} {part}");
        }
    });
}

#[test]
fn targets_sum_to_the_owned_slots() {
    let entries = prop::collection::vec((accounts(), 0..30u8), 1..9);
    check(200, &entries, |entries| {
        let demands: Vec<_> = entries
            .iter()
            .map(|(accounts, _)| weights_and_demand(accounts).1)
            .collect();
        let owned: Vec<_> = entries
            .iter()
            .map(|(_, owned)| f64::from(*owned) + 1.0)
            .collect();
        let claim = |(owned, demand)| EntryDemand { owned, demand };
        let claims: Vec<_> = owned.iter().copied().zip(&demands).map(claim).collect();
        let targets = allocate(&BTreeMap::new(), &claims);
        let sum: f64 = targets.iter().sum();
        assert!((sum - owned.iter().sum::<f64>()).abs() < 1e-6);
        assert!(targets.iter().all(|target| *target > 0.0));
    });
}

fn every_slot_has_one_owner(entries: usize, most: usize) {
    let names: Vec<_> = (0..entries).map(entry).collect();
    let mut owned = vec![0; entries];
    for at in 0..500 {
        let slots = slots(&worker(at), &names);
        assert_eq!(slots.len(), SLOTS as usize);
        let count = |owner| slots.iter().filter(|slot| slot.owner == owner).count();
        assert!((0..entries).all(|owner| count(owner) <= most));
        for slot in &slots {
            owned[slot.owner] += 1;
        }
    }
    let even = 500.0 * 8.0 / entries as f64;
    assert!(
        owned
            .iter()
            .all(|owned| (f64::from(*owned) / even - 1.0).abs() < 0.25),
        "{owned:?}"
    );
}

cases! {
    every_slot_has_one_owner:
    one_entry_owns_all_slots(1, 8);
    three_entries_own_two_or_three_slots_each(3, 3);
    seven_entries_own_one_or_two_slots_each(7, 2);
    eight_entries_own_one_slot_each(8, 1);
    twenty_eight_entries_own_slots_at_some_workers(28, 1);
}
