//! Weighted dominant-resource fairness over accounts.
//!
//! An account's dominant share is the largest fraction that its runs take of any one resource,
//! divided by its weight. The next start goes to the account whose share is the smallest and that has a job
//! which fits somewhere (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011). No account gains
//! by splitting its work or by padding it with a resource that it does not need. Shares count the
//! estimated use of runs, not the declared one.

use crate::amount;
use primroseroute_domain::id;
use primroseroute_platform::task::Resources;
use std::collections::BTreeMap;

/// Sort key of an account in the order of starts: the smallest share first, ties by name.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareRank {
    /// The weighted dominant share.
    pub share: f64,
    /// The account.
    pub account: id::Account,
}

impl Eq for ShareRank {}

impl Ord for ShareRank {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        let by_share = self.share.total_cmp(&other.share);
        by_share.then_with(|| self.account.cmp(&other.account))
    }
}

impl PartialOrd for ShareRank {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Resource use by account.
#[derive(Clone, Debug)]
pub struct Shares<'a> {
    total: Resources,
    weights: &'a BTreeMap<id::Account, u32>,
    used: BTreeMap<id::Account, Resources>,
}

impl<'a> Shares<'a> {
    /// Shares of `total` without any use; an account without a weight has weight 1.
    pub fn new(total: Resources, weights: &'a BTreeMap<id::Account, u32>) -> Self {
        Self {
            total,
            weights,
            used: BTreeMap::new(),
        }
    }

    /// Adds the use of a run.
    pub fn add(&mut self, account: &id::Account, size: Resources) {
        let used = self.used.entry(account.clone()).or_default();
        *used = amount::add(*used, size);
    }

    /// The account's rank in the order of starts.
    pub fn account_rank(&self, account: &id::Account) -> ShareRank {
        let used = self.used.get(account).copied().unwrap_or_default();
        let weight = self.weights.get(account).copied().unwrap_or(1).max(1);
        ShareRank {
            share: amount::dominant_fraction(used, self.total) / f64::from(weight),
            account: account.clone(),
        }
    }
}
