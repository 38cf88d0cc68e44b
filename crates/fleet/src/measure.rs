//! Cost of a fleet over a history of rows: buffer, moves and roll-out time.
//!
//! * Buffer cost: slot-hours of pool members beyond the promised number. A member counts from its
//!   first placement until it is lost, also while it reboots, since it is reserved for that pool.
//!   Spares are counted separately, because any pool may use them.
//! * Lower bound: for each pool, the smallest buffer that its budget requires under any placement:
//!   the worst loss with the best possible spread, plus the headroom for planned work
//!   ([`crate::placement::target`]).
//! * Moves: changes of an instance from one pool to another.
//! * Roll-out time: from the start of a wave to its end ([`rollout_duration`]).

use crate::{
    placement::{self, Weights, target},
    state::Fleet,
    wave,
};
use primroseroute_domain::{id, instance::SLOTS, time::Instant};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

const SECONDS_PER_HOUR: f64 = 3_600.0;

/// Cost of one pool over a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Cost {
    /// Slot-hours of members beyond the promised number.
    pub buffer_slot_hours: f64,
    /// Lower bound of `buffer_slot_hours` under any placement.
    pub bound_slot_hours: f64,
    /// Instances that moved into the pool from another pool.
    pub moves: u32,
}

/// Cost of a fleet over a period.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Report {
    /// Cost of each pool.
    pub pools: BTreeMap<id::Pool, Cost>,
    /// Slot-hours of spares, which any pool may use.
    pub spare_slot_hours: f64,
}

impl Report {
    /// Sum of the costs of all pools.
    pub fn total(&self) -> Cost {
        let add = |sum: Cost, cost: &Cost| Cost {
            buffer_slot_hours: sum.buffer_slot_hours + cost.buffer_slot_hours,
            bound_slot_hours: sum.bound_slot_hours + cost.bound_slot_hours,
            moves: sum.moves + cost.moves,
        };
        self.pools.values().fold(Cost::default(), add)
    }
}

/// Accumulates the cost of a history from successive states of the fleet.
#[derive(Clone, Debug)]
pub struct Meter {
    weights: Weights,
    last: Option<(Instant, Fleet)>,
    report: Report,
}

impl Meter {
    /// A meter without observations.
    pub fn new(weights: Weights) -> Self {
        Self {
            weights,
            last: None,
            report: Report::default(),
        }
    }

    /// Records the state of the fleet from `now` on; `now` must not decrease between calls.
    pub fn observe(&mut self, fleet: &Fleet, now: Instant) {
        if let Some((since, before)) = self.last.take() {
            self.add_period(&before, now.since(since));
            self.add_moves(&before, fleet);
        }
        self.last = Some((now, fleet.clone()));
    }

    /// The cost up to the last observation.
    pub fn report(&self) -> &Report {
        &self.report
    }

    fn add_period(&mut self, fleet: &Fleet, period: Duration) {
        let slot_hours = f64::from(SLOTS) * period.as_secs_f64() / SECONDS_PER_HOUR;
        let bounds = lower_bounds(fleet, self.weights);
        for (pool, members) in members_by_pool(fleet) {
            let Some(budget) = fleet.budgets.get(pool) else {
                continue;
            };
            let cost = self.report.pools.entry(pool.clone()).or_default();
            let surplus = members.saturating_sub(budget.promised);
            cost.buffer_slot_hours += f64::from(surplus) * slot_hours;
            cost.bound_slot_hours += f64::from(bounds[pool]) * slot_hours;
        }
        let spares = fleet
            .rows
            .values()
            .filter(|row| fleet.is_spare(row))
            .count();
        self.report.spare_slot_hours += spares as f64 * slot_hours;
    }

    fn add_moves(&mut self, before: &Fleet, after: &Fleet) {
        for (instance, row) in &after.rows {
            let old = before.rows.get(instance).and_then(|row| row.pool.as_ref());
            if let (Some(old), Some(new)) = (old, &row.pool)
                && old != new
            {
                self.report.pools.entry(new.clone()).or_default().moves += 1;
            }
        }
    }
}

/// Slot-hours over `period` of the members that the pools of `fleet` have beyond the promised
/// number.
pub fn buffer_slot_hours(fleet: &Fleet, period: Duration) -> f64 {
    let surplus = members_by_pool(fleet).into_iter().map(|(pool, members)| {
        let promised = fleet.budgets.get(pool).map_or(0, |budget| budget.promised);
        f64::from(members.saturating_sub(promised))
    });
    surplus.sum::<f64>() * f64::from(SLOTS) * period.as_secs_f64() / SECONDS_PER_HOUR
}

/// The smallest number of members that each pool needs beyond the promised number.
pub fn lower_bounds(fleet: &Fleet, weights: Weights) -> BTreeMap<&id::Pool, u32> {
    let mut racks = BTreeMap::<_, u32>::new();
    let mut zones = BTreeMap::<_, u32>::new();
    for row in fleet.rows.values() {
        *racks.entry(&row.rack).or_default() += 1;
        *zones.entry(&row.zone).or_default() += 1;
    }
    let racks: Vec<_> = racks.into_values().collect();
    let zones: Vec<_> = zones.into_values().collect();
    let budgets = fleet.budgets.iter();
    budgets
        .map(|(pool, budget)| {
            let target = target(budget, weights, &racks, &zones);
            (pool, target.worst_loss + target.headroom)
        })
        .collect()
}

fn members_by_pool(fleet: &Fleet) -> BTreeMap<&id::Pool, u32> {
    let mut members = BTreeMap::new();
    for row in fleet.rows.values() {
        if let Some(pool) = placement::effective_pool(fleet, row) {
            *members.entry(pool).or_default() += 1;
        }
    }
    members
}

/// Duration of a wave, until `now` if it has not ended.
pub fn rollout_duration(wave: &wave::Row, now: Instant) -> Duration {
    wave.ended.unwrap_or(now).since(wave.started)
}
