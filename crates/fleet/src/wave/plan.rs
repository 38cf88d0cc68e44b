//! Dry run of a wave: batches, duration and cost.

use super::{
    row::{Order, Row},
    select::select,
};
use crate::{
    budget::{Availability, BudgetViolation},
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

/// Instances that are taken out together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Batch {
    /// Seconds from the start of the wave.
    pub after_seconds: u64,
    /// The pool of each instance; none for a spare.
    pub instances: BTreeMap<id::Instance, Option<id::Pool>>,
}

/// Course of a wave in which nothing fails.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// The batches in chronological order.
    pub batches: Vec<Batch>,
    /// Seconds from the start of the wave until the last instance is back.
    pub rollout_seconds: u64,
    /// Slot-hours of members beyond the promised numbers during the wave.
    pub buffer_slot_hours: f64,
    /// Moves between pools that must happen before budgets allow the wave.
    pub moves: usize,
    /// Whether the wave ends before its window closes.
    pub fits_window: bool,
}

/// Plans `order` over `fleet`, given the other waves `others`.
///
/// # Errors
/// [`Code::NotFound`] if it covers no instance, [`Code::WaveOverlaps`] if a wave that has not ended
/// covers one of its instances, [`Code::WaveCannotFinish`] if a budget never allows one of them to
/// leave.
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
    check_overlap(fleet, order, others)?;
    let placed = placement::plan(fleet, weights);
    let mut projected = project(fleet, &placed);
    while let Some(row) = unblocking_spare(&projected, order) {
        let state = State::Serving;
        projected
            .rows
            .insert(row.id.clone(), Instance { state, ..row });
    }
    if let Some(refusal) = cannot_finish(&projected, order) {
        return Err(refusal);
    }
    let start = order.window.opens.map_or(now, |opens| opens.max(now));
    let batches = simulate_batches(&mut projected, order, start);
    let rollout = order.limits.reboot() * u32::try_from(batches.len()).unwrap_or(u32::MAX);
    let end = start.after(rollout);
    Ok(Plan {
        batches,
        rollout_seconds: rollout.as_secs(),
        buffer_slot_hours: measure::buffer_slot_hours(&projected, rollout),
        moves: placed.drains(),
        fits_window: order.window.closes.is_none_or(|closes| end <= closes),
    })
}

fn check_overlap(fleet: &Fleet, order: &Order, others: &[Row]) -> Result<(), Refusal> {
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

/// The fleet after the moves of `placed`, with all instances that will return serving again.
fn project(fleet: &Fleet, placed: &placement::Plan) -> Fleet {
    let mut projected = fleet.clone();
    for step in &placed.moves {
        if let Some(row) = projected.rows.get_mut(&step.instance) {
            row.pool = Some(step.to.clone());
            row.state = State::Serving;
        }
    }
    for row in projected.rows.values_mut() {
        if let Some(pool) = placement::effective_pool(fleet, row).cloned() {
            row.pool = Some(pool);
            row.state = State::Serving;
            row.purpose = None;
        }
    }
    projected
}

/// The reason why `order` can never finish: the first instance that its pool's budget does not
/// allow to leave even if every other member serves, and the changes that would allow it.
pub(super) fn cannot_finish(fleet: &Fleet, order: &Order) -> Option<Refusal> {
    let availability_by_pool = full_availability(fleet);
    let members = fleet.rows.values().filter(|row| order.scope.covers(row));
    members.into_iter().find_map(|row| {
        let pool = placement::effective_pool(fleet, row)?;
        let budget = fleet.budgets.get(pool)?;
        let why = availability_by_pool
            .get(pool)?
            .check_disruption(row, budget)
            .err()?;
        let detail = format!(
            "pool `{pool}` never lets `{}` leave: {why}; {} would allow it",
            row.id,
            remedy(budget, why),
        );
        Some(Refusal::new(Code::WaveCannotFinish, detail))
    })
}

/// Row of a spare assigned to a pool so that an instance of `order`, otherwise blocked, can leave.
///
/// After losses, a pool at its target size can be spread so badly that members outside its fullest
/// domain can never leave, and the wave would wait forever although a spare is available. The spare
/// is assigned only if a wave needs it, since every additional member adds to the buffer.
pub(super) fn unblocking_spare(fleet: &Fleet, order: &Order) -> Option<Instance> {
    let availability_by_pool = full_availability(fleet);
    let covered = fleet.rows.values().filter(|row| order.scope.covers(row));
    covered.into_iter().find_map(|row| {
        let pool = placement::effective_pool(fleet, row)?;
        let budget = fleet.budgets.get(pool)?;
        let availability = availability_by_pool.get(pool)?;
        if availability.check_disruption(row, budget).is_ok() {
            return None;
        }
        let unblocks = |spare: &&Instance| {
            let mut with = availability.clone();
            with.add_member(spare);
            with.check_disruption(row, budget).is_ok()
        };
        let mut spares = fleet.rows.values().filter(|row| fleet.is_spare(row));
        lifecycle::assign(spares.find(unblocks)?, pool).ok()
    })
}

/// Availability of each pool if all of its members serve.
fn full_availability(fleet: &Fleet) -> BTreeMap<id::Pool, Availability> {
    let mut availability_by_pool: BTreeMap<_, Availability> = BTreeMap::new();
    for row in fleet.rows.values() {
        if let Some(pool) = placement::effective_pool(fleet, row) {
            availability_by_pool
                .entry(pool.clone())
                .or_default()
                .add_member(row);
        }
    }
    availability_by_pool
}

fn remedy(budget: &Budget, why: BudgetViolation) -> String {
    match why {
        BudgetViolation::MaxAbsent { .. } => "a max-absent of at least 1".to_owned(),
        BudgetViolation::Promise { left, domain, .. } => format!(
            "a promise of {left}, or {} more in another {domain}",
            budget.promised - left,
        ),
    }
}

/// Simulates the wave in rounds, each as long as one reboot.
fn simulate_batches(projected: &mut Fleet, order: &Order, start: Instant) -> Vec<Batch> {
    let wave = Row::begin(order.clone(), start);
    let reboot = order.limits.reboot();
    let mut batches = Vec::new();
    let mut elapsed = Duration::ZERO;
    let mut done = 0;
    loop {
        let out = select(projected, &wave, order.limits.max_concurrent(done));
        let ids: Vec<_> = out.into_iter().map(|row| row.id.clone()).collect();
        if ids.is_empty() {
            return batches;
        }
        let mut instances = BTreeMap::new();
        for id in ids {
            let Some(row) = projected.rows.get_mut(&id) else {
                continue;
            };
            row.maintained = Some(start);
            instances.insert(id, row.pool.clone());
            done += 1;
        }
        batches.push(Batch {
            after_seconds: elapsed.as_secs(),
            instances,
        });
        elapsed += reboot;
    }
}
