//! Weighted max-min fair allocation of capacity to accounts.
//!
//! An account that demands less than its share gets its whole demand; the remainder is divided
//! among the other accounts in proportion to their shares, and so on.

use primroseroute_domain::id;
use std::collections::BTreeMap;

/// One account's demand for capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountDemand {
    /// Its weight relative to the other accounts; above zero.
    pub share: f64,
    /// Its demand, in the unit of the capacity.
    pub demand: f64,
}

/// Allocates `capacity` to the accounts.
pub fn allocate(
    capacity: f64,
    demands: &BTreeMap<id::Account, AccountDemand>,
) -> BTreeMap<id::Account, f64> {
    // Sorted by demand per share: the account with the lowest is satisfied first, and each later
    // one gets at least as much per share.
    let mut order: Vec<_> = demands.iter().collect();
    order.sort_by(|(_, a), (_, b)| (a.demand / a.share).total_cmp(&(b.demand / b.share)));
    let mut left = capacity;
    let mut shares: f64 = demands
        .values()
        .map(|account_demand| account_demand.share)
        .sum();
    let mut allocation = BTreeMap::new();
    for (account, account_demand) in order {
        let part = account_demand
            .demand
            .min(left * account_demand.share / shares);
        allocation.insert(account.clone(), part);
        left -= part;
        shares -= account_demand.share;
    }
    allocation
}
