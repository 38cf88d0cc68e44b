//! The row that divides an account's maximum among pools, and its changes.

use primroseroute_domain::work::{Demand, Name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Part of the maximum, as a divisor, that a pool requests beyond what it needs now where it needs
/// much, so that a growing queue doesn't write for each task.
const HEADROOM_DIVISOR: u64 = 8;

/// Share of what a pool holds, in percent, from the use of which on it requests more, so that tasks
/// needn't wait for the write.
const NEARLY_FULL_PERCENT: u64 = 75;

/// Part of the maximum, as a divisor, by which a request has to exceed what is held, unless tasks
/// wait for it.
const MIN_GROWTH_DIVISOR: u64 = 16;

/// An account's maximum, and the part of it that each pool holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// The configuration that last changed the maximum.
    pub configuration: u64,
    /// What the account may have running; 0 for a resource without a limit.
    pub maximum: Demand,
    /// The part of each pool.
    pub pools: BTreeMap<Name, Holding>,
}

/// The part of one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// Fencing token of the owner that last wrote it; 0 if no owner has written it.
    pub token: u64,
    /// What the account may have running in the pool.
    pub held: Demand,
    /// What it could use, if that is more than is held.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wanted: Option<Demand>,
}

/// What an account uses in one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// What may be running.
    pub used: Demand,
    /// What could run besides, but for the account's limit.
    pub refused: Demand,
}

/// The owner of a pool that uses a budget, with the maximum as it knows it.
#[derive(Clone, Copy, Debug)]
pub struct User<'a> {
    /// The pool.
    pub pool: &'a Name,
    /// Fencing token of the ownership.
    pub token: u64,
    /// Number of the newest configuration.
    pub configuration: u64,
    /// The account's maximum in that configuration.
    pub maximum: Demand,
}

fn each(one: Demand, other: Demand, of: impl Fn(u64, u64) -> u64) -> Demand {
    Demand {
        cpu: of(one.cpu, other.cpu),
        memory: of(one.memory, other.memory),
        accelerators: of(one.accelerators, other.accelerators),
    }
}

/// `amount`, unlimited in the resources in which `maximum` sets no limit.
fn unlimited(amount: Demand, maximum: Demand) -> Demand {
    each(amount, maximum, |amount, maximum| {
        if maximum == 0 { u64::MAX } else { amount }
    })
}

/// `amount` in the resources in which `maximum` sets a limit, and 0 in the others.
fn limited(amount: Demand, maximum: Demand) -> Demand {
    each(
        amount,
        maximum,
        |amount, maximum| {
            if maximum == 0 { 0 } else { amount }
        },
    )
}

/// The stricter of two maximums.
fn stricter(one: Demand, other: Demand) -> Demand {
    each(one, other, |one, other| match (one, other) {
        (0, limit) | (limit, 0) => limit,
        (one, other) => one.min(other),
    })
}

/// What a pool should hold if `needed` is in use or could be: twice as much, but beyond half of the
/// maximum only an eighth of it more.
fn target(needed: Demand, maximum: Demand) -> Demand {
    let headroom = needed.plus(divided(maximum, HEADROOM_DIVISOR));
    let at_most = headroom.larger(divided(maximum, 2));
    limited(needed.times(2).smaller(at_most), maximum)
}

/// What a pool that holds `held` should hold, of which others leave `available`: at least `least`, so
/// that its first tasks need no write, and more if it is nearly full.
fn extended(
    held: Demand,
    needed: Demand,
    least: Demand,
    maximum: Demand,
    available: Demand,
) -> Demand {
    let held = held.larger(least.smaller(available));
    let target = target(needed, maximum);
    let is_nearly_full = !needed.times(100).fits(held.times(NEARLY_FULL_PERCENT));
    let would_grow = !target.fits(held.plus(divided(maximum, MIN_GROWTH_DIVISOR)));
    if !needed.fits(held) || (is_nearly_full && would_grow) {
        held.larger(target.smaller(available))
    } else {
        held
    }
}

fn divided(amount: Demand, by: u64) -> Demand {
    each(amount, amount, |amount, _same| amount / by.max(1))
}

fn sum(parts: impl Iterator<Item = Demand>) -> Demand {
    parts.fold(Demand::default(), Demand::plus)
}

/// Whether a maximum limits anything.
pub fn is_limited(maximum: Demand) -> bool {
    maximum != Demand::default()
}

