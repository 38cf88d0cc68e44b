//! What the accounts use in one pool, and whether another task may start.

use crate::budget::Usage;
use primroseroute_domain::work::{Demand, Name};
use std::collections::BTreeMap;

/// Number of an account in one meter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Index(u16);

/// What one task counts against its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The account.
    pub account: Index,
    /// What the task requests.
    pub demand: Demand,
}

/// The limits of an account in one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// What it may have running in the pool.
    pub room: Demand,
    /// What it may have running anywhere; 0 for a resource without a limit.
    pub maximum: Demand,
}

#[derive(Clone, Debug, Default)]
struct Counted {
    name: Name,
    limit: Option<Limit>,
    usage: Usage,
}

impl Counted {
    /// What a task counts: one that requests more than the maximum counts as all of it, and runs
    /// alone.
    fn counted(&self, demand: Demand) -> Demand {
        let Some(limit) = self.limit else {
            return demand;
        };
        let at_most = |demand: u64, maximum: u64| match maximum {
            0 => demand,
            _ => demand.min(maximum),
        };
        Demand {
            cpu: at_most(demand.cpu, limit.maximum.cpu),
            memory: at_most(demand.memory, limit.maximum.memory),
            accelerators: at_most(demand.accelerators, limit.maximum.accelerators),
        }
    }
}

/// The accounts whose tasks run in one pool.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    indexes: BTreeMap<Name, Index>,
    accounts: Vec<Counted>,
}

impl Meter {
    /// The number of an account, which stays the same.
    ///
    /// # Panics
    /// If there are more than 65,536 accounts; a configuration of 256 KB has fewer.
    pub fn index(&mut self, name: &Name) -> Index {
        if let Some(known) = self.indexes.get(name) {
            return *known;
        }
        let index = u16::try_from(self.accounts.len()).expect("fewer accounts");
        self.accounts.push(Counted {
            name: Name::clone(name),
            ..Counted::default()
        });
        self.indexes.insert(Name::clone(name), Index(index));
        Index(index)
    }

    fn of(&mut self, index: Index) -> &mut Counted {
        &mut self.accounts[usize::from(index.0)]
    }

    /// Sets the limits of accounts; those that aren't named have none.
    pub fn set_limits(&mut self, limits: &BTreeMap<Name, Limit>) {
        for account in &mut self.accounts {
            account.limit = None;
        }
        for (name, limit) in limits {
            let index = self.index(name);
            self.of(index).limit = Some(*limit);
        }
    }

    /// Whether any account has a limit.
    pub fn is_limited(&self) -> bool {
        self.accounts.iter().any(|account| account.limit.is_some())
    }

    /// Counts what may be running anew, and forgets what was refused.
    pub fn recount(&mut self, charges: impl Iterator<Item = Charge>) {
        for account in &mut self.accounts {
            account.usage = Usage::default();
        }
        for charge in charges {
            self.add(charge);
        }
    }

    /// Adds a task that is about to start.
    pub fn add(&mut self, charge: Charge) {
        let account = self.of(charge.account);
        let counted = account.counted(charge.demand);
        account.usage.used = account.usage.used.plus(counted);
    }

    /// Whether `count` tasks like this one may start.
    pub fn admits(&self, charge: Charge, count: usize) -> bool {
        let account = &self.accounts[usize::from(charge.account.0)];
        let Some(limit) = account.limit else {
            return true;
        };
        let demand = account.counted(charge.demand);
        let all = account.usage.used.plus(demand.times(count as u64));
        all.fits(limit.room)
    }

    /// Records that `count` tasks like this one may not start.
    pub fn refuse(&mut self, charge: Charge, count: usize) {
        let account = self.of(charge.account);
        let demand = account.counted(charge.demand);
        let refused = account.usage.refused;
        account.usage.refused = refused.plus(demand.times(count as u64));
    }

    /// What an account uses.
    pub fn usage(&self, name: &Name) -> Usage {
        let index = self.indexes.get(name);
        let known = index.map(|index| self.accounts[usize::from(index.0)].usage);
        known.unwrap_or_default()
    }

    /// What each account uses that uses anything.
    pub fn usages(&self) -> impl Iterator<Item = (&Name, Usage)> {
        let accounts = self.accounts.iter();
        let accounts = accounts.filter(|account| account.usage != Usage::default());
        accounts.map(|account| (&account.name, account.usage))
    }
}
