//! Acknowledgement of drains on behalf of the tasks.

use primroseroute_domain::{
    change::Seq,
    id,
    instance::State,
    outcome::{Code, Refusal},
};
use primroseroute_fleet::lifecycle::Entry;
use primroseroute_jobs::Row;
use primroseroute_ledger::key;
use primroseroute_view::Snapshot;
use std::collections::BTreeMap;

/// Name under which the tasks acknowledge; an entry of the same name does no harm.
const TASKS_NAME: &str = "tasks";

/// The tasks' acknowledgement of every drain. Each job that runs or may run on an instance counts
/// as in flight.
///
/// The rows are those of the snapshot on which the lifecycle decides, and starts are ordered by the
/// same head, so no start can be committed between this count and the change that ends the drain.
///
/// Returns `None` if no instance is draining, which avoids reading the rows.
///
/// # Errors
/// [`Code::ViewStale`] if a row cannot be decoded: it may represent a run.
///
/// # Panics
/// Never, as the name is valid.
pub fn drain_acknowledgement(snapshot: &Snapshot) -> Result<Option<Entry>, Refusal> {
    let drains = |row: &primroseroute_domain::instance::Row| row.state == State::Draining;
    if !snapshot.instances().values().any(|row| drains(&row.value)) {
        return Ok(None);
    }
    let rows = snapshot
        .rows_with_prefix::<id::Job, Row>(key::JOBS)
        .map_err(|error| Refusal::new(Code::ViewStale, error.to_string()))?;
    let mut in_flight: BTreeMap<id::Instance, u32> = BTreeMap::new();
    for at in rows.values().filter_map(|row| row.value.state.instance()) {
        *in_flight.entry(at.clone()).or_default() += 1;
    }
    Ok(Some(Entry {
        id: TASKS_NAME.parse().expect("the name is valid"),
        seen: Seq(u64::MAX),
        in_flight,
        gone: false,
    }))
}
