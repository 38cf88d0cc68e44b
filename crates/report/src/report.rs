//! The costs of a period.

use primroseroute_domain::{id, time::Instant};
use primroseroute_fleet::{measure::Cost, wave::State};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A time range that includes its start and excludes its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Period {
    /// Start, included.
    pub from: Instant,
    /// End, not included; a period that ends before it starts is empty.
    pub to: Instant,
}

/// Cost of one pool or one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Line {
    /// Buffer cost, its lower bound, and moves into the pool or account.
    pub cost: Cost,
    /// Time during which a wave covered one of its instances.
    pub rollout_seconds: f64,
}

/// Cost of one wave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Wave {
    /// Its name, which a later wave may reuse.
    pub id: id::Wave,
    /// Its state at the end of the period.
    pub state: State,
    /// When it began.
    pub started: Instant,
    /// When it ended; `None` if it did not end within the period.
    pub ended: Option<Instant>,
    /// Pools of which it covered an instance during the period.
    pub pools: BTreeSet<id::Pool>,
    /// Cost of these pools within the period and before the wave's end.
    pub cost: Cost,
    /// Time from its start to its end, or to the period's end.
    pub rollout_seconds: f64,
    /// Instances that it rebooted and that came back, within the period.
    pub maintained: u32,
}

/// Cost of a fleet over a period.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Report {
    /// The period.
    pub period: Period,
    /// Number of changes within the period.
    pub changes: u64,
    /// Accounts that had a pool within the period.
    pub accounts: BTreeMap<id::Account, Line>,
    /// Pools that had an availability budget within the period.
    pub pools: BTreeMap<id::Pool, Line>,
    /// The account of each pool.
    pub owners: BTreeMap<id::Pool, id::Account>,
    /// Waves that had not ended before the period, ordered by their start.
    pub waves: Vec<Wave>,
    /// Slot-hours of spare instances, which any pool may take.
    pub spare_slot_hours: f64,
}

impl Report {
    /// Total cost of all pools.
    pub fn total(&self) -> Cost {
        self.pools
            .values()
            .map(|line| line.cost)
            .fold(Cost::default(), add)
    }
}

/// The sum of two costs.
pub(crate) fn add(a: Cost, b: Cost) -> Cost {
    Cost {
        buffer_slot_hours: a.buffer_slot_hours + b.buffer_slot_hours,
        bound_slot_hours: a.bound_slot_hours + b.bound_slot_hours,
        moves: a.moves + b.moves,
    }
}
