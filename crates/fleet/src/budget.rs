//! Availability budgets: which instances of a pool may leave it now.
//!
//! Planned work may take an instance out if three conditions hold afterwards: at most `max_absent`
//! instances are out for planned work, `promised` instances serve, and `promised` would still serve
//! after the sudden loss of the worst rack (or zone, if the budget says so). The loss is computed
//! over the instances that serve *now*, so an unplanned absence reduces the allowed disruptions as
//! soon as it is known.
//!
//! # Safety under a stale list
//!
//! The margin covers the loss of the worst failure domain among the instances believed to be
//! present. If one domain is already lost and this is not known yet, the instances that really
//! serve are at least the believed ones minus the worst domain, which is still `promised`.
//!
//! # Complexity
//!
//! An [`Availability`] has one count for each rack and zone of the pool, and a histogram of those
//! counts. A departure costs O(log racks), and the worst domain is the last key of the histogram.

use crate::state::{Fleet, is_planned_absence};
use primroseroute_domain::{
    account::{Budget, Survive},
    id,
    instance::Row,
};
use std::{collections::BTreeMap, fmt};

/// Why an instance may not leave its pool now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetViolation {
    /// Planned work already has `max_absent` instances out.
    #[error("planned work holds {absent} absent, and at most {max_absent} may be")]
    MaxAbsent {
        /// Instances that are out for planned work.
        absent: u32,
        /// The maximum that the budget allows.
        max_absent: u32,
    },
    /// Fewer than `promised` instances would serve after the worst further loss.
    #[error("{left} would serve after the loss of the worst {domain}, and {promised} are promised")]
    Promise {
        /// Instances that would still serve after the loss.
        left: u32,
        /// Instances that the budget promises.
        promised: u32,
        /// The kind of failure domain that is lost.
        domain: Domain,
    },
}

/// The kind of failure domain of a [`Survive`], for messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Domain(pub Survive);

impl fmt::Display for Domain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self.0 {
            Survive::Nothing => "nothing",
            Survive::Rack => "rack",
            Survive::Zone => "zone",
        })
    }
}

/// Members by failure domain, with constant-time access to the largest count.
#[derive(Clone, Debug, PartialEq, Eq)]
struct DomainCounts<K> {
    members_by_domain: BTreeMap<K, u32>,
    /// Number of domains by member count.
    domains_by_count: BTreeMap<u32, u32>,
}

impl<K: Ord + Clone> DomainCounts<K> {
    fn new() -> Self {
        Self {
            members_by_domain: BTreeMap::new(),
            domains_by_count: BTreeMap::new(),
        }
    }

    fn count(&self, domain: &K) -> u32 {
        self.members_by_domain.get(domain).copied().unwrap_or(0)
    }

    fn set(&mut self, domain: &K, before: u32, after: u32) {
        if let Some(domains) = self.domains_by_count.get_mut(&before) {
            *domains -= 1;
            if *domains == 0 {
                self.domains_by_count.remove(&before);
            }
        }
        if after == 0 {
            self.members_by_domain.remove(domain);
            return;
        }
        *self.domains_by_count.entry(after).or_default() += 1;
        self.members_by_domain.insert(domain.clone(), after);
    }

    fn add(&mut self, domain: &K) {
        let before = self.count(domain);
        self.set(domain, before, before + 1);
    }

    fn remove(&mut self, domain: &K) {
        let before = self.count(domain);
        self.set(domain, before, before.saturating_sub(1));
    }

    fn largest(&self) -> u32 {
        self.domains_by_count
            .last_key_value()
            .map_or(0, |(count, _)| *count)
    }

    /// The largest count after one member of `domain` leaves.
    fn largest_without(&self, domain: &K) -> u32 {
        let largest = self.largest();
        let is_sole = self.domains_by_count.get(&largest) == Some(&1);
        largest - u32::from(is_sole && self.count(domain) == largest)
    }
}

/// Availability of one pool: present members by failure domain, and members out for planned work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Availability {
    present: u32,
    planned_absent: u32,
    racks: DomainCounts<id::Rack>,
    zones: DomainCounts<id::Zone>,
}

impl Default for Availability {
    fn default() -> Self {
        Self {
            present: 0,
            planned_absent: 0,
            racks: DomainCounts::new(),
            zones: DomainCounts::new(),
        }
    }
}

impl Availability {
    /// Number of instances that serve now.
    pub fn present(&self) -> u32 {
        self.present
    }

    /// Number of instances that are out for planned work.
    pub fn planned_absent(&self) -> u32 {
        self.planned_absent
    }

    /// Number of instances that serve now in `rack`.
    pub fn in_rack(&self, rack: &id::Rack) -> u32 {
        self.racks.count(rack)
    }

    /// Number of instances that serve now in `zone`.
    pub fn in_zone(&self, zone: &id::Zone) -> u32 {
        self.zones.count(zone)
    }

