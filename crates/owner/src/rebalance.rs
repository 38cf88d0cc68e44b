//! Which instances of a pool move to which other pool.
//!
//! Each owner moves away only instances of its own pool. All of them compute the same plan from the
//! same figures, the published numbers of wanted workers and the list of instances, and each
//! carries out its own part. Where their figures differ for a moment, a pool may get one instance
//! too many, and gives it away again.

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
    /// What it needs; `None` if its owner hasn't published it yet.
    pub need: Option<DesiredWorkers>,
    /// Whether its instances are switched off.
    pub standby: bool,
}

/// The state on which an owner decides.
#[derive(Debug)]
pub struct MoveInputs<'a> {
    /// The owner's pool.
    pub pool: &'a Name,
    /// All pools.
    pub pools: &'a BTreeMap<Name, Pool>,
    /// All instances of the fleet.
    pub instances: &'a [Instance],
    /// Instances that may not be ordered now.
    pub blocked: &'a BTreeSet<Name>,
    /// Moves that were refused permanently: instance and pool.
    pub refused: &'a BTreeSet<(Name, Name)>,
    /// Workers that are being evacuated to be moved.
    pub evacuating: &'a BTreeSet<Name>,
    /// For each worker, the number of runs on it.
    pub runs: &'a BTreeMap<Name, usize>,
    /// For each worker, the number of long-running tasks on it.
    pub lasting: &'a BTreeMap<Name, usize>,
    /// Number of the pool's instances below which none is switched off.
    pub scale_down_floor: u64,
}

/// An instance that is to move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The instance.
    pub instance: Instance,
    /// The pool it moves to.
    pub to: Name,
}

/// What a pool has, and what it needs.
#[derive(Clone, Copy)]
struct Balance {
    has: u64,
    need: u64,
}

impl Balance {
    fn deficit(&self) -> u64 {
        self.need.saturating_sub(self.has)
    }

    fn surplus(&self) -> u64 {
        self.has.saturating_sub(self.need)
    }
}

/// Which of a pool's needs counts.
#[derive(Clone, Copy)]
enum Level {
    /// What it needs at this moment.
    Now,
    /// What it will need by the time an instance that is ordered now is in service.
    Soon,
    /// With what it expects and its headroom.
    Wanted,
    /// With what work that is already late could use.
    Late,
}

