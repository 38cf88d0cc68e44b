//! What the tasks say to a drain.

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

/// The name under which the tasks speak; an entry of the same name changes nothing.
const NAME: &str = "tasks";

/// The tasks' acknowledgement of every drain: in flight is each job that runs or may run there.
///
/// The rows are those of the snapshot that the lifecycle decides on, and starts are ordered by the
/// same head: none can come between this count and the change that empties the instance.
///
/// None where nothing drains; that saves reading the rows.
///
/// # Errors
/// [`Code::ViewStale`] where a row cannot be read: it may stand for a run.
///
/// # Panics
/// Never: the name is valid.
pub fn voice(snapshot: &Snapshot) -> Result<Option<Entry>, Refusal> {
    let drains = |row: &primroseroute_domain::instance::Row| row.state == State::Draining;
    if !snapshot.instances().values().any(|row| drains(&row.value)) {
        return Ok(None);
    }
    let rows = snapshot
        .under::<id::Job, Row>(key::JOBS)
        .map_err(|error| Refusal::new(Code::ViewStale, error.to_string()))?;
    let mut in_flight: BTreeMap<id::Instance, u32> = BTreeMap::new();
    for at in rows.values().filter_map(|row| row.value.state.instance()) {
        *in_flight.entry(at.clone()).or_default() += 1;
    }
    Ok(Some(Entry {
        id: NAME.parse().expect("the name is valid"),
        seen: Seq(u64::MAX),
        in_flight,
        gone: false,
    }))
}
