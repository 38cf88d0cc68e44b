//! Capacity and fair allocation of a scenario, as the reference for its results.

use super::{Account, Scenario, name};
use primroseroute_domain::instance::SLOTS;
use primroseroute_flow::quota::allocation::{Demand, max_min};
use std::collections::BTreeMap;

/// Factor by which the slow worker's service time is longer.
pub const SLOWDOWN: u32 = 10;

/// Requests per second that the workers can execute.
pub fn capacity(scenario: &Scenario) -> f64 {
    let failed_workers = if scenario.failing { 1.0 } else { 0.0 };
    let slow_worker_loss = if scenario.slow {
        1.0 - 1.0 / f64::from(SLOWDOWN)
    } else {
        0.0
    };
    let workers = scenario.workers as f64 - failed_workers - slow_worker_loss;
    workers * f64::from(SLOTS) / scenario.service.as_secs_f64()
}

/// The fair number of successful responses per account if only the fraction `fraction` of the capacity is usable.
pub fn fair_allocation(
    scenario: &Scenario,
    offered: &BTreeMap<&'static str, u64>,
    fraction: f64,
) -> Demand {
    let capacity = capacity(scenario) * scenario.measured.as_secs_f64() * fraction;
    let offered = offered.iter();
    let demand = offered.map(|(text, count)| (name(text), *count as f64));
    let share = |account: &Account| (name(account.name), f64::from(account.share));
    let weights = scenario.accounts.iter().map(share).collect();
    max_min(capacity, &weights, &demand.collect())
}

/// The minimum over the accounts of successful responses relative to the fair allocation.
pub fn min_fulfilment(successes: &BTreeMap<&'static str, u64>, fair: &Demand) -> f64 {
    let successes = |account: &str| successes.get(account).copied().unwrap_or(0) as f64;
    let ratios = fair
        .iter()
        .map(|(account, fair)| successes(account.as_str()) / fair);
    ratios.fold(f64::INFINITY, f64::min)
}
