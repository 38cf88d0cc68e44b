//! Weighted max-min fair allocation of capacity to accounts.
//!
//! An account that demands less than its share gets its whole demand; the remainder is divided
//! among the other accounts in proportion to their shares, and so on.

use primroseroute_domain::id;
use std::collections::BTreeMap;

/// One account's demand for capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Its weight relative to the other accounts; above zero.
    pub share: f64,
    /// Its demand, in the unit of the capacity.
    pub asked: f64,
}

/// Allocates `capacity` to the accounts.
pub fn due(capacity: f64, claims: &BTreeMap<id::Account, Claim>) -> BTreeMap<id::Account, f64> {
    // Sorted by demand per share: the account with the lowest is satisfied first, and each later
    // one gets at least as much per share.
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
