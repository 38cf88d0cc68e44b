//! Placement: assignment of instances to pools.
//!
//! # Objectives, in lexicographic order
//!
//! 1. Promises: `promised` instances after the loss of the worst rack (or zone).
//! 2. Headroom: in addition, as many members as the pool's planned work takes out at a time, so
//!    that maintenance does not wait for spares ([`target`]).
//! 3. Cost: the number of members and the number of moves, each multiplied by its weight from the
//!    settings. A spare given to a pool is a member from then on; a surplus member of another pool
//!    is a member already, and moving it costs a drain. The weights decide between the two.
//! 4. Spread over racks and zones.
//!
//! # Algorithm
//!
//! A greedy pass by largest deficit runs twice: once with ties broken by the spread over zones, and
//! once by the spares left in a rack. The better result is kept and improved by local search where
//! a promise is still unmet. `docs/design/placement.md` compares the alternatives with
//! measurements.
//!
//! # Order of moves
//!
//! Spares come first, then moves in an order in which each source pool's budget holds at each step;
//! a move that no order allows is left out. [`start_moves`] begins the moves that the budgets allow
//! now and leaves the rest to the next call. Each call plans again from the rows, so a plan is
//! never stale.

mod assignment;
mod greedy;
mod local_search;
mod order;
mod target;

pub use order::start_moves;
pub use target::{Target, target};

use crate::state::Fleet;
use primroseroute_domain::{
    account::Budget,
    id,
    instance::{Purpose, Row, State},
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Weights of the placement costs, from the deployment's settings; only the ratios matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Weights {
    /// Cost of one member beyond the promised number.
    pub buffer: u32,
    /// Cost of one move between pools.
    pub moves: u32,
    /// Cost of one additional round of reboots in a wave over a pool.
    pub rollout: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            buffer: 1,
            moves: 1,
            rollout: 1,
        }
    }
}

/// A change of one instance's pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Move {
    /// The instance.
    pub instance: id::Instance,
    /// The pool that the instance leaves; none for a spare.
    pub from: Option<id::Pool>,
    /// The pool that the instance joins.
    pub to: id::Pool,
}

/// Score of an assignment; lower is better. The fields are compared in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Score {
    /// Instances below the promised number after the worst loss, over all pools.
    pub unmet: u32,
    /// Members below the targets, which include the headroom for planned work.
    pub short: u32,
    /// Weighted cost of members and moves.
    pub cost: u64,
    /// Pairs of members of the same pool in the same rack.
    pub crowded: u64,
}

/// An ordered list of moves and the promises that it leaves unmet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// The moves; no move breaks a budget if each ends before the next begins.
    pub moves: Vec<Move>,
    /// Instances below the promised number after the worst loss, for each pool that has any.
    pub unmet: BTreeMap<id::Pool, u32>,
    /// Moves of the best assignment that no order allows now.
    pub held_back: usize,
    /// Score of the best assignment, which the plan reaches if no move is held back.
    pub score: Score,
}

impl Plan {
    /// Number of moves between pools, each of which requires a drain.
    pub fn drains(&self) -> usize {
        self.moves.iter().filter(|step| step.from.is_some()).count()
    }
}

/// Plans the placement of spares and the moves that promises require.
pub fn plan(fleet: &Fleet, weights: Weights) -> Plan {
    let mut by_zone = assignment::Assignment::new(fleet, weights);
    let mut by_rack_spares = by_zone.clone();
    greedy::fill(&mut by_zone, greedy::TieBreak::Zone);
    greedy::fill(&mut by_rack_spares, greedy::TieBreak::RackSpares);
    let mut best = if by_rack_spares.score() < by_zone.score() {
        by_rack_spares
    } else {
        by_zone
    };
    local_search::improve(&mut best);
    order::ordered_plan(fleet, &best)
}

/// The pool to which `row` contributes capacity once its current operation is complete.
///
/// An instance that is lost, quarantined or being removed by the platform contributes to none: its
/// pool may need a replacement.
pub fn effective_pool<'a>(fleet: &Fleet, row: &'a Row) -> Option<&'a id::Pool> {
    // Absence means a loss only for a serving instance. An instance in maintenance is listed as
    // rebooting, and replacing it would cost a move for each instance of a wave.
    if row.state == State::Serving && fleet.absent.contains(&row.id) {
        return None;
    }
    match (row.state, &row.purpose) {
        (State::Draining, Some(Purpose::Move(to))) => Some(to),
        (State::Draining, Some(Purpose::Leave))
        | (State::Arriving | State::Quarantined | State::Leaving, _) => None,
        (State::Probation | State::Serving | State::Draining | State::Maintenance, _) => {
            row.pool.as_ref()
        }
    }
}

/// Number of pairs among `count` members.
fn pairs(count: u32) -> u64 {
    let count = u64::from(count);
    count * count.saturating_sub(1) / 2
}

/// Instances below `budget.promised` with `left` instances after the worst loss.
fn missing(budget: &Budget, left: u32) -> u32 {
    budget.promised.saturating_sub(left)
}