/// The moves out of the pool, the most urgent first.
pub fn moves(inputs: &MoveInputs<'_>) -> Vec<Move> {
    let counts = counts(inputs.instances);
    let mut targets = receivers_of_own(inputs, &counts);
    let own = inputs.pools.get(inputs.pool);
    let is_standby = own.is_some_and(|pool| pool.standby);
    let standby = inputs.pools.iter().find(|(_name, pool)| pool.standby);
    if !is_standby && let Some((standby, _pool)) = standby {
        let has = counts.get(inputs.pool).copied().unwrap_or(0);
        let has = has.saturating_sub(targets.len() as u64);
        let need = need(inputs, inputs.pool, Level::Late, has);
        let spare = has.saturating_sub(need.max(inputs.scale_down_floor));
        targets.extend((0..spare).map(|_spare| Name::clone(standby)));
    }
    let mut candidates = candidates(inputs);
    let mut moves = Vec::new();
    for to in targets {
        let allowed = |instance: &&Instance| {
            let pair = (Name::clone(&instance.name), Name::clone(&to));
            !inputs.refused.contains(&pair)
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

/// How many instances a pool with `has` instances needs.
fn need(inputs: &MoveInputs<'_>, name: &Name, level: Level, has: u64) -> u64 {
    let Some(pool) = inputs.pools.get(name) else {
        return has;
    };
    if pool.standby {
        return 0;
    }
    match (pool.need, level) {
        (Some(need), Level::Now) => need.now,
        (Some(need), Level::Soon) => need.soon.max(need.now),
        (Some(need), Level::Wanted) => need.workers.max(need.soon),
        (Some(need), Level::Late) => need.workers.max(need.with_late()),
        // Nothing is known: it keeps what it has, and gets nothing.
        (None, _) => has,
    }
}

/// The pools that receive instances of the own pool, one element per instance.
///
/// First the pools that are short at this moment get what others have beyond their own needs of
/// this moment: if there isn't enough for all, nobody keeps instances for future work while tasks
/// wait elsewhere. Then those that will be short soon get what others won't use, whatever these
/// keep as headroom or for a while; then pools that want more get what others don't want, and last
/// those with work that is already late: late work earns a fraction, and must not hold up work
/// elsewhere that can still be in time.
fn receivers_of_own(inputs: &MoveInputs<'_>, counts: &BTreeMap<&Name, u64>) -> Vec<Name> {
    let mut all: BTreeMap<&Name, u64> = inputs
        .pools
        .keys()
        .map(|name| (name, counts.get(name).copied().unwrap_or(0)))
        .collect();
    let mut own = Vec::new();
    for level in [Level::Now, Level::Soon, Level::Wanted, Level::Late] {
        let balances = all.iter().map(|(&name, &has)| {
            let need = need(inputs, name, level, has);
            (name, Balance { has, need })
        });
        let balances: BTreeMap<&Name, Balance> = balances.collect();
        for (giver, to) in match_moves(inputs, &balances) {
            if let Some(has) = all.get_mut(giver) {
                *has -= 1;
            }
            if let Some(has) = all.get_mut(to) {
                *has += 1;
            }
            if giver == inputs.pool {
                own.push(Name::clone(to));
            }
        }
    }
    own
}

/// Matches all missing instances in the order of need with all surplus ones, standby pools first
/// and then the largest surplus: giver and receiver of each.
fn match_moves<'a>(
    inputs: &MoveInputs<'a>,
    balances: &BTreeMap<&'a Name, Balance>,
) -> Vec<(&'a Name, &'a Name)> {
    let serves = |name: &Name| inputs.pools.get(name).is_none_or(|pool| !pool.standby);
    let surplus = balances.values().map(Balance::surplus);
    let surplus = surplus.fold(0, u64::saturating_add);
    let givers = balances.iter();
    let givers = givers.map(|(&name, balance)| (serves(name), Reverse(balance.surplus()), name));
    let mut givers: Vec<(bool, Reverse<u64>, &Name)> = givers.collect();
    givers.sort_unstable();
    let units = givers
        .into_iter()
        .flat_map(|(_serves, Reverse(surplus), name)| (0..surplus).map(move |_unit| name));
    units.zip(missing_by_need(balances, surplus)).collect()
}

/// One element for each of the first `most` missing instances, at each step for the pool that misses
/// the largest part of its need.
///
/// Needs are published by other entries, and may be far larger than the fleet.
fn missing_by_need<'a>(balances: &BTreeMap<&'a Name, Balance>, most: u64) -> Vec<&'a Name> {
    let missing = balances.iter();
    let missing = missing.filter(|(_name, balance)| balance.deficit() > 0);
    let mut missing: BTreeMap<&Name, Balance> =
        missing.map(|(&name, balance)| (name, *balance)).collect();
    let permille =
        |balance: &Balance| u128::from(balance.deficit()) * 1_000 / u128::from(balance.need.max(1));
    let mut order = Vec::new();
    for _instance in 0..most {
        let most_needy = missing
            .iter()
            .max_by_key(|(_name, balance)| permille(balance));
        let Some((&name, _balance)) = most_needy else {
            return order;
        };
        order.push(name);
        if let Some(balance) = missing.get_mut(name) {
            balance.has += 1;
            if balance.deficit() == 0 {
                missing.remove(name);
            }
        }
    }
    order
}

/// Instances of the own pool that may move: those that are being evacuated first, so that a
/// decision isn't reversed, then those with the fewest runs, which are empty soonest. Those with
/// long-running tasks stay.
fn candidates<'a>(inputs: &MoveInputs<'a>) -> Vec<&'a Instance> {
    let own = inputs.instances.iter().filter(|instance| {
        let worker = instance.worker.as_ref();
        let lasting = worker.and_then(|worker| inputs.lasting.get(worker));
        instance.pool == *inputs.pool
            && instance.state == InstanceState::Up
            && !inputs.blocked.contains(&instance.name)
            && lasting.copied().unwrap_or(0) == 0
    });
    let mut own: Vec<&Instance> = own.collect();
    own.sort_by_key(|instance| {
        let worker = instance.worker.as_ref();
        let evacuating = worker.is_none_or(|worker| inputs.evacuating.contains(worker));
        let runs = worker.and_then(|worker| inputs.runs.get(worker));
        (!evacuating, runs.copied().unwrap_or(0))
    });
    own
}
