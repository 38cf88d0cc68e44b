//! Which instances of a pool move to which other pool.
//!
//! Each owner moves away instances of its own pool only. All of them work out the same plan from the
//! same figures, the published numbers of wanted workers and the list of instances, and each carries
//! out its own part. Where their figures differ for a moment, a pool may get an instance too many, and
//! gives it away again.

use primroseroute_cell::row::DesiredWorkers;
use primroseroute_domain::work::Name;
use primroseroute_platform::site::{Instance, InstanceState};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// What is known of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// What it needs; `None` where its owner hasn't said yet.
    pub need: Option<DesiredWorkers>,
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
    /// For each worker, the number of runs on it.
    pub runs: &'a BTreeMap<Name, usize>,
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

/// What a pool has, and what it needs.
#[derive(Clone, Copy)]
struct Balance {
    has: u64,
    need: u64,
}

impl Balance {
    fn missing(&self) -> u64 {
        self.need.saturating_sub(self.has)
    }

    fn extra(&self) -> u64 {
        self.has.saturating_sub(self.need)
    }
}

/// How a pool's need is read.
#[derive(Clone, Copy)]
enum Level {
    /// What it is short of at this moment.
    Now,
    /// What it will be short of when an instance that is ordered now works.
    Soon,
    /// With what it expects and what it wants to spare.
    Wanted,
    /// With what work that is late already could use.
    Late,
}

/// The moves out of the pool, the most urgent first.
pub fn moves(situation: &Situation<'_>) -> Vec<Move> {
    let counts = counts(situation.instances);
    let mut targets = needy(situation, &counts);
    let own = situation.pools.get(situation.pool);
    let is_standby = own.is_some_and(|pool| pool.standby);
    let standby = situation.pools.iter().find(|(_name, pool)| pool.standby);
    if !is_standby && let Some((standby, _pool)) = standby {
        let has = counts.get(situation.pool).copied().unwrap_or(0);
        let has = has.saturating_sub(targets.len() as u64);
        let need = need(situation, situation.pool, Level::Late, has);
        let spare = has.saturating_sub(need.max(situation.kept));
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

/// For each pool that has any, the number of instances that serve it, or are about to.
pub(crate) fn counts(instances: &[Instance]) -> BTreeMap<&Name, u64> {
    let mut counts = BTreeMap::new();
    for instance in instances {
        if matches!(instance.state, InstanceState::Up | InstanceState::Moving) {
            *counts.entry(&instance.pool).or_default() += 1;
        }
    }
    counts
}

/// How many instances a pool that has `has` needs.
fn need(situation: &Situation<'_>, name: &Name, level: Level, has: u64) -> u64 {
    let Some(pool) = situation.pools.get(name) else {
        return has;
    };
    if pool.standby {
        return 0;
    }
    match (pool.need, level) {
        (Some(need), Level::Now) => need.now,
        (Some(need), Level::Soon) => need.soon.max(need.now),
        (Some(need), Level::Wanted) => need.workers.max(need.soon),
        (Some(need), Level::Late) => need.workers.max(need.now + need.late),
        // Nothing is known: it keeps what it has, and gets nothing.
        (None, _) => has,
    }
}

/// The pools that get the own pool's instances, one entry an instance.
///
/// First the pools that are short at this moment get what others have beyond their own needs of this
/// moment: where there isn't enough for all, nobody keeps instances for what may come while tasks wait
/// elsewhere. Then those that will be short soon get what others won't use, whatever these keep as headroom or
/// for a while; then pools that want more get what others don't want, and last those with work that is
/// late already: what is late earns a fraction, and must not hold up what can still be in time elsewhere.
fn needy(situation: &Situation<'_>, counts: &BTreeMap<&Name, u64>) -> Vec<Name> {
    let mut all: BTreeMap<&Name, u64> = situation
        .pools
        .keys()
        .map(|name| (name, counts.get(name).copied().unwrap_or(0)))
        .collect();
    let mut own = Vec::new();
    for level in [Level::Now, Level::Soon, Level::Wanted, Level::Late] {
        let balances = all.iter().map(|(&name, &has)| {
            let need = need(situation, name, level, has);
            (name, Balance { has, need })
        });
        let balances: BTreeMap<&Name, Balance> = balances.collect();
        for (giver, to) in dealt(situation, &balances) {
            if let Some(has) = all.get_mut(giver) {
                *has -= 1;
            }
            if let Some(has) = all.get_mut(to) {
                *has += 1;
            }
            if giver == situation.pool {
                own.push(Name::clone(to));
            }
        }
    }
    own
}

/// All missing instances in the order of need, dealt out to all extra ones, standby pools first and
/// then the largest surplus: giver and receiver of each.
fn dealt<'a>(
    situation: &Situation<'a>,
    balances: &BTreeMap<&'a Name, Balance>,
) -> Vec<(&'a Name, &'a Name)> {
    let serves = |name: &Name| situation.pools.get(name).is_none_or(|pool| !pool.standby);
    let givers = balances.iter();
    let givers = givers.map(|(&name, balance)| (serves(name), Reverse(balance.extra()), name));
    let mut givers: Vec<(bool, Reverse<u64>, &Name)> = givers.collect();
    givers.sort_unstable();
    let units = givers
        .into_iter()
        .flat_map(|(_serves, Reverse(extra), name)| (0..extra).map(move |_unit| name));
    units.zip(receivers(balances)).collect()
}

/// Missing instances by pool, that with the largest missing part first.
fn receivers<'a>(balances: &BTreeMap<&'a Name, Balance>) -> Vec<&'a Name> {
    let missing = balances.iter();
    let missing = missing.filter(|(_name, balance)| balance.missing() > 0);
    let mut missing: BTreeMap<&Name, Balance> =
        missing.map(|(&name, balance)| (name, *balance)).collect();
    let mut order = Vec::new();
    loop {
        let neediest = missing
            .iter()
            .max_by_key(|(_name, balance)| balance.missing() * 1_000 / balance.need.max(1));
        let Some((&name, _balance)) = neediest else {
            return order;
        };
        order.push(name);
        if let Some(balance) = missing.get_mut(name) {
            balance.has += 1;
            if balance.missing() == 0 {
                missing.remove(name);
            }
        }
    }
}

/// Instances of the own pool that may move: those that are being emptied first, so that a decision
/// stands, then those with the fewest runs, which are empty soonest. Those with lasting tasks stay.
fn candidates<'a>(situation: &Situation<'a>) -> Vec<&'a Instance> {
    let own = situation.instances.iter().filter(|instance| {
        let worker = instance.worker.as_ref();
        let lasting = worker.and_then(|worker| situation.lasting.get(worker));
        instance.pool == *situation.pool
            && instance.state == InstanceState::Up
            && !situation.blocked.contains(&instance.name)
            && lasting.copied().unwrap_or(0) == 0
    });
    let mut own: Vec<&Instance> = own.collect();
    own.sort_by_key(|instance| {
        let worker = instance.worker.as_ref();
        let emptying = worker.is_none_or(|worker| situation.emptying.contains(worker));
        let runs = worker.and_then(|worker| situation.runs.get(worker));
        (!emptying, runs.copied().unwrap_or(0))
    });
    own
}
