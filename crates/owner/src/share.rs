//! Which instances of a pool move to which other pool.
//!
//! Each owner moves away instances of its own pool only. All of them work out the same plan from the
//! same figures, the published numbers of wanted workers and the list of instances, and each carries
//! out its own part. Where their figures differ for a moment, a pool may get an instance too many, and
//! gives it away again.

use primroseroute_domain::work::Name;
use primroseroute_platform::site::{Condition, Instance};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// How many workers it can use; `None` where its owner hasn't said yet.
    pub wanted: Option<u64>,
    /// Whether its instances are switched off.
    pub standby: bool,
}

/// What an owner knows when it decides.
#[derive(Debug)]
pub struct Situation<'a> {
    /// Its pool.
    pub pool: &'a Name,
    /// All pools.
    pub pools: &'a BTreeMap<Name, Pool>,
    /// All instances of the fleet.
    pub instances: &'a [Instance],
    /// Instances that may not be ordered now.
    pub blocked: &'a BTreeSet<Name>,
    /// Moves that were refused for good: instance and pool.
    pub refused: &'a BTreeSet<(Name, Name)>,
    /// Workers that are being emptied to be moved.
    pub emptying: &'a BTreeSet<Name>,
    /// Workers on which nothing runs.
    pub idle: &'a BTreeSet<Name>,
    /// For each worker, the number of lasting tasks on it.
    pub lasting: &'a BTreeMap<Name, usize>,
    /// Number of the pool's instances below which none is switched off.
    pub kept: u64,
}

/// An instance that is to move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The instance.
    pub instance: Instance,
    /// Where to.
    pub to: Name,
}

/// What a pool has too much or too little of.
struct Balance {
    has: u64,
    wanted: u64,
}

impl Balance {
    fn missing(&self) -> u64 {
        self.wanted.saturating_sub(self.has)
    }

    fn extra(&self) -> u64 {
        self.has.saturating_sub(self.wanted)
    }
}

/// The moves out of the pool, the most urgent first.
pub fn moves(situation: &Situation<'_>) -> Vec<Move> {
    let mut targets = needy(situation);
    let own = &situation.pools.get(situation.pool);
    let is_standby = own.is_some_and(|pool| pool.standby);
    let standby = situation.pools.iter().find(|(_name, pool)| pool.standby);
    if !is_standby && let Some((standby, _pool)) = standby {
        let spare = balance(situation, situation.pool).extra();
        let spare = spare.min(has(situation, situation.pool).saturating_sub(situation.kept));
        let spare = spare.saturating_sub(targets.len() as u64);
        targets.extend((0..spare).map(|_spare| Name::clone(standby)));
    }
    let mut candidates = candidates(situation);
    let mut moves = Vec::new();
    for to in targets {
        let allowed = |instance: &&Instance| {
            let pair = (Name::clone(&instance.name), Name::clone(&to));
            !situation.refused.contains(&pair)
        };
        let Some(at) = candidates.iter().position(allowed) else {
            continue;
        };
        moves.push(Move {
            instance: candidates.remove(at).clone(),
            to,
        });
    }
    moves
}

/// Instances that serve a pool, or are about to.
fn has(situation: &Situation<'_>, name: &Name) -> u64 {
    let serves = |instance: &&Instance| {
        instance.pool == *name && matches!(instance.condition, Condition::Up | Condition::Moving)
    };
    situation.instances.iter().filter(serves).count() as u64
}

fn balance(situation: &Situation<'_>, name: &Name) -> Balance {
    let has = has(situation, name);
    let wanted = match situation.pools.get(name) {
        Some(pool) if pool.standby => 0,
        Some(Pool {
            wanted: Some(wanted),
            ..
        }) => *wanted,
        // Nothing is known: it keeps what it has, and gets nothing.
        _ => has,
    };
    Balance { has, wanted }
}

/// Instances of a pool beyond what it wants.
fn extra(situation: &Situation<'_>, pool: &Name) -> u64 {
    balance(situation, pool).extra()
}

/// The pools that get the own pool's instances, one entry an instance. All missing instances in the
/// order of need are dealt out to all extra ones, standby pools first and then the largest surplus.
fn needy(situation: &Situation<'_>) -> Vec<Name> {
    let mut givers: Vec<(bool, u64, &Name)> = situation
        .pools
        .iter()
        .map(|(name, pool)| (!pool.standby, extra(situation, name), name))
        .collect();
    givers.sort_by_key(|&(serves, extra, name)| (serves, std::cmp::Reverse(extra), name));
    let owners = givers
        .into_iter()
        .flat_map(|(_serves, extra, name)| (0..extra).map(move |_unit| name));
    let receivers = receivers(situation);
    let own = owners.zip(receivers);
    own.filter(|(giver, _to)| *giver == situation.pool)
        .map(|(_giver, to)| to)
        .collect()
}

/// Missing instances by pool, that with the largest missing part first.
fn receivers(situation: &Situation<'_>) -> Vec<Name> {
    let balances = situation
        .pools
        .keys()
        .map(|name| (name, balance(situation, name)));
    let mut missing: BTreeMap<&Name, Balance> = balances
        .filter(|(_name, balance)| balance.missing() > 0)
        .collect();
    let mut order = Vec::new();
    loop {
        let neediest = missing
            .iter()
            .max_by_key(|(_name, balance)| balance.missing() * 1_000 / balance.wanted.max(1));
        let Some((&name, _balance)) = neediest else {
            return order;
        };
        order.push(Name::clone(name));
        if let Some(balance) = missing.get_mut(name) {
            balance.has += 1;
            if balance.missing() == 0 {
                missing.remove(name);
            }
        }
    }
}

/// Instances of the own pool that may move: those that are being emptied first, so that a decision
/// stands, then idle ones. Those with lasting tasks stay.
fn candidates<'a>(situation: &Situation<'a>) -> Vec<&'a Instance> {
    let own = situation.instances.iter().filter(|instance| {
        let worker = instance.worker.as_ref();
        let lasting = worker.and_then(|worker| situation.lasting.get(worker));
        instance.pool == *situation.pool
            && instance.condition == Condition::Up
            && !situation.blocked.contains(&instance.name)
            && lasting.copied().unwrap_or(0) == 0
    });
    let mut own: Vec<&Instance> = own.collect();
    let within = |set: &BTreeSet<Name>, instance: &Instance| {
        let worker = instance.worker.as_ref();
        worker.is_none_or(|worker| set.contains(worker))
    };
    own.sort_by_key(|instance| {
        let emptying = within(situation.emptying, instance);
        let idle = within(situation.idle, instance);
        (!(emptying && idle), !emptying, !idle)
    });
    own
}
