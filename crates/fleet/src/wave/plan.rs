//! The dry run of a wave: its batches, how long it takes and what it costs.

use super::{
    row::{Order, Row},
    select::select,
};
use crate::{
    budget::{Forbidden, Standing},
    lifecycle, measure,
    placement::{self, Weights},
    state::Fleet,
};
use primroseroute_domain::{
    account::Budget,
    id,
    instance::{Row as Instance, State},
    outcome::{Code, Refusal},
    time::Instant,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Instances that go out together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Batch {
    /// Seconds after the wave's start.
    pub after_seconds: u64,
    /// The instances, with the pool of each; none for a spare.
    pub instances: BTreeMap<id::Instance, Option<id::Pool>>,
}

/// What a wave would do if nothing failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// The batches in order.
    pub batches: Vec<Batch>,
    /// Seconds from its start to the last instance's return.
    pub rollout_seconds: u64,
    /// Idle slot-hours that the pools hold during the wave beyond their promises.
    pub buffer_slot_hours: f64,
    /// Moves between pools that have to come first, for budgets to allow the wave.
    pub moves: usize,
    /// Whether the wave ends before its window closes.
    pub fits_window: bool,
}

/// Plans `order` over `fleet`, beside the waves in `others`.
///
/// # Errors
/// [`Code::NotFound`] where it covers no instance, [`Code::WaveOverlaps`] where a wave that has not
/// ended covers one of its instances, [`Code::WaveCannotFinish`] where a budget never lets one of
/// them leave.
pub fn plan(
    fleet: &Fleet,
    weights: Weights,
    order: &Order,
    others: &[Row],
    now: Instant,
) -> Result<Plan, Refusal> {
    if !fleet.rows.values().any(|row| order.scope.covers(row)) {
        return Err(Refusal::new(Code::NotFound, "the wave covers no instance"));
    }
    overlap(fleet, order, others)?;
    let placed = placement::plan(fleet, weights);
    let mut rehearsal = rehearse(fleet, &placed);
    while let Some(row) = relief(&rehearsal, order) {
        let state = State::Serving;
        rehearsal
            .rows
            .insert(row.id.clone(), Instance { state, ..row });
    }
    if let Some(refusal) = never(&rehearsal, order) {
        return Err(refusal);
    }
    let begins = order.window.opens.map_or(now, |opens| opens.max(now));
    let batches = batches(&mut rehearsal, order, begins);
    let rollout = order.limits.reboot() * u32::try_from(batches.len()).unwrap_or(u32::MAX);
    let ends = begins.after(rollout);
    Ok(Plan {
        batches,
        rollout_seconds: rollout.as_secs(),
        buffer_slot_hours: measure::buffer(&rehearsal, rollout),
        moves: placed.drains(),
        fits_window: order.window.closes.is_none_or(|closes| ends <= closes),
    })
}

fn overlap(fleet: &Fleet, order: &Order, others: &[Row]) -> Result<(), Refusal> {
    let open = others
        .iter()
        .filter(|other| !other.state.has_ended() && other.id() != &order.id);
    for other in open {
        let is_shared = |row: &&Instance| order.scope.covers(row) && other.order.scope.covers(row);
        if let Some(row) = fleet.rows.values().find(is_shared) {
            let detail = format!(
                "`{}` covers `{}` and is {}",
                other.id(),
                row.id,
                other.state
            );
            return Err(Refusal::new(Code::WaveOverlaps, detail));
        }
    }
    Ok(())
}

/// The fleet once the moves of `placed` are done and everything that is to come back is back.
fn rehearse(fleet: &Fleet, placed: &placement::Plan) -> Fleet {
    let mut rehearsal = fleet.clone();
    for step in &placed.moves {
        if let Some(row) = rehearsal.rows.get_mut(&step.instance) {
            row.pool = Some(step.to.clone());
            row.state = State::Serving;
        }
    }
    for row in rehearsal.rows.values_mut() {
        if let Some(pool) = placement::home(fleet, row).cloned() {
            row.pool = Some(pool);
            row.state = State::Serving;
            row.purpose = None;
        }
    }
    rehearsal
}

/// Why `order` can never finish: the first instance that could not leave its pool although every
/// other member serves, with what would allow it.
pub(super) fn never(fleet: &Fleet, order: &Order) -> Option<Refusal> {
    let standings = whole(fleet);
    let members = fleet.rows.values().filter(|row| order.scope.covers(row));
    members.into_iter().find_map(|row| {
        let pool = placement::home(fleet, row)?;
        let budget = fleet.budgets.get(pool)?;
        let why = standings.get(pool)?.may_leave(row, budget).err()?;
        let detail = format!(
            "pool `{pool}` never lets `{}` leave: {why}; {} would allow it",
            row.id,
            remedy(budget, why),
        );
        Some(Refusal::new(Code::WaveCannotFinish, detail))
    })
}

/// A spare that would let an instance of `order` leave that otherwise never can, given to its pool.
///
/// A pool can have its members and be spread so badly, after losses, that those outside its fullest
/// domain can never leave: without this the wave would wait for ever beside the spare. The spare is
/// taken only here, where a wave needs it, since each member more is buffer held from then on.
pub(super) fn relief(fleet: &Fleet, order: &Order) -> Option<Instance> {
    let standings = whole(fleet);
    let covered = fleet.rows.values().filter(|row| order.scope.covers(row));
    covered.into_iter().find_map(|row| {
        let pool = placement::home(fleet, row)?;
        let budget = fleet.budgets.get(pool)?;
        let standing = standings.get(pool)?;
        if standing.may_leave(row, budget).is_ok() {
            return None;
        }
        let helps = |spare: &&Instance| {
            let mut with = standing.clone();
            with.join(spare);
            with.may_leave(row, budget).is_ok()
        };
        let mut spares = fleet.rows.values().filter(|row| fleet.is_spare(row));
        lifecycle::assign(spares.find(helps)?, pool).ok()
    })
}

/// How each pool stands when all of its members serve.
fn whole(fleet: &Fleet) -> BTreeMap<id::Pool, Standing> {
    let mut standings: BTreeMap<_, Standing> = BTreeMap::new();
    for row in fleet.rows.values() {
        if let Some(pool) = placement::home(fleet, row) {
            standings.entry(pool.clone()).or_default().join(row);
        }
    }
    standings
}

fn remedy(budget: &Budget, why: Forbidden) -> String {
    match why {
        Forbidden::MaxAbsent { .. } => "a max-absent of at least 1".to_owned(),
        Forbidden::Promise { left, domain, .. } => format!(
            "a promise of {left}, or {} more in another {domain}",
            budget.promised - left,
        ),
    }
}

/// Lets the wave go through in rounds, each as long as one reboot.
fn batches(rehearsal: &mut Fleet, order: &Order, begins: Instant) -> Vec<Batch> {
    let wave = Row::begin(order.clone(), begins);
    let reboot = order.limits.reboot();
    let mut batches = Vec::new();
    let mut waited = Duration::ZERO;
    let mut done = 0;
    loop {
        let out = select(rehearsal, &wave, order.limits.width(done));
        let ids: Vec<_> = out.into_iter().map(|row| row.id.clone()).collect();
        if ids.is_empty() {
            return batches;
        }
        let mut instances = BTreeMap::new();
        for id in ids {
            let Some(row) = rehearsal.rows.get_mut(&id) else {
                continue;
            };
            row.maintained = Some(begins);
            instances.insert(id, row.pool.clone());
            done += 1;
        }
        batches.push(Batch {
            after_seconds: waited.as_secs(),
            instances,
        });
        waited += reboot;
    }
}
