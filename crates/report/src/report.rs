//! The figures of a period.

use primroseroute_domain::{id, time::Instant};
use primroseroute_fleet::{measure::Cost, wave::State};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// From an instant, included, to another, not included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Period {
    /// Its start.
    pub from: Instant,
    /// Its end; a period that ends before it starts is empty.
    pub to: Instant,
}

/// What one pool or one account cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Line {
    /// Buffer cost, its lower bound, and moves into it.
    pub cost: Cost,
    /// Seconds in which a wave covered an instance of it.
    pub rollout_seconds: f64,
}

/// What one wave cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Wave {
    /// Its name; a name may be used again for a later wave.
    pub id: id::Wave,
    /// What it was doing at the end of the period.
    pub state: State,
    /// When it began.
    pub started: Instant,
    /// When it ended; none where that was not in the period.
    pub ended: Option<Instant>,
    /// Pools of which it covered an instance in the period.
    pub pools: BTreeSet<id::Pool>,
    /// What these pools cost in the period while the wave had not ended.
    pub cost: Cost,
    /// Seconds from its start to its end, or to the period's end.
    pub rollout_seconds: f64,
    /// Instances that it rebooted and that came back, in the period.
    pub maintained: u32,
}

/// What a fleet cost over a period.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Report {
    /// The period.
    pub period: Period,
    /// Changes in the period.
    pub changes: u64,
    /// Each account that had a pool in the period.
    pub accounts: BTreeMap<id::Account, Line>,
    /// Each pool that was promised in the period.
    pub pools: BTreeMap<id::Pool, Line>,
    /// The account of each pool.
    pub owners: BTreeMap<id::Pool, id::Account>,
    /// Waves that had not ended before the period, in the order of their start.
    pub waves: Vec<Wave>,
    /// Slot-hours of spares, which any pool may have.
    pub spare_slot_hours: f64,
}

impl Report {
    /// The cost over all pools.
    pub fn total(&self) -> Cost {
        self.pools
            .values()
            .map(|line| line.cost)
            .fold(Cost::default(), add)
    }
}

/// Both costs together.
pub(crate) fn add(a: Cost, b: Cost) -> Cost {
    Cost {
        buffer_slot_hours: a.buffer_slot_hours + b.buffer_slot_hours,
        bound_slot_hours: a.bound_slot_hours + b.bound_slot_hours,
        moves: a.moves + b.moves,
    }
}
