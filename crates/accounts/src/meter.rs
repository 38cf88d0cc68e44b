//! What the accounts use in one pool, whether another task may start, and whose turn it is.
//!
//! The share of an account is that of its dominant resource: the one of which it uses the largest
//! part of what the pool has (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011), relative to
//! the account's weight.

use crate::budget::Usage;
use primroseroute_domain::work::{Demand, Name};
use std::collections::BTreeMap;

/// Multiple of its weighted share from which on an account lets others go first, apart from
/// [`SHARE_ALLOWANCE`]: what an account uses differs from its share by chance.
const SHARE_SLACK: f64 = 1.25;

/// Part of the pool that an account may use beyond that: one job of a small account may be more than
/// its share.
const SHARE_ALLOWANCE: f64 = 1.0 / 16.0;

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
    weight: f64,
    usage: Usage,
    is_beyond_share: bool,
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

/// The largest part that `used` is of any resource.
#[expect(clippy::cast_precision_loss, reason = "a coarse figure")]
fn dominant_share(used: Demand, capacity: Demand) -> f64 {
    let part = |used: u64, capacity: u64| used as f64 / (capacity.max(1) as f64);
    part(used.cpu, capacity.cpu)
        .max(part(used.memory, capacity.memory))
        .max(part(used.accelerators, capacity.accelerators))
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

    /// Sets the weights of accounts; those that aren't named have none, and go last.
    pub fn set_weights<'a>(&mut self, weights: impl Iterator<Item = (&'a Name, f64)>) {
        for account in &mut self.accounts {
            account.weight = 0.0;
        }
        for (name, weight) in weights {
            let index = self.index(name);
            let weight = if weight.is_finite() { weight } else { 0.0 };
            self.of(index).weight = weight.max(0.0);
        }
    }

    /// Whether an account has a weight.
    pub fn has_weight(&self, account: Index) -> bool {
        self.accounts[usize::from(account.0)].weight > 0.0
    }

    /// Counts anew what may be running in a pool of this capacity, and forgets what was refused.
    pub fn recount(&mut self, capacity: Demand, charges: impl Iterator<Item = Charge>) {
        for account in &mut self.accounts {
            account.usage = Usage::default();
        }
        for charge in charges {
            self.add(charge);
        }
        let users = self.accounts.iter();
        let users = users.filter(|account| account.usage.used != Demand::default());
        let weights: f64 = users.map(|account| account.weight).sum();
        for account in &mut self.accounts {
            let share = dominant_share(account.usage.used, capacity);
            let fair = account.weight / weights.max(f64::MIN_POSITIVE);
            account.is_beyond_share = share > fair * SHARE_SLACK + SHARE_ALLOWANCE;
        }
    }

    /// Whether an account uses so much more than its weighted share that others go first.
    pub fn is_beyond_share(&self, account: Index) -> bool {
        self.accounts[usize::from(account.0)].is_beyond_share
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
