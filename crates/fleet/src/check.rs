//! Independent checker of the invariants I1 and I2 over a history of rows and views.
//!
//! It shares no code with the planner: it recounts the rows of every [`FleetSnapshot`] from the
//! definitions of the invariants. Tests of any crate record snapshots and pass them to [`history`].
//!
//! * I1: an instance has one row, and no two of the table and the entries' views send requests to
//!   it, or have requests in flight on it, for different pools.
//! * I2: a planned step never leaves a pool with fewer instances than promised. A step is planned
//!   if an operator, a move or a wave takes out a serving instance. An unplanned loss alone is not
//!   a breach. An instance that fails after a move or a wave took it out is an unplanned loss: it
//!   counts against the margin and no longer as out for planned work.

use primroseroute_domain::{
    account::{Budget, Survive},
    id,
    instance::{Purpose, Row, State},
    time::Instant,
};
use std::collections::{BTreeMap, BTreeSet};

/// Routing state of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The pool for which the entry sends requests to each instance.
    pub sends: BTreeMap<id::Instance, id::Pool>,
    /// The pool for which the entry has requests in flight on each instance.
    pub in_flight: BTreeMap<id::Instance, id::Pool>,
}

/// The state of the fleet after one transaction or event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSnapshot {
    /// Time of the transaction or event.
    pub at: Instant,
    /// All rows of the table; a list, so that a duplicate row is detected.
    pub rows: Vec<Row>,
    /// The budget of each pool.
    pub budgets: BTreeMap<id::Pool, Budget>,
    /// Instances that actually cannot serve, whatever their rows say.
    pub down: BTreeSet<id::Instance>,
    /// The subset of `down` that the controller could know of.
    pub known: BTreeSet<id::Instance>,
    /// The view of each entry.
    pub views: BTreeMap<id::Entry, View>,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// I1: one instance has two rows.
    DoubledRow {
        /// Time of the state that breaks the invariant.
        at: Instant,
        /// The instance.
        instance: id::Instance,
    },
    /// I1: one instance is used for two pools at the same time.
    TwoPools {
        /// Time of the state that breaks the invariant.
        at: Instant,
        /// The instance.
        instance: id::Instance,
        /// The pools.
        pools: BTreeSet<id::Pool>,
    },
    /// I2: more instances are out for planned work than the budget allows.
    MaxAbsent {
        /// Time of the state that breaks the invariant.
        at: Instant,
        /// The pool.
        pool: id::Pool,
        /// Instances that are out for planned work.
        absent: u32,
    },
    /// I2: after a planned step, the worst further loss in the known state would leave fewer
    /// instances than promised.
    Margin {
        /// Time of the state that breaks the invariant.
        at: Instant,
        /// The pool.
        pool: id::Pool,
        /// Instances that would serve after the loss.
        left: u32,
    },
    /// I2: after a planned step, fewer instances than promised actually serve.
    Promise {
        /// Time of the state that breaks the invariant.
        at: Instant,
        /// The pool.
        pool: id::Pool,
        /// Instances that actually serve.
        serving: u32,
    },
}

/// All breaches in `snapshots`, which must be in chronological order.
pub fn history<'a>(snapshots: impl IntoIterator<Item = &'a FleetSnapshot>) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let mut before: Option<&FleetSnapshot> = None;
    for snapshot in snapshots {
        breaches.extend(step(before, snapshot));
        before = Some(snapshot);
    }
    breaches
}

/// All breaches at `after`, given the preceding snapshot `before`.
pub fn step(before: Option<&FleetSnapshot>, after: &FleetSnapshot) -> Vec<Breach> {
    let mut breaches = one_pool(after);
    let Some(before) = before else {
        return breaches;
    };
    for (pool, budget) in &after.budgets {
        if takes_out(before, after, pool) {
            breaches.extend(budget_holds(after, pool, budget));
        }
    }
    breaches
}

