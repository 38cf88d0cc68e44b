//! Assignment of instances to pools, with indexed pools, racks and zones and incremental counts.

use super::{Score, Target, Weights, effective_pool, missing, pairs, target};
use crate::state::Fleet;
use primroseroute_domain::{
    account::{Budget, Survive},
    id,
    instance::{Row, State},
};
use std::collections::BTreeMap;

/// An instance and its assigned pool.
#[derive(Clone, Debug)]
pub(super) struct PlacedInstance {
    pub id: id::Instance,
    pub rack: usize,
    pub zone: usize,
    /// Pool before the plan.
    pub original_pool: Option<usize>,
    /// Pool after the plan.
    pub assigned_pool: Option<usize>,
    /// Whether a plan may change its pool: true for spares and for members that serve.
    pub is_movable: bool,
}

/// A pool and the counts of its members under the assignment.
#[derive(Clone, Debug)]
pub(super) struct PoolState {
    pub budget: Budget,
    pub target: Target,
    pub members: u32,
    racks: Vec<u32>,
    zones: Vec<u32>,
    /// The largest member count of a failure domain.
    largest: u32,
    /// Number of failure domains with the largest count.
    largest_domains: usize,
}

impl PoolState {
    pub fn in_rack(&self, rack: usize) -> u32 {
        self.racks[rack]
    }

    pub fn in_zone(&self, zone: usize) -> u32 {
        self.zones[zone]
    }

    fn domains(&self) -> &[u32] {
        match self.budget.survive {
            Survive::Nothing => &[],
            Survive::Rack => &self.racks,
            Survive::Zone => &self.zones,
        }
    }

    /// Members in `instance`'s failure domain, of the kind whose loss the budget must survive.
    pub fn domain_count(&self, instance: &PlacedInstance) -> u32 {
        match self.budget.survive {
            Survive::Nothing => 0,
            Survive::Rack => self.racks[instance.rack],
            Survive::Zone => self.zones[instance.zone],
        }
    }

    pub fn survivors(&self) -> u32 {
        self.members - self.largest
    }

    pub fn unmet(&self) -> u32 {
        missing(&self.budget, self.survivors())
    }

    pub fn short(&self) -> u32 {
        self.target.members.saturating_sub(self.members)
    }

    pub fn surplus(&self) -> u32 {
        self.members.saturating_sub(self.target.members)
    }

    /// Whether adding `instance` would increase the number of members left after the worst loss.
    pub fn adds_survivor(&self, instance: &PlacedInstance) -> bool {
        self.budget.survive == Survive::Nothing || self.domain_count(instance) < self.largest.max(1)
    }

    /// Whether the promise would still hold after the worst loss if `instance` left the pool.
    pub fn can_release(&self, instance: &PlacedInstance) -> bool {
        let is_sole = self.largest_domains == 1 && self.domain_count(instance) == self.largest;
        let largest = self.largest - u32::from(is_sole && self.largest > 0);
        missing(&self.budget, self.members - 1 - largest) == 0
    }

    fn update(&mut self, instance: &PlacedInstance, joins: bool) {
        let step = |count: &mut u32| if joins { *count += 1 } else { *count -= 1 };
        step(&mut self.members);
        step(&mut self.racks[instance.rack]);
        step(&mut self.zones[instance.zone]);
        // The budget covers no domain loss, so the largest count stays zero.
        if self.budget.survive == Survive::Nothing {
            return;
        }
        let now = self.domain_count(instance);
        if joins {
            self.domain_grew(now);
        } else {
            self.domain_shrank(now);
        }
    }

    /// Updates the largest count after a domain grew to `now` members.
    fn domain_grew(&mut self, now: u32) {
        if now > self.largest {
            self.largest = now;
            self.largest_domains = 1;
        } else if now == self.largest {
            self.largest_domains += 1;
        }
    }

    /// Updates the largest count after a domain shrank to `now` members. Recounts the domains only
    /// if it was the last one with the largest count.
    fn domain_shrank(&mut self, now: u32) {
        if now + 1 != self.largest {
            return;
        }
        self.largest_domains -= 1;
        if self.largest_domains == 0 {
            self.largest = now;
            self.largest_domains = self.domains().iter().filter(|count| **count == now).count();
        }
    }

