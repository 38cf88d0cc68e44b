//! What a pool's availability budget allows now.
//!
//! A pool's instances may leave as long as three things hold afterwards: at most `max_absent` are
//! held out by planned work, `promised` serve, and `promised` would still serve after the sudden
//! loss of the worst rack (or zone, where the budget asks for it). The loss is counted over the
//! instances that serve *now*, so an unplanned absence shrinks the room as soon as it is known.
//!
//! # Why a late list breaks no promise
//!
//! The margin covers the worst domain among the believed-present instances. Where one domain is
//! already lost and not yet known to be, the instances that really serve are at least the believed
//! ones less the worst domain, which is still `promised`.
//!
//! # Cost
//!
//! A [`Standing`] keeps one count for each rack and zone of the pool and a count of those counts,
//! so a departure costs O(log racks) and the worst domain is read off the last key.

use crate::state::{Fleet, is_planned_out};
use primroseroute_domain::{
    account::{Budget, Survive},
    id,
    instance::Row,
};
use std::{collections::BTreeMap, fmt};

/// Why an instance may not leave its pool now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Forbidden {
    /// Planned work already holds as many absent as it may.
    #[error("planned work holds {absent} absent, and at most {max_absent} may be")]
    MaxAbsent {
        /// Instances that planned work holds absent.
        absent: u32,
        /// The most that it may.
        max_absent: u32,
    },
    /// Too few would serve after the worst further loss.
    #[error("{left} would serve after the loss of the worst {domain}, and {promised} are promised")]
    Promise {
        /// Instances that would still serve.
        left: u32,
        /// Instances that must.
        promised: u32,
        /// The failure domain of the loss.
        domain: Domain,
    },
}

/// The failure domain of a [`Survive`], for people.
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

/// Counts of members by domain, with the largest count at hand.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Tally<K> {
    members: BTreeMap<K, u32>,
    domains: BTreeMap<u32, u32>,
}

impl<K: Ord + Clone> Tally<K> {
    fn new() -> Self {
        Self {
            members: BTreeMap::new(),
            domains: BTreeMap::new(),
        }
    }

    fn count(&self, domain: &K) -> u32 {
        self.members.get(domain).copied().unwrap_or(0)
    }

    fn set(&mut self, domain: &K, before: u32, after: u32) {
        if let Some(domains) = self.domains.get_mut(&before) {
            *domains -= 1;
            if *domains == 0 {
                self.domains.remove(&before);
            }
        }
        if after == 0 {
            self.members.remove(domain);
            return;
        }
        *self.domains.entry(after).or_default() += 1;
        self.members.insert(domain.clone(), after);
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
        self.domains.last_key_value().map_or(0, |(count, _)| *count)
    }

    /// The largest count once one member of `domain` has left.
    fn largest_without(&self, domain: &K) -> u32 {
        let largest = self.largest();
        let is_sole = self.domains.get(&largest) == Some(&1);
        largest - u32::from(is_sole && self.count(domain) == largest)
    }
}

/// How a pool stands: who is present, by domain, and how many planned work holds absent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    present: u32,
    planned: u32,
    racks: Tally<id::Rack>,
    zones: Tally<id::Zone>,
}

impl Default for Standing {
    fn default() -> Self {
        Self {
            present: 0,
            planned: 0,
            racks: Tally::new(),
            zones: Tally::new(),
        }
    }
}

impl Standing {
    /// Instances that serve now.
    pub fn present(&self) -> u32 {
        self.present
    }

    /// Instances that planned work holds absent.
    pub fn planned(&self) -> u32 {
        self.planned
    }

    /// Instances that serve now in `rack`.
    pub fn in_rack(&self, rack: &id::Rack) -> u32 {
        self.racks.count(rack)
    }

    /// Instances that serve now in `zone`.
    pub fn in_zone(&self, zone: &id::Zone) -> u32 {
        self.zones.count(zone)
    }

    /// Instances that would serve after the worst further loss of `survive`.
    pub fn left(&self, survive: Survive) -> u32 {
        let lost = match survive {
            Survive::Nothing => 0,
            Survive::Rack => self.racks.largest(),
            Survive::Zone => self.zones.largest(),
        };
        self.present - lost
    }

