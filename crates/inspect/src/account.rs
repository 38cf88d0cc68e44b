//! Client accounts: their shares, their limits, and which pools hold what of them.

use crate::{newest_configuration, parsed, pool_load};
use primroseroute_accounts::budget::{Budget, Holding};
use primroseroute_cell::row;
use primroseroute_domain::work::{Demand, Name};
use primroseroute_platform::{
    Error,
    rows::{Rows, read_row},
    site::Site,
};
use serde::Serialize;
use std::collections::BTreeMap;

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Account {
    /// Its name.
    pub name: Name,
    /// Its share when all is in use, relative to the other accounts.
    pub weight: f64,
    /// Number of its keys; without any, none of its calls is accepted.
    pub keys: usize,
    /// What it may have running; 0 for a resource without a limit.
    pub maximum: Demand,
    /// The maximum by which the pools go, if any has run its tasks; it differs from the configured
    /// one until an owner has written that.
    pub in_force: Option<Demand>,
    /// What each pool holds of it, and needs.
    pub pools: BTreeMap<Name, Holding>,
    /// Pools that limit its submissions, each with the published thousandths of these that are within
    /// its entitlement.
    pub within_permille: BTreeMap<Name, u16>,
}

/// Returns all accounts of the newest configuration.
///
/// # Errors
/// Errors of the calls, and [`Error::Unavailable`] for a row that cannot be parsed.
pub async fn accounts(rows: &dyn Rows, site: &dyn Site) -> Result<Vec<Account>, Error> {
    let newest = newest_configuration(site).await?;
    let mut loads = Vec::new();
    for pool in newest.iter().flat_map(|newest| &newest.pools) {
        let load = pool_load(rows, &pool.name).await?;
        loads.extend(load.map(|load| (Name::clone(&pool.name), load)));
    }
    let mut accounts = Vec::new();
    for account in newest.into_iter().flat_map(|newest| newest.accounts) {
        let budget = read_row(rows, row::budget(&account.name)).await?;
        let budget: Option<Budget> = budget.as_ref().map(parsed).transpose()?;
        let shares = loads.iter().filter_map(|(pool, load)| {
            let share = load.within_permille.get(&account.name)?;
            Some((Name::clone(pool), *share))
        });
        accounts.push(Account {
            within_permille: shares.collect(),
            name: account.name,
            weight: account.weight,
            keys: account.keys.len(),
            maximum: account.maximum,
            in_force: budget.as_ref().map(|budget| budget.maximum),
            pools: budget.map(|budget| budget.pools).unwrap_or_default(),
        });
    }
    Ok(accounts)
}
