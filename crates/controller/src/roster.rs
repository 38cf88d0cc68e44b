//! Registered entries and their acknowledgements, as input of the lifecycle decisions.

use async_trait::async_trait;
use primroseroute_domain::{
    change::Seq,
    id,
    instance::{Row, State},
    outcome::Refusal,
};
use primroseroute_fleet::lifecycle::Entry;
use primroseroute_peer::report::{Drain, Report};
use primroseroute_platform::fleet::{Listed, Phase};
use std::{collections::BTreeMap, fmt};

/// The registered entries and their latest reports.
///
/// # Why a new entry is never missed
///
/// An entry registers first and then reads the view by which it serves. The reports are collected
/// before the registrations are read. So if every report acknowledges a drain, that drain was
/// committed before the registrations were read; an entry that registered later has read its view
/// even later, and that view includes the drain.
#[async_trait]
pub trait Roster: Send + Sync + fmt::Debug {
    /// Every registered entry: collects the reports first, then reads the registrations.
    ///
    /// # Errors
    /// If the registrations cannot be read. An empty or stale list must not be returned, as it
    /// would count as consent.
    async fn registered_entries(&self) -> Result<Vec<RegisteredEntry>, Refusal>;
}

/// A registered entry and its report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisteredEntry {
    /// Name of the entry.
    pub entry: id::Entry,
    /// Latest report of its current incarnation; `None` while it is unresponsive.
    pub report: Option<Report>,
}

/// Whether the platform lists the instance of the entry's name as terminated.
fn is_terminated(entry: &id::Entry, listed: &BTreeMap<id::Instance, Listed>) -> bool {
    let name: Result<id::Instance, _> = entry.as_str().parse();
    let line = name.ok().and_then(|name| listed.get(&name));
    line.is_some_and(|line| line.phase == Phase::Gone)
}

/// In-flight count assumed if the actual count is unknown.
const UNKNOWN_IN_FLIGHT: u32 = 1;

/// The entries' acknowledgements for `rows`.
///
/// A drain that an entry does not report as in effect counts as one with a request in flight: the
/// report may be older than the drain, or the entry may not be able to confirm its view.
pub fn acknowledgements(
    registered_entries: &[RegisteredEntry],
    listed: &BTreeMap<id::Instance, Listed>,
    rows: &BTreeMap<id::Instance, Row>,
    versions: &BTreeMap<id::Instance, Seq>,
) -> Vec<Entry> {
    let not_serving = || rows.values().filter(|row| row.state != State::Serving);
    registered_entries
        .iter()
        .map(|registered| {
            let report = registered.report.as_ref();
            let in_flight = |row: &Row| {
                let version = versions.get(&row.id).copied().unwrap_or(Seq(u64::MAX));
                let drain = report.and_then(|report| report.drains.get(&row.id));
                match drain {
                    Some(Drain { seq, in_flight }) if *seq == version => *in_flight,
                    _ => UNKNOWN_IN_FLIGHT,
                }
            };
            Entry {
                id: registered.entry.clone(),
                seen: report.map_or(Seq(0), |report| report.seq),
                in_flight: not_serving()
                    .map(|row| (row.id.clone(), in_flight(row)))
                    .collect(),
                gone: is_terminated(&registered.entry, listed),
            }
        })
        .collect()
}
