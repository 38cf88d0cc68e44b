//! An account as operators configure it.

use crate::key::Digest;
use primroseroute_domain::work::{Demand, Name};
use std::collections::{BTreeMap, BTreeSet};

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: Name,
    /// Digests of its keys; without any, none of its calls is accepted.
    pub keys: Vec<Digest>,
    /// Its share when all is in use, relative to the other accounts, and the number of its jobs per
    /// second that are owed.
    pub weight: f64,
    /// What it may have running across all pools; 0 for a resource without a limit.
    pub maximum: Demand,
}

/// A contradiction between accounts.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// Two accounts have the same name.
    #[error("account {0} is listed twice")]
    Repeated(Name),
    /// Two accounts have the same key.
    #[error("accounts {0} and {1} have the same key")]
    SharedKey(Name, Name),
}

/// Checks that no two accounts contradict each other.
///
/// # Errors
/// The first [`Fault`].
pub fn check(accounts: &[Account]) -> Result<(), Fault> {
    let mut names = BTreeSet::new();
    let mut holders: BTreeMap<Digest, &Name> = BTreeMap::new();
    for account in accounts {
        if !names.insert(&account.name) {
            return Err(Fault::Repeated(Name::clone(&account.name)));
        }
        for key in &account.keys {
            let holder = *holders.entry(*key).or_insert(&account.name);
            if *holder != account.name {
                let [first, second] = [holder, &account.name].map(Name::clone);
                return Err(Fault::SharedKey(first, second));
            }
        }
    }
    Ok(())
}
