//! What a case could have come to.

use super::{Account, Case, name};
use primroseroute_domain::instance::SLOTS;
use primroseroute_flow::quota::allocation::{Demand, max_min};
use std::collections::BTreeMap;

/// Times as long as the others that the slow worker takes.
pub const SLOWNESS: u32 = 10;

/// Requests a second that the workers can answer.
pub fn capacity(case: &Case) -> f64 {
    let lost = if case.failing { 1.0 } else { 0.0 };
    let slowed = if case.slow {
        1.0 - 1.0 / f64::from(SLOWNESS)
    } else {
        0.0
    };
    let workers = case.workers as f64 - lost - slowed;
    workers * f64::from(SLOTS) / case.service.as_secs_f64()
}

/// Good answers that each account should get of `part` of the capacity.
pub fn fair(case: &Case, offered: &BTreeMap<&'static str, u64>, part: f64) -> Demand {
    let capacity = capacity(case) * case.measured.as_secs_f64() * part;
    let offered = offered.iter();
    let demand = offered.map(|(text, count)| (name(text), *count as f64));
    let share = |account: &Account| (name(account.name), f64::from(account.share));
    let weights = case.accounts.iter().map(share).collect();
    max_min(capacity, &weights, &demand.collect())
}

/// The least part of what it should get that any account has got.
pub fn least(good: &BTreeMap<&'static str, u64>, fair: &Demand) -> f64 {
    let good = |account: &str| good.get(account).copied().unwrap_or(0) as f64;
    let ratios = fair
        .iter()
        .map(|(account, fair)| good(account.as_str()) / fair);
    ratios.fold(f64::INFINITY, f64::min)
}
