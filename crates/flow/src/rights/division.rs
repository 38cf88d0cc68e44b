//! How a pool's slots are divided over entries and accounts.
//!
//! First over accounts: weighted max-min fairness, so that no account gets more than it asks for
//! and what is left goes to the others by share. Then each account's slots over the entries where
//! its callers are, by its demand there. An entry's target is the sum; so an account that floods one
//! entry takes nothing from accounts that come in elsewhere.

use primroseroute_domain::id;
use std::collections::BTreeMap;

/// Largest part of the slots that goes to entries for which nobody asks.
const FLOOR: f64 = 0.05;

/// Slots that each account's callers would keep busy.
pub type Demand = BTreeMap<id::Account, f64>;

/// What the slots are divided over.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// Slots that the entry owns.
    pub owned: f64,
    /// What its callers ask for.
    pub demand: &'a Demand,
}

/// Weights of accounts; one that is missing has weight 1.
pub type Weights = BTreeMap<id::Account, f64>;

/// The weight of an account.
pub fn weight(weights: &Weights, account: &id::Account) -> f64 {
    weights
        .get(account)
        .copied()
        .unwrap_or(1.0)
        .max(f64::MIN_POSITIVE)
}

/// Weighted max-min fair parts of `capacity`.
pub fn max_min<'a>(capacity: f64, weights: &Weights, demand: &'a Demand) -> Demand {
    let with_weight =
        |(name, asked): (&'a id::Account, &f64)| (name, *asked, weight(weights, name));
    let mut open: Vec<_> = demand.iter().map(with_weight).collect();
    open.sort_by(|a, b| (a.1 / a.2).total_cmp(&(b.1 / b.2)));
    let mut left = capacity;
    let mut sum: f64 = open.iter().map(|(_, _, weight)| weight).sum();
    let mut parts = Demand::new();
    for (name, asked, weight) in open {
        let part = asked.min(left.max(0.0) * weight / sum);
        left -= part;
        sum -= weight;
        parts.insert(name.clone(), part);
    }
    parts
}

/// The part of `capacity` that each account gets while it has requests waiting.
///
/// That is its max-min fair part as if it asked for more than there is: what it asks for or its
/// weight's part, whichever is more, and what nobody asks for.
pub fn rates(capacity: f64, weights: &Weights, demand: &Demand) -> Demand {
    let parts = max_min(capacity, weights, demand);
    let spare = (capacity - parts.values().sum::<f64>()).max(0.0);
    let levels = parts
        .iter()
        .map(|(name, part)| part / weight(weights, name));
    let level = levels.fold(0.0, f64::max);
    let rate = |(name, part): (&id::Account, &f64)| {
        let rate = part.max(level * weight(weights, name)) + spare;
        (name.clone(), rate.min(capacity))
    };
    parts.iter().map(rate).collect()
}

/// The demand of all entries together.
pub fn total<'a>(demands: impl IntoIterator<Item = &'a Demand>) -> Demand {
    let mut total = Demand::new();
    for (account, asked) in demands.into_iter().flatten() {
        *total.entry(account.clone()).or_default() += asked;
    }
    total
}

/// The slots that each entry should have; they add up to what the entries own.
pub fn divide(shares: &Weights, claims: &[Claim<'_>]) -> Vec<f64> {
    let capacity: f64 = claims.iter().map(|claim| claim.owned).sum();
    let total = total(claims.iter().map(|claim| claim.demand));
    let parts = max_min(capacity, shares, &total);
    let part = |(account, asked): (&id::Account, &f64)| {
        let total = total.get(account).copied().unwrap_or(0.0);
        let whole = parts.get(account).copied().unwrap_or(0.0);
        if total > 0.0 {
            whole * asked / total
        } else {
            0.0
        }
    };
    let wanted = claims
        .iter()
        .map(|claim| claim.demand.iter().map(part).sum::<f64>());
    with_spare(capacity, &wanted.collect::<Vec<_>>())
}

/// Adds what nobody asks for, by the square root of what each entry has.
///
/// Load varies by about the square root of itself, so that is what keeps queues equally short. Each
/// entry counts at least a little, so that the first callers of a quiet one find a slot.
fn with_spare(capacity: f64, wanted: &[f64]) -> Vec<f64> {
    let floor = (capacity * FLOOR / wanted.len().max(1) as f64).min(1.0);
    let wanted: Vec<_> = wanted.iter().map(|wanted| wanted.max(floor)).collect();
    let sum: f64 = wanted.iter().sum();
    if sum >= capacity {
        return wanted
            .iter()
            .map(|wanted| wanted * capacity / sum)
            .collect();
    }
    let roots: f64 = wanted.iter().map(|wanted| wanted.sqrt()).sum();
    let spare = capacity - sum;
    wanted
        .iter()
        .map(|wanted| wanted + spare * wanted.sqrt() / roots)
        .collect()
}