impl Budget {
    /// A budget of an account that had none, where `pools` may run its tasks. None of the pools has
    /// stated yet what runs in it, so each counts as holding everything.
    pub fn new<'a>(user: &User<'_>, pools: impl Iterator<Item = &'a Name>) -> Self {
        let unstated = Holding {
            held: user.maximum,
            ..Holding::default()
        };
        Self {
            configuration: user.configuration,
            maximum: user.maximum,
            pools: pools.map(|pool| (Name::clone(pool), unstated)).collect(),
        }
    }

    /// What the account may have running in the user's pool, as far as new tasks are concerned.
    pub fn room(&self, user: &User<'_>) -> Demand {
        let maximum = self.maximum_for(user);
        let own = self.pools.get(user.pool);
        let Some(own) = own.filter(|own| own.token == user.token) else {
            return unlimited(Demand::default(), maximum);
        };
        let held = sum(self.pools.values().map(|holding| holding.held));
        if !held.fits(unlimited(maximum, maximum)) {
            return unlimited(Demand::default(), maximum);
        }
        let room = match self.fair_part(user) {
            Some(part) => own.held.smaller(part),
            None => own.held,
        };
        unlimited(room, maximum)
    }

    /// The budget that the user should write, if it has to be changed.
    pub fn decide(&self, user: &User<'_>, usage: Usage) -> Option<Self> {
        let mut next = self.clone();
        if user.configuration > next.configuration && user.maximum != next.maximum {
            next.change_maximum(user);
        }
        let maximum = next.maximum;
        let own = next.pools.get(user.pool).copied().unwrap_or_default();
        if own.token > user.token {
            return None;
        }
        let running = limited(usage.used, maximum);
        let needed = limited(usage.used.plus(usage.refused), maximum);
        let others = next.pools.iter().filter(|(pool, _)| *pool != user.pool);
        let others = sum(others.map(|(_pool, holding)| holding.held));
        let available = limited(each(maximum, others, u64::saturating_sub), maximum);
        let known = match own.token {
            // Its owner states only now what runs.
            0 => running,
            _ => limited(own.held.larger(running), maximum),
        };
        // Beyond the maximum, all owners reduce their parts to what runs.
        let known = if known.fits(available) {
            known
        } else {
            running
        };
        let least = divided(maximum, 2 * next.pools.len() as u64);
        let held = extended(known, needed, least, maximum, available);
        let held = match next.fair_part(user) {
            Some(part) if usage.refused != Demand::default() => running.larger(held.smaller(part)),
            Some(_part) => running,
            None => held,
        };
        let wanted = (!needed.fits(held)).then_some(needed);
        let wanted = match (own.wanted, wanted) {
            // Others only have to know that more is wanted.
            (Some(known), Some(_changed)) if !known.fits(held) => Some(known),
            (_known, changed) => changed,
        };
        let token = user.token;
        let holding = Holding {
            token,
            held,
            wanted,
        };
        next.pools.insert(Name::clone(user.pool), holding);
        (next != *self).then_some(next)
    }

    /// The stricter of the maximum that is written and the one that the user knows, if that is
    /// newer.
    fn maximum_for(&self, user: &User<'_>) -> Demand {
        if user.configuration > self.configuration {
            stricter(self.maximum, user.maximum)
        } else {
            self.maximum
        }
    }

    /// Puts the maximum in force that the user knows. Where a resource had no limit, no pool has
    /// stated how much of it is in use.
    fn change_maximum(&mut self, user: &User<'_>) {
        let before = std::mem::replace(&mut self.maximum, user.maximum);
        self.configuration = user.configuration;
        for holding in self.pools.values_mut() {
            let stated = each(holding.held, before, |held, before| {
                if before == 0 { u64::MAX } else { held }
            });
            let full = each(stated, user.maximum, |stated, maximum| {
                if stated == u64::MAX { maximum } else { stated }
            });
            holding.held = limited(full, user.maximum);
        }
    }

    /// While other pools need more than they hold: the part of the maximum that each of them and
    /// the user's pool may have.
    fn fair_part(&self, user: &User<'_>) -> Option<Demand> {
        let others = self.pools.iter().filter(|(pool, _)| *pool != user.pool);
        let wanting = others.filter(|(_pool, holding)| {
            let wanted = holding.wanted;
            wanted.is_some_and(|wanted| !wanted.fits(holding.held))
        });
        let wanting = wanting.count() as u64;
        (wanting > 0).then(|| divided(self.maximum, wanting + 1))
    }
}
