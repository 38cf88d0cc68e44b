//! Which instance serves which pool.
//!
//! # Objective, in this order
//!
//! 1. Promises: `promised` instances after the loss of the worst rack (or zone).
//! 2. Room: beside that, as many members as the pool's planned work takes out at a time, so that
//!    maintenance does not wait for spares ([`target`]).
//! 3. Least cost: members held, by the deployment's weight of buffer, and moves, by its weight of
//!    moves. A spare given to a pool is held from then on; a surplus member of another pool is
//!    held already, and its move costs a drain. The weights decide between the two.
//! 4. Spread over racks and zones.
//!
//! # Way
//!
//! Greedy by largest deficit, twice: once with the spread of zones before the stock of racks, once
//! the other way round. The better plan is kept and improved by exchanges where a promise is still
//! unmet. `docs/design/placement.md` has the ways that were weighed and their figures.
//!
//! # Order of a plan
//!
//! Spares first, then moves in an order in which each source pool's budget holds at each step; a
//! move that no order allows is left out. [`start`] begins what the budgets allow now and leaves
//! the rest to the next call: a plan is made anew from the rows each time, so a plan is never
//! stale.

mod board;
mod exchange;
mod fill;
mod order;
mod target;

pub use order::start;
pub use target::{Target, target};

use crate::state::Fleet;
use primroseroute_domain::{
    account::Budget,
    id,
    instance::{Purpose, Row, State},
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a deployment weighs, from its settings; only the ratios count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Weights {
    /// Cost of one instance that a pool holds beyond its promise.
    pub buffer: u32,
    /// Cost of one move between pools.
    pub moves: u32,
    /// Cost of one more round of reboots in a wave over a pool.
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

/// One instance that changes its pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Move {
    /// The instance.
    pub instance: id::Instance,
    /// The pool that it leaves; none for a spare.
    pub from: Option<id::Pool>,
    /// The pool that it joins.
    pub to: id::Pool,
}

/// How good an assignment is; less is better, and the fields count in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Score {
    /// Instances missing from promises after the worst loss.
    pub unmet: u32,
    /// Members missing from room for planned work.
    pub short: u32,
    /// Weighted cost of members held and of moves.
    pub cost: u64,
    /// Pairs of members of one pool in one rack.
    pub crowded: u64,
}

/// An ordered list of moves, and what remains unmet after it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// The moves; no step breaks a budget if each ends before the next begins.
    pub moves: Vec<Move>,
    /// Instances missing from each pool's promise after the worst loss, where any are.
    pub unmet: BTreeMap<id::Pool, u32>,
    /// Moves that the best assignment has and no order of steps allows now.
    pub held_back: usize,
    /// How good the best assignment is; reached where no move is held back.
    pub score: Score,
}

impl Plan {
    /// Moves between pools, which cost a drain each.
    pub fn drains(&self) -> usize {
        self.moves.iter().filter(|step| step.from.is_some()).count()
    }
}

/// Plans the placement of every spare and the moves that promises need.
pub fn plan(fleet: &Fleet, weights: Weights) -> Plan {
    let mut by_zone = board::Board::of(fleet, weights);
    let mut by_stock = by_zone.clone();
    fill::fill(&mut by_zone, fill::Prefer::Zone);
    fill::fill(&mut by_stock, fill::Prefer::Stock);
    let mut best = if by_stock.score() < by_zone.score() {
        by_stock
    } else {
        by_zone
    };
    exchange::improve(&mut best);
    order::order(fleet, &best)
}

/// The pool whose capacity `row` is or will be part of, once what is under way is done.
///
/// An instance that is lost, quarantined or taken away by the platform is part of none: its pool
/// may need another in its place.
pub fn home<'a>(fleet: &Fleet, row: &'a Row) -> Option<&'a id::Pool> {
    // Only a serving instance is lost by being absent: one that reboots is listed as rebooting,
    // and to replace it would cost a move for each instance of a wave.
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

/// Pairs among `count` members.
fn pairs(count: u32) -> u64 {
    let count = u64::from(count);
    count * count.saturating_sub(1) / 2
}

/// How many `left` after the worst loss `budget` misses.
fn missing(budget: &Budget, left: u32) -> u32 {
    budget.promised.saturating_sub(left)
}
