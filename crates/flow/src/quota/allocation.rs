//! Allocation of a pool's slots to accounts and entries.
//!
//! Slots are first allocated to accounts by weighted max-min fairness: no account receives more than
//! its demand, and the remainder goes to the others by share. Each account's slots are then
//! distributed over the entries in proportion to its demand there. An entry's target is the sum over
//! accounts, so an account that floods one entry takes nothing from accounts that use other entries.

use primroseroute_domain::id;
use std::collections::BTreeMap;

/// Maximum fraction of the slots reserved for entries without demand.
const MAX_RESERVED_FRACTION: f64 = 0.05;

/// Slots that each account's callers would keep busy.
pub type Demand = BTreeMap<id::Account, f64>;

/// An entry's input to the allocation.
#[derive(Clone, Copy, Debug)]
pub struct EntryDemand<'a> {
    /// Slots that the entry owns.
    pub owned: f64,
    /// Demand of its callers.
    pub demand: &'a Demand,
}

/// Weights of accounts; an absent account has weight 1.
pub type Weights = BTreeMap<id::Account, f64>;

/// The weight of an account.
pub fn weight(weights: &Weights, account: &id::Account) -> f64 {
    weights
        .get(account)
        .copied()
        .unwrap_or(1.0)
        .max(f64::MIN_POSITIVE)
}

/// Weighted max-min fair allocation of `capacity`.
pub fn max_min<'a>(capacity: f64, weights: &Weights, demand: &'a Demand) -> Demand {
    let with_weight =
        |(name, demanded): (&'a id::Account, &f64)| (name, *demanded, weight(weights, name));
    let mut by_ratio: Vec<_> = demand.iter().map(with_weight).collect();
    by_ratio.sort_by(|a, b| (a.1 / a.2).total_cmp(&(b.1 / b.2)));
    let mut remaining = capacity;
    let mut sum: f64 = by_ratio.iter().map(|(_, _, weight)| weight).sum();
    let mut parts = Demand::new();
    for (name, demanded, weight) in by_ratio {
        let part = demanded.min(remaining.max(0.0) * weight / sum);
        remaining -= part;
        sum -= weight;
        parts.insert(name.clone(), part);
    }
    parts
}

/// The part of `capacity` that serves each account while it has requests queued.
///
/// This is its max-min fair allocation as if its demand exceeded the capacity: the larger of its
/// demand and the part due to its weight, plus the unallocated capacity.
pub fn rates(capacity: f64, weights: &Weights, demand: &Demand) -> Demand {
    let parts = max_min(capacity, weights, demand);
    let spare = (capacity - parts.values().sum::<f64>()).max(0.0);
    let fair_levels = parts
        .iter()
        .map(|(name, part)| part / weight(weights, name));
    let fair_level = fair_levels.fold(0.0, f64::max);
    let rate = |(name, part): (&id::Account, &f64)| {
        let rate = part.max(fair_level * weight(weights, name)) + spare;
        (name.clone(), rate.min(capacity))
    };
    parts.iter().map(rate).collect()
}

/// The total demand of all entries.
pub fn total<'a>(demands: impl IntoIterator<Item = &'a Demand>) -> Demand {
    let mut total = Demand::new();
    for (account, demanded) in demands.into_iter().flatten() {
        *total.entry(account.clone()).or_default() += demanded;
    }
    total
}

/// The target number of slots of each entry; the sum equals the number of owned slots.
pub fn allocate(shares: &Weights, entries: &[EntryDemand<'_>]) -> Vec<f64> {
    let capacity: f64 = entries.iter().map(|entry| entry.owned).sum();
    let total = total(entries.iter().map(|entry| entry.demand));
    let parts = max_min(capacity, shares, &total);
    let part = |(account, demanded): (&id::Account, &f64)| {
        let total = total.get(account).copied().unwrap_or(0.0);
        let allocated = parts.get(account).copied().unwrap_or(0.0);
        if total > 0.0 {
            allocated * demanded / total
        } else {
            0.0
        }
    };
    let targets = entries
        .iter()
        .map(|entry| entry.demand.iter().map(part).sum::<f64>());
    distribute_spare(capacity, &targets.collect::<Vec<_>>())
}

/// Distributes unallocated capacity in proportion to the square root of each entry's target.
///
/// Load fluctuates by about its square root, so this keeps queues equally short. Each entry has a
/// minimum target, so that the first callers of an idle entry find a slot.
fn distribute_spare(capacity: f64, targets: &[f64]) -> Vec<f64> {
    let min_target = (capacity * MAX_RESERVED_FRACTION / targets.len().max(1) as f64).min(1.0);
    let targets: Vec<_> = targets
        .iter()
        .map(|target| target.max(min_target))
        .collect();
    let sum: f64 = targets.iter().sum();
    if sum >= capacity {
        return targets
            .iter()
            .map(|target| target * capacity / sum)
            .collect();
    }
    let root_sum: f64 = targets.iter().map(|target| target.sqrt()).sum();
    let spare = capacity - sum;
    targets
        .iter()
        .map(|target| target + spare * target.sqrt() / root_sum)
        .collect()
}
