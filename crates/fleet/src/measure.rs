//! What a fleet costs: buffer, roll-out time and moves, from a history of rows.
//!
//! * Buffer cost: slot-hours that pools hold beyond what they promise. A member counts as held
//!   from its first placement until it is lost, also while it reboots: it is there for the pool
//!   and for nothing else. Spares are counted apart, since any pool may have them.
//! * Lower bound: for each pool, the least that its budget asks to be held beyond the promise,
//!   however well it is placed: the worst loss under the best spread, and the room for planned
//!   work ([`crate::placement::target`]).
//! * Moves: changes of an instance from one pool to another.
//! * Roll-out time: from a wave's start to its end ([`rollout`]).

use crate::{
    placement::{self, Weights, target},
    state::Fleet,
    wave,
};
use primroseroute_domain::{id, instance::SLOTS, time::Instant};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Seconds of an hour.
const HOUR: f64 = 3_600.0;

/// What one pool cost over a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Cost {
    /// Slot-hours held beyond the promise.
    pub buffer_slot_hours: f64,
    /// The least that any placement could have held.
    pub bound_slot_hours: f64,
    /// Instances that moved into the pool from another.
    pub moves: u32,
}

/// What a fleet cost over a period.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Report {
    /// Each pool's cost.
    pub pools: BTreeMap<id::Pool, Cost>,
    /// Slot-hours of spares, which any pool may have.
    pub spare_slot_hours: f64,
}

impl Report {
    /// The cost over all pools.
    pub fn total(&self) -> Cost {
        let add = |sum: Cost, cost: &Cost| Cost {
            buffer_slot_hours: sum.buffer_slot_hours + cost.buffer_slot_hours,
            bound_slot_hours: sum.bound_slot_hours + cost.bound_slot_hours,
            moves: sum.moves + cost.moves,
        };
        self.pools.values().fold(Cost::default(), add)
    }
}

/// Adds up a history that is shown to it moment by moment.
#[derive(Clone, Debug)]
pub struct Meter {
    weights: Weights,
    last: Option<(Instant, Fleet)>,
    report: Report,
}

impl Meter {
    /// A meter that has seen nothing.
    pub fn new(weights: Weights) -> Self {
        Self {
            weights,
            last: None,
            report: Report::default(),
        }
    }

    /// Takes in the fleet as it is from `now` on; times never go back.
    pub fn observe(&mut self, fleet: &Fleet, now: Instant) {
        if let Some((since, before)) = self.last.take() {
            self.add_period(&before, now.since(since));
            self.add_moves(&before, fleet);
        }
        self.last = Some((now, fleet.clone()));
    }

    /// What was added up until the last moment taken in.
    pub fn report(&self) -> &Report {
        &self.report
    }

    fn add_period(&mut self, fleet: &Fleet, period: Duration) {
        let slot_hours = f64::from(SLOTS) * period.as_secs_f64() / HOUR;
        let bounds = bounds(fleet, self.weights);
        for (pool, held) in held(fleet) {
            let Some(budget) = fleet.budgets.get(pool) else {
                continue;
            };
            let cost = self.report.pools.entry(pool.clone()).or_default();
            let beyond = held.saturating_sub(budget.promised);
            cost.buffer_slot_hours += f64::from(beyond) * slot_hours;
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

/// Slot-hours that the pools of `fleet` hold beyond their promises over `period`.
pub fn buffer(fleet: &Fleet, period: Duration) -> f64 {
    let beyond = held(fleet).into_iter().map(|(pool, held)| {
        let promised = fleet.budgets.get(pool).map_or(0, |budget| budget.promised);
        f64::from(held.saturating_sub(promised))
    });
    beyond.sum::<f64>() * f64::from(SLOTS) * period.as_secs_f64() / HOUR
}

/// The least number of members that each pool must hold beyond its promise.
pub fn bounds(fleet: &Fleet, weights: Weights) -> BTreeMap<&id::Pool, u32> {
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
            (pool, target.lost + target.room)
        })
        .collect()
}

fn held(fleet: &Fleet) -> BTreeMap<&id::Pool, u32> {
    let mut held = BTreeMap::new();
    for row in fleet.rows.values() {
        if let Some(pool) = placement::home(fleet, row) {
            *held.entry(pool).or_default() += 1;
        }
    }
    held
}

/// How long a wave took, or has taken so far.
pub fn rollout(wave: &wave::Row, now: Instant) -> Duration {
    wave.ended.unwrap_or(now).since(wave.started)
}
