//! What each account is due: max-min fairness by share.
//!
//! An account that asks for less than its part gets all that it asks for; what it leaves is divided
//! among the others by their shares, and so on.

use primroseroute_domain::id;
use std::collections::BTreeMap;

/// One account's claim on the capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Its fair share, relative to the others; above zero.
    pub share: f64,
    /// What it asks for, in the unit of the capacity.
    pub asked: f64,
}

/// What each account is due of `capacity`.
pub fn due(capacity: f64, claims: &BTreeMap<id::Account, Claim>) -> BTreeMap<id::Account, f64> {
    // In the order of what each asks for by share, whoever asks least is satisfied first, and
    // whoever comes later gets at least as much by share.
    let mut order: Vec<_> = claims.iter().collect();
    order.sort_by(|(_, a), (_, b)| (a.asked / a.share).total_cmp(&(b.asked / b.share)));
    let mut left = capacity;
    let mut shares: f64 = claims.values().map(|claim| claim.share).sum();
    let mut due = BTreeMap::new();
    for (account, claim) in order {
        let part = claim.asked.min(left * claim.share / shares);
        due.insert(account.clone(), part);
        left -= part;
        shares -= claim.share;
    }
    due
}
