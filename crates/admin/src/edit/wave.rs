//! Plans, starts and controls maintenance waves.

use super::expect_version;
use primroseroute_api::Order as Guarded;
use primroseroute_domain::{
    id,
    outcome::{Code, Refusal},
    time::Instant,
};
use primroseroute_fleet::{
    Fleet,
    placement::Weights,
    wave::{self, Command, Order, Plan, Row},
};
use primroseroute_ledger::{Draft, Versioned, key};
use primroseroute_view::Snapshot;
use std::collections::{BTreeMap, BTreeSet};

/// The fleet according to the rows of `snapshot`; unplanned absences are not known from them.
pub fn fleet(snapshot: &Snapshot) -> Fleet {
    Fleet {
        budgets: Fleet::budgets(snapshot.templates()),
        rows: snapshot.instance_rows(),
        absent: BTreeSet::new(),
    }
}

/// All waves of `snapshot`, by name.
///
/// # Errors
/// [`Code::ViewStale`] if a row cannot be parsed.
pub fn waves(snapshot: &Snapshot) -> Result<BTreeMap<id::Wave, Versioned<Row>>, Refusal> {
    let rows = snapshot.rows_with_prefix(key::WAVES);
    rows.map_err(|error| Refusal::new(Code::ViewStale, error.to_string()))
}

/// Plans the wave under the assumption that nothing fails.
///
/// # Errors
/// [`Code::NotFound`], [`Code::WaveOverlaps`] and [`Code::WaveCannotFinish`], from the planner.
pub fn plan(
    snapshot: &Snapshot,
    weights: Weights,
    order: &Order,
    now: Instant,
) -> Result<Plan, Refusal> {
    let others: Vec<Row> = waves(snapshot)?
        .into_values()
        .map(|row| row.value)
        .collect();
    wave::plan(&fleet(snapshot), weights, order, &others, now)
}

/// Adds a new wave to `draft`.
///
/// # Errors
/// As [`plan`]; [`Code::WaveStateForbids`] if a wave of this name exists.
pub fn start(
    snapshot: &Snapshot,
    weights: Weights,
    order: &Order,
    now: Instant,
    draft: &mut Draft,
) -> Result<(), Refusal> {
    if waves(snapshot)?.contains_key(&order.id) {
        let detail = format!("wave {} exists; take another name", order.id);
        return Err(Refusal::new(Code::WaveStateForbids, detail));
    }
    plan(snapshot, weights, order, now)?;
    draft.put(key::wave(&order.id), None, &Row::begin(order.clone(), now));
    Ok(())
}

/// Pauses, resumes or aborts a wave.
///
/// # Errors
/// [`Code::NotFound`], [`Code::VersionConflict`], [`Code::WaveStateForbids`].
pub fn command(
    snapshot: &Snapshot,
    name: &id::Wave,
    command: Command,
    guarded: &Guarded,
    now: Instant,
    draft: &mut Draft,
) -> Result<(), Refusal> {
    let found = waves(snapshot)?.remove(name);
    let found = found.ok_or_else(|| Refusal::new(Code::NotFound, format!("wave {name}")))?;
    expect_version(Some(found.version), guarded.if_version)?;
    let next = found.value.command(command, now)?;
    draft.put(key::wave(name), Some(found.version), &next);
    Ok(())
}
