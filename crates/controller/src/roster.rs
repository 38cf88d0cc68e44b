//! What the entries acknowledge, as the lifecycle decisions read it.

use primroseroute_domain::{
    change::Seq,
    id,
    instance::{Row, State},
};
use primroseroute_fleet::lifecycle::Entry;
use primroseroute_peer::report::{Drain, Report};
use std::{collections::BTreeMap, fmt};

/// The registered entries with their latest reports.
pub trait Roster: Send + Sync + fmt::Debug {
    /// Every registered entry, this one among them; empty where the registrations are not known.
    fn voices(&self) -> Vec<Voice>;
}

/// One registered entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voice {
    /// Its name.
    pub entry: id::Entry,
    /// Its latest report in its present incarnation; none while it is silent.
    pub report: Option<Report>,
    /// Whether the platform's list says that its process no longer runs.
    pub gone: bool,
}

/// In-flight count that stands for "not known".
const SOME: u32 = 1;

/// The acknowledgements for `rows`.
///
/// A drain that an entry does not name as in force counts as one with a request in flight: the
/// report may be older than the drain, or the entry may not vouch for its view.
pub(crate) fn acknowledgements(
    voices: &[Voice],
    rows: &BTreeMap<id::Instance, Row>,
    versions: &BTreeMap<id::Instance, Seq>,
) -> Vec<Entry> {
    let not_serving = || rows.values().filter(|row| row.state != State::Serving);
    voices
        .iter()
        .map(|voice| {
            let report = voice.report.as_ref();
            let in_flight = |row: &Row| {
                let version = versions.get(&row.id).copied().unwrap_or(Seq(u64::MAX));
                let drain = report.and_then(|report| report.drains.get(&row.id));
                match drain {
                    Some(Drain { seq, in_flight }) if *seq == version => *in_flight,
                    _ => SOME,
                }
            };
            Entry {
                id: voice.entry.clone(),
                seen: report.map_or(Seq(0), |report| report.seq),
                in_flight: not_serving()
                    .map(|row| (row.id.clone(), in_flight(row)))
                    .collect(),
                gone: voice.gone,
            }
        })
        .collect()
}