    pub fn crowded(&self) -> u64 {
        self.racks.iter().map(|count| pairs(*count)).sum()
    }
}

/// The assignment of all usable instances.
#[derive(Clone, Debug)]
pub(super) struct Assignment {
    pub instances: Vec<PlacedInstance>,
    pub pools: Vec<PoolState>,
    pub pool_ids: Vec<id::Pool>,
    pub weights: Weights,
}

impl Assignment {
    pub fn new(fleet: &Fleet, weights: Weights) -> Self {
        let usable: Vec<_> = fleet
            .rows
            .values()
            .filter(|row| fleet.is_spare(row) || effective_pool(fleet, row).is_some())
            .collect();
        let racks = index_names(usable.iter().map(|row| &row.rack));
        let zones = index_names(usable.iter().map(|row| &row.zone));
        let rack_sizes = domain_sizes(usable.iter().map(|row| racks[&row.rack]), racks.len());
        let zone_sizes = domain_sizes(usable.iter().map(|row| zones[&row.zone]), zones.len());
        let pool_ids: Vec<_> = fleet.budgets.keys().cloned().collect();
        let pools = fleet.budgets.values().map(|budget| PoolState {
            budget: *budget,
            target: target(budget, weights, &rack_sizes, &zone_sizes),
            members: 0,
            racks: vec![0; racks.len()],
            zones: vec![0; zones.len()],
            largest: 0,
            largest_domains: 0,
        });
        let mut assignment = Self {
            instances: Vec::with_capacity(usable.len()),
            pools: pools.collect(),
            pool_ids,
            weights,
        };
        for row in usable {
            let assigned_pool = effective_pool(fleet, row)
                .and_then(|pool| assignment.pool_ids.binary_search(pool).ok());
            let instance = PlacedInstance {
                id: row.id.clone(),
                rack: racks[&row.rack],
                zone: zones[&row.zone],
                original_pool: assigned_pool,
                assigned_pool,
                is_movable: is_movable(fleet, row),
            };
            if let Some(pool) = assigned_pool {
                assignment.pools[pool].update(&instance, true);
            }
            assignment.instances.push(instance);
        }
        assignment
    }

    /// Assigns the instance at `index` to `pool`.
    pub fn assign(&mut self, index: usize, pool: Option<usize>) {
        let instance = &mut self.instances[index];
        if let Some(old) = instance.assigned_pool {
            self.pools[old].update(instance, false);
        }
        instance.assigned_pool = pool;
        if let Some(new) = pool {
            self.pools[new].update(instance, true);
        }
    }

    pub fn score(&self) -> Score {
        let held: u64 = self
            .pools
            .iter()
            .map(|pool_state| u64::from(pool_state.members))
            .sum();
        let changes = |instance: &&PlacedInstance| {
            instance.original_pool.is_some() && instance.assigned_pool != instance.original_pool
        };
        let moves = self.instances.iter().filter(changes).count() as u64;
        Score {
            unmet: self.pools.iter().map(PoolState::unmet).sum(),
            short: self.pools.iter().map(PoolState::short).sum(),
            cost: held * u64::from(self.weights.buffer) + moves * u64::from(self.weights.moves),
            crowded: self.pools.iter().map(PoolState::crowded).sum(),
        }
    }
}

fn is_movable(fleet: &Fleet, row: &Row) -> bool {
    fleet.is_spare(row) || row.state == State::Serving
}

fn index_names<'a, K: Ord + 'a>(names: impl Iterator<Item = &'a K>) -> BTreeMap<&'a K, usize> {
    let mut numbers: BTreeMap<_, _> = names.map(|name| (name, 0)).collect();
    for (number, slot) in numbers.values_mut().enumerate() {
        *slot = number;
    }
    numbers
}

fn domain_sizes(domains: impl Iterator<Item = usize>, count: usize) -> Vec<u32> {
    let mut sizes = vec![0; count];
    for domain in domains {
        sizes[domain] += 1;
    }
    sizes
}