    /// Number of instances that would serve after the worst further loss of `survive`.
    pub fn survivors(&self, survive: Survive) -> u32 {
        let lost = match survive {
            Survive::Nothing => 0,
            Survive::Rack => self.racks.largest(),
            Survive::Zone => self.zones.largest(),
        };
        self.present - lost
    }

    /// Number of instances below `promised` after the worst further loss; zero if the promise
    /// holds.
    pub fn deficit(&self, budget: &Budget) -> u32 {
        budget
            .promised
            .saturating_sub(self.survivors(budget.survive))
    }

    /// Adds a present member in `row`'s rack and zone.
    pub fn add_member(&mut self, row: &Row) {
        self.present += 1;
        self.racks.add(&row.rack);
        self.zones.add(&row.zone);
    }

    /// Removes a member in `row`'s rack and zone, which must have been added as present.
    pub fn remove_member(&mut self, row: &Row) {
        self.present -= 1;
        self.racks.remove(&row.rack);
        self.zones.remove(&row.zone);
    }

    /// Removes a present member and counts it as out for planned work.
    pub fn start_disruption(&mut self, row: &Row) {
        self.remove_member(row);
        self.planned_absent += 1;
    }

    /// Checks whether planned work may take out `row`, which must be present.
    ///
    /// # Errors
    /// The limit of the budget that would be exceeded.
    pub fn check_disruption(&self, row: &Row, budget: &Budget) -> Result<(), BudgetViolation> {
        if self.planned_absent >= budget.max_absent {
            return Err(BudgetViolation::MaxAbsent {
                absent: self.planned_absent,
                max_absent: budget.max_absent,
            });
        }
        let left = self.survivors_without(row, budget.survive);
        if left < budget.promised {
            return Err(BudgetViolation::Promise {
                left,
                promised: budget.promised,
                domain: Domain(budget.survive),
            });
        }
        Ok(())
    }

    fn survivors_without(&self, row: &Row, survive: Survive) -> u32 {
        let lost = match survive {
            Survive::Nothing => 0,
            Survive::Rack => self.racks.largest_without(&row.rack),
            Survive::Zone => self.zones.largest_without(&row.zone),
        };
        self.present - 1 - lost
    }

    /// Sort key of candidates to leave: members of the fullest failure domain have the largest key.
    ///
    /// Taking from the fullest domain lowers the worst loss, so it allows the most disruptions. The
    /// other kind of domain breaks ties, which keeps the pool spread.
    pub fn fullness(&self, row: &Row, survive: Survive) -> (u32, u32) {
        let rack = self.in_rack(&row.rack);
        let zone = self.in_zone(&row.zone);
        match survive {
            Survive::Zone => (zone, rack),
            Survive::Nothing | Survive::Rack => (rack, zone),
        }
    }
}

/// Availability of every pool that has a budget.
pub fn availability_by_pool(fleet: &Fleet) -> BTreeMap<id::Pool, Availability> {
    let mut availability_by_pool: BTreeMap<_, _> = fleet
        .budgets
        .keys()
        .map(|pool| (pool.clone(), Availability::default()))
        .collect();
    for row in fleet.rows.values() {
        let Some(availability) = row
            .pool
            .as_ref()
            .and_then(|pool| availability_by_pool.get_mut(pool))
        else {
            continue;
        };
        if fleet.is_present(row) {
            availability.add_member(row);
        } else if is_planned_absence(row) {
            availability.planned_absent += 1;
        }
    }
    availability_by_pool
}

/// Takes a maximum set of `candidates` that may leave together out of `availability`, at most
/// `most`.
///
/// Greedy selection by fullest domain is exact: for each number of departures it minimizes the
/// largest remaining domain, and the number of survivors never increases with more departures.
pub fn select_disruptions<'a>(
    availability: &mut Availability,
    budget: &Budget,
    candidates: impl IntoIterator<Item = &'a Row>,
    most: u32,
) -> Vec<&'a Row> {
    let mut waiting: Vec<_> = candidates.into_iter().collect();
    let mut taken = Vec::new();
    while taken.len() < most as usize {
        let fullest = waiting
            .iter()
            .enumerate()
            .rev()
            .max_by_key(|(_, row)| availability.fullness(row, budget.survive));
        let Some((index, row)) = fullest else { break };
        if availability.check_disruption(row, budget).is_err() {
            break;
        }
        availability.start_disruption(row);
        taken.push(waiting.remove(index));
    }
    taken
}

/// The instances of `pool` that may leave together now, in the order in which they should leave.
pub fn allowed_disruptions(fleet: &Fleet, pool: &id::Pool) -> Vec<id::Instance> {
    let Some(budget) = fleet.budgets.get(pool) else {
        return Vec::new();
    };
    let mut availability = availability_by_pool(fleet).remove(pool).unwrap_or_default();
    let candidates = fleet
        .rows
        .values()
        .filter(|row| row.pool.as_ref() == Some(pool) && fleet.is_present(row));
    select_disruptions(&mut availability, budget, candidates, u32::MAX)
        .into_iter()
        .map(|row| row.id.clone())
        .collect()
}