    /// Instances missing from the promise after the worst further loss; zero where it holds.
    pub fn deficit(&self, budget: &Budget) -> u32 {
        budget.promised.saturating_sub(self.left(budget.survive))
    }

    /// Counts a new member at `row`'s place.
    pub fn join(&mut self, row: &Row) {
        self.present += 1;
        self.racks.add(&row.rack);
        self.zones.add(&row.zone);
    }

    /// Counts a member at `row`'s place out; `row` must have been counted present.
    pub fn leave(&mut self, row: &Row) {
        self.present -= 1;
        self.racks.remove(&row.rack);
        self.zones.remove(&row.zone);
    }

    /// Counts a present member out for planned work.
    pub fn take_out(&mut self, row: &Row) {
        self.leave(row);
        self.planned += 1;
    }

    /// Whether planned work may take `row`, which is present, out now.
    ///
    /// # Errors
    /// The limit of the budget that forbids it.
    pub fn may_leave(&self, row: &Row, budget: &Budget) -> Result<(), Forbidden> {
        if self.planned >= budget.max_absent {
            return Err(Forbidden::MaxAbsent {
                absent: self.planned,
                max_absent: budget.max_absent,
            });
        }
        let left = self.left_without(row, budget.survive);
        if left < budget.promised {
            return Err(Forbidden::Promise {
                left,
                promised: budget.promised,
                domain: Domain(budget.survive),
            });
        }
        Ok(())
    }

    fn left_without(&self, row: &Row, survive: Survive) -> u32 {
        let lost = match survive {
            Survive::Nothing => 0,
            Survive::Rack => self.racks.largest_without(&row.rack),
            Survive::Zone => self.zones.largest_without(&row.zone),
        };
        self.present - 1 - lost
    }

    /// Orders candidates to leave: those whose domain is the fullest come first.
    ///
    /// Taking from the fullest domain lowers the worst loss, so it leaves the most room; the other
    /// domain breaks ties, which keeps the pool spread.
    pub fn fullness(&self, row: &Row, survive: Survive) -> (u32, u32) {
        let rack = self.in_rack(&row.rack);
        let zone = self.in_zone(&row.zone);
        match survive {
            Survive::Zone => (zone, rack),
            Survive::Nothing | Survive::Rack => (rack, zone),
        }
    }
}

/// How every pool with a budget stands.
pub fn standings(fleet: &Fleet) -> BTreeMap<id::Pool, Standing> {
    let mut standings: BTreeMap<_, _> = fleet
        .budgets
        .keys()
        .map(|pool| (pool.clone(), Standing::default()))
        .collect();
    for row in fleet.rows.values() {
        let Some(standing) = row.pool.as_ref().and_then(|pool| standings.get_mut(pool)) else {
            continue;
        };
        if fleet.is_present(row) {
            standing.join(row);
        } else if is_planned_out(row) {
            standing.planned += 1;
        }
    }
    standings
}

/// Takes out of `standing` a largest set of `candidates` that may leave together, at most `most`.
///
/// Greedy by fullest domain is exact: for each number of departures it leaves the least possible
/// largest domain, and the survivors never grow as more leave.
pub fn take<'a>(
    standing: &mut Standing,
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
            .max_by_key(|(_, row)| standing.fullness(row, budget.survive));
        let Some((index, row)) = fullest else { break };
        if standing.may_leave(row, budget).is_err() {
            break;
        }
        standing.take_out(row);
        taken.push(waiting.remove(index));
    }
    taken
}

/// The instances of `pool` that may leave together now, beginning with the best to go.
pub fn room(fleet: &Fleet, pool: &id::Pool) -> Vec<id::Instance> {
    let Some(budget) = fleet.budgets.get(pool) else {
        return Vec::new();
    };
    let mut standing = standings(fleet).remove(pool).unwrap_or_default();
    let candidates = fleet
        .rows
        .values()
        .filter(|row| row.pool.as_ref() == Some(pool) && fleet.is_present(row));
    take(&mut standing, budget, candidates, u32::MAX)
        .into_iter()
        .map(|row| row.id.clone())
        .collect()
}
