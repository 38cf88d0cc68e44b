//! Greedy placement: the pool with the largest deficit repeatedly gets its best candidate.

use super::assignment::{Assignment, PlacedInstance, PoolState};
use std::cmp::Reverse;

/// Tie-break between candidates whose racks hold equally few members of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TieBreak {
    /// The zone with the fewest members of the pool.
    Zone,
    /// The rack with the most spares left, which keeps spares in different racks for later pools.
    RackSpares,
}

/// Indices of spares by rack, in descending order.
struct SparesByRack {
    racks: Vec<Vec<usize>>,
}

impl SparesByRack {
    fn new(assignment: &Assignment) -> Self {
        let count = assignment
            .instances
            .iter()
            .map(|instance| instance.rack + 1)
            .max()
            .unwrap_or(0);
        let mut racks = vec![Vec::new(); count];
        for (index, instance) in assignment.instances.iter().enumerate().rev() {
            if instance.assigned_pool.is_none() && instance.is_movable {
                racks[instance.rack].push(index);
            }
        }
        Self { racks }
    }
}

/// Deficit of a pool; pools are ordered by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deficit {
    unmet: u32,
    short: u32,
}

fn deficit(pool_state: &PoolState) -> Deficit {
    Deficit {
        unmet: pool_state.unmet(),
        short: pool_state.short(),
    }
}

/// Places spares and moves members until no remaining deficit can be reduced.
pub(super) fn fill(assignment: &mut Assignment, tie_break: TieBreak) {
    let mut spares_by_rack = SparesByRack::new(assignment);
    let mut is_stuck = vec![false; assignment.pools.len()];
    while let Some(pool) = most_deficient(assignment, &is_stuck) {
        let Some(index) = best_candidate(assignment, &spares_by_rack, pool, tie_break) else {
            is_stuck[pool] = true;
            continue;
        };
        if assignment.instances[index].assigned_pool.is_none() {
            spares_by_rack.racks[assignment.instances[index].rack].pop();
        }
        assignment.assign(index, Some(pool));
    }
}

fn most_deficient(assignment: &Assignment, is_stuck: &[bool]) -> Option<usize> {
    let nothing = Deficit { unmet: 0, short: 0 };
    (0..assignment.pools.len())
        .filter(|pool| !is_stuck[*pool])
        .map(|pool| (deficit(&assignment.pools[pool]), Reverse(pool)))
        .filter(|(deficit, _)| *deficit > nothing)
        .max()
        .map(|(_, Reverse(pool))| pool)
}

/// The best candidate for `pool`: a spare, or a member that another pool can release.
///
/// A surplus member is preferred to a spare if a move costs less than an additional member and the
/// surplus member contributes as much to the promise.
fn best_candidate(
    assignment: &Assignment,
    spares_by_rack: &SparesByRack,
    pool: usize,
    tie_break: TieBreak,
) -> Option<usize> {
    let Some(spare) = best_spare(assignment, spares_by_rack, pool, tie_break) else {
        return best_member(assignment, pool);
    };
    let has_surplus = assignment
        .pools
        .iter()
        .any(|pool_state| pool_state.surplus() > 0);
    if assignment.weights.moves >= assignment.weights.buffer || !has_surplus {
        return Some(spare);
    }
    let is_better = |member: &usize| {
        let from = assignment.instances[*member].assigned_pool;
        let releases_surplus = from.is_some_and(|from| assignment.pools[from].surplus() > 0);
        releases_surplus && !is_worse(assignment, pool, *member, spare)
    };
    best_member(assignment, pool)
        .filter(is_better)
        .or(Some(spare))
}

/// Whether `member` contributes less to the pool's promise than `spare`.
fn is_worse(assignment: &Assignment, pool: usize, member: usize, spare: usize) -> bool {
    let pool_state = &assignment.pools[pool];
    pool_state.adds_survivor(&assignment.instances[spare])
        && !pool_state.adds_survivor(&assignment.instances[member])
}

fn best_spare(
    assignment: &Assignment,
    spares_by_rack: &SparesByRack,
    pool: usize,
    tie_break: TieBreak,
) -> Option<usize> {
    let pool_state = &assignment.pools[pool];
    let best = spares_by_rack
        .racks
        .iter()
        .filter_map(|spares| Some((*spares.last()?, spares.len())))
        .min_by_key(|(index, count)| {
            let instance = &assignment.instances[*index];
            let rack = pool_state.in_rack(instance.rack);
            let zone = pool_state.in_zone(instance.zone);
            let most_spares = Reverse(*count);
            match tie_break {
                TieBreak::Zone => (
                    pool_state.domain_count(instance),
                    rack,
                    zone,
                    most_spares,
                    0,
                ),
                TieBreak::RackSpares => (
                    pool_state.domain_count(instance),
                    rack,
                    0,
                    most_spares,
                    zone,
                ),
            }
        });
    let (index, _) = best?;
    is_useful(pool_state, &assignment.instances[index]).then_some(index)
}

/// Whether the pool is below its target or `instance` would add a survivor of the worst loss.
fn is_useful(pool_state: &PoolState, instance: &PlacedInstance) -> bool {
    pool_state.short() > 0 || pool_state.adds_survivor(instance)
}

/// The best member of another pool to move: from a pool with a surplus, or, only for an unmet
/// promise, from another pool's headroom.
fn best_member(assignment: &Assignment, pool: usize) -> Option<usize> {
    let pool_state = &assignment.pools[pool];
    let is_urgent = pool_state.unmet() > 0;
    if !is_urgent && assignment.pools.iter().all(|other| other.surplus() == 0) {
        return None;
    }
    let can_give = |instance: &PlacedInstance| {
        let Some(from) = instance.assigned_pool else {
            return false;
        };
        let source = &assignment.pools[from];
        // An instance that this plan has already moved stays, or the plan could move it in a cycle.
        let can_move =
            instance.is_movable && from != pool && instance.original_pool == instance.assigned_pool;
        let helps = if is_urgent {
            pool_state.adds_survivor(instance)
        } else {
            pool_state.short() > 0
        };
        can_move && helps && (source.surplus() > 0 || is_urgent) && source.can_release(instance)
    };
    assignment
        .instances
        .iter()
        .enumerate()
        .filter(|(_, instance)| can_give(instance))
        .min_by_key(|(_, instance)| {
            let from = instance.assigned_pool.map(|from| &assignment.pools[from]);
            let surplus = from.map_or(0, PoolState::surplus);
            let crowd = from.map_or(0, |from| from.in_rack(instance.rack));
            (
                surplus == 0,
                pool_state.domain_count(instance),
                pool_state.in_rack(instance.rack),
                Reverse(crowd),
            )
        })
        .map(|(index, _)| index)
}