fn one_pool(snapshot: &FleetSnapshot) -> Vec<Breach> {
    let at = snapshot.at;
    let mut breaches = Vec::new();
    let mut used: BTreeMap<&id::Instance, BTreeSet<&id::Pool>> = BTreeMap::new();
    let mut rows = BTreeSet::new();
    for row in &snapshot.rows {
        if !rows.insert(&row.id) {
            breaches.push(Breach::DoubledRow {
                at,
                instance: row.id.clone(),
            });
        }
        if let (State::Serving, Some(pool)) = (row.state, &row.pool) {
            used.entry(&row.id).or_default().insert(pool);
        }
    }
    for view in snapshot.views.values() {
        for (instance, pool) in view.sends.iter().chain(&view.in_flight) {
            used.entry(instance).or_default().insert(pool);
        }
    }
    let doubled = used.into_iter().filter(|(_, pools)| pools.len() > 1);
    breaches.extend(doubled.map(|(instance, pools)| Breach::TwoPools {
        at,
        instance: instance.clone(),
        pools: pools.into_iter().cloned().collect(),
    }));
    breaches
}

fn is_planned(row: &Row) -> bool {
    let is_lost = match row.purpose {
        Some(Purpose::Operator) => false,
        Some(Purpose::Move(_) | Purpose::Wave(_)) => row.state == State::Quarantined,
        Some(Purpose::Leave) | None => return false,
    };
    row.state != State::Serving && row.state != State::Leaving && !is_lost
}

/// Whether planned work took a serving instance out of `pool` between `before` and `after`.
fn takes_out(before: &FleetSnapshot, after: &FleetSnapshot, pool: &id::Pool) -> bool {
    let served: BTreeSet<_> = before
        .rows
        .iter()
        .filter(|row| row.state == State::Serving && row.pool.as_ref() == Some(pool))
        .map(|row| &row.id)
        .collect();
    after
        .rows
        .iter()
        .any(|row| served.contains(&row.id) && is_planned(row))
}

fn budget_holds(snapshot: &FleetSnapshot, pool: &id::Pool, budget: &Budget) -> Vec<Breach> {
    let at = snapshot.at;
    let members: Vec<_> = snapshot
        .rows
        .iter()
        .filter(|row| row.pool.as_ref() == Some(pool))
        .collect();
    let mut breaches = Vec::new();
    let absent = count(members.iter().filter(|row| is_planned(row)));
    if absent > budget.max_absent {
        let pool = pool.clone();
        breaches.push(Breach::MaxAbsent { at, pool, absent });
    }
    let serving = || members.iter().filter(|row| row.state == State::Serving);
    let believed: Vec<_> = serving()
        .filter(|row| !snapshot.known.contains(&row.id))
        .collect();
    let left = survivors(&believed, budget.survive);
    if left < budget.promised {
        let pool = pool.clone();
        breaches.push(Breach::Margin { at, pool, left });
    }
    let unknown: Vec<_> = believed
        .iter()
        .filter(|row| snapshot.down.contains(&row.id))
        .collect();
    let truly = count(serving().filter(|row| !snapshot.down.contains(&row.id)));
    // A budget covers one undetected loss of the failure domain that it names, not more.
    let guarded = usize::from(budget.survive != Survive::Nothing);
    let domains: BTreeSet<_> = unknown
        .iter()
        .map(|row| domain(row, budget.survive))
        .collect();
    if truly < budget.promised && domains.len() <= guarded {
        let pool = pool.clone();
        let serving = truly;
        breaches.push(Breach::Promise { at, pool, serving });
    }
    breaches
}

fn count<T>(items: impl Iterator<Item = T>) -> u32 {
    u32::try_from(items.count()).unwrap_or(u32::MAX)
}

fn domain(row: &Row, survive: Survive) -> &str {
    match survive {
        Survive::Nothing => row.id.as_str(),
        Survive::Rack => row.rack.as_str(),
        Survive::Zone => row.zone.as_str(),
    }
}

/// The fewest of `members` left after the loss of any one failure domain, by trying each domain.
fn survivors(members: &[&&Row], survive: Survive) -> u32 {
    if survive == Survive::Nothing {
        return count(members.iter());
    }
    let domains: BTreeSet<_> = members.iter().map(|row| domain(row, survive)).collect();
    domains
        .into_iter()
        .map(|lost| count(members.iter().filter(|row| domain(row, survive) != lost)))
        .min()
        .unwrap_or(0)
}
