//! Local search after the greedy pass: small changes that lower the score.
//!
//! Three kinds of change are tried: an instance is assigned to a pool with a deficit; two instances
//! exchange their pools; a moved instance returns to its original pool and another replaces it. The
//! first change that lowers the score is kept. A change affects at most three pools, so only these
//! are scored.

use super::assignment::{Assignment, PlacedInstance};

/// Limit of changes tried in one plan, to bound its time: one takes about 1 µs at 300 racks.
const MAX_TRIALS: usize = 20_000;

/// An instance and its new pool.
#[derive(Clone, Copy, Debug)]
struct Reassignment {
    index: usize,
    to: Option<usize>,
}

/// Score of the affected pools; lower is better. The fields are compared in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LocalScore {
    unmet: u32,
    short: u32,
    cost: u64,
}

struct Search<'a> {
    assignment: &'a mut Assignment,
    trials: usize,
}

/// Applies small changes as long as one lowers the score.
pub(super) fn improve(assignment: &mut Assignment) {
    let mut search = Search {
        assignment,
        trials: 0,
    };
    while search.trials < MAX_TRIALS
        && (search.fill_deficit() || search.swap() || search.revert_move())
    {}
}

impl Search<'_> {
    /// Moves an instance to a pool with a deficit.
    fn fill_deficit(&mut self) -> bool {
        self.deficient_pools().into_iter().any(|pool| {
            self.outside(pool).into_iter().any(|index| {
                let to = Some(pool);
                self.keep_if_better(&[Reassignment { index, to }])
            })
        })
    }

    /// Exchanges a member of a pool with a deficit for an instance outside that pool.
    fn swap(&mut self) -> bool {
        self.deficient_pools().into_iter().any(|pool| {
            let members = self.members_in_largest_domain(pool);
            members.into_iter().any(|member| {
                self.outside(pool).into_iter().any(|other| {
                    let assigned_pool = self.assignment.instances[other].assigned_pool;
                    let changes = [
                        Reassignment {
                            index: other,
                            to: Some(pool),
                        },
                        Reassignment {
                            index: member,
                            to: assigned_pool,
                        },
                    ];
                    self.keep_if_better(&changes)
                })
            })
        })
    }

    /// Reverts a move, alone or with another instance as the replacement.
    fn revert_move(&mut self) -> bool {
        let spares = self.spares();
        self.moved().into_iter().any(|index| {
            if self.trials >= MAX_TRIALS {
                return false;
            }
            let instance = &self.assignment.instances[index];
            let (original_pool, assigned_pool) = (instance.original_pool, instance.assigned_pool);
            let back = Reassignment {
                index,
                to: original_pool,
            };
            if self.keep_if_better(&[back]) {
                return true;
            }
            let Some(pool) = assigned_pool else {
                return false;
            };
            self.outside(pool).into_iter().any(|other| {
                let from = self.assignment.instances[other].assigned_pool;
                let replacement = Reassignment {
                    index: other,
                    to: assigned_pool,
                };
                // If the replacement left another pool, a spare may have to take its place there.
                self.keep_if_better(&[back, replacement])
                    || self.backfill(back, replacement, from, &spares)
            })
        })
    }

    fn backfill(
        &mut self,
        back: Reassignment,
        replacement: Reassignment,
        vacated: Option<usize>,
        spares: &[usize],
    ) -> bool {
        let spare = spares.iter().find(|spare| **spare != replacement.index);
        let (Some(_), Some(&index)) = (vacated, spare) else {
            return false;
        };
        self.keep_if_better(&[back, replacement, Reassignment { index, to: vacated }])
    }

    fn deficient_pools(&self) -> Vec<usize> {
        let pools = self.assignment.pools.iter().enumerate();
        pools
            .filter(|(_, pool_state)| pool_state.unmet() > 0 || pool_state.short() > 0)
            .map(|(pool, _)| pool)
            .collect()
    }

    fn movable(&self, matches: impl Fn(&PlacedInstance) -> bool) -> Vec<usize> {
        let instances = self.assignment.instances.iter().enumerate();
        instances
            .filter(|(_, instance)| instance.is_movable && matches(instance))
            .map(|(index, _)| index)
            .collect()
    }

    fn outside(&self, pool: usize) -> Vec<usize> {
        self.movable(|instance| instance.assigned_pool != Some(pool))
    }

    fn moved(&self) -> Vec<usize> {
        self.movable(|instance| {
            instance.original_pool.is_some() && instance.original_pool != instance.assigned_pool
        })
    }

    fn spares(&self) -> Vec<usize> {
        self.movable(|instance| instance.assigned_pool.is_none())
    }

    fn members_in_largest_domain(&self, pool: usize) -> Vec<usize> {
        let pool_state = &self.assignment.pools[pool];
        let members = self.movable(|instance| instance.assigned_pool == Some(pool));
        let domain_count =
            |index: &usize| pool_state.domain_count(&self.assignment.instances[*index]);
        let largest = members.iter().map(domain_count).max();
        members
            .iter()
            .copied()
            .filter(|index| Some(domain_count(index)) == largest)
            .collect()
    }

    /// Applies `changes`, and undoes them unless they lower the score.
    fn keep_if_better(&mut self, changes: &[Reassignment]) -> bool {
        // A member never becomes a spare: an instance keeps its pool until it gets another one.
        let loses_pool = |change: &Reassignment| {
            change.to.is_none()
                && self.assignment.instances[change.index]
                    .original_pool
                    .is_some()
        };
        if self.trials >= MAX_TRIALS || changes.iter().any(loses_pool) {
            return false;
        }
        self.trials += 1;
        let undo: Vec<_> = changes
            .iter()
            .map(|change| Reassignment {
                index: change.index,
                to: self.assignment.instances[change.index].assigned_pool,
            })
            .collect();
        let mut affected: Vec<_> = changes
            .iter()
            .chain(&undo)
            .filter_map(|change| change.to)
            .collect();
        affected.sort_unstable();
        affected.dedup();
        let before = self.local_score(&affected, changes);
        self.apply(changes);
        if self.local_score(&affected, changes) < before {
            return true;
        }
        self.apply(&undo);
        false
    }

    fn apply(&mut self, changes: &[Reassignment]) {
        for change in changes {
            self.assignment.assign(change.index, change.to);
        }
    }

    fn local_score(&self, affected: &[usize], changes: &[Reassignment]) -> LocalScore {
        let weights = self.assignment.weights;
        let pools = || affected.iter().map(|pool| &self.assignment.pools[*pool]);
        let held: u64 = pools()
            .map(|pool_state| u64::from(pool_state.members))
            .sum();
        let instances = changes
            .iter()
            .map(|change| &self.assignment.instances[change.index]);
        let moves = instances
            .filter(|instance| {
                instance.original_pool.is_some() && instance.original_pool != instance.assigned_pool
            })
            .count() as u64;
        LocalScore {
            unmet: pools().map(super::assignment::PoolState::unmet).sum(),
            short: pools().map(super::assignment::PoolState::short).sum(),
            cost: held * u64::from(weights.buffer) + moves * u64::from(weights.moves),
        }
    }
}
