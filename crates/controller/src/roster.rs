//! What the entries acknowledge, as the lifecycle decisions read it.

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

/// The registered entries with their latest reports.
///
/// # Why a new entry is never overlooked
///
/// An entry registers first and reads the view that it serves by afterwards. The reports are taken
/// before the registrations are read. So where every report acknowledges a drain, that drain was
/// committed before the registrations were read; an entry that registered later has read its view
/// later still, and has the drain in it.
#[async_trait]
pub trait Roster: Send + Sync + fmt::Debug {
    /// Every registered entry: the reports as of now, the registrations read after that.
    ///
    /// # Errors
    /// Where the registrations cannot be read; an empty or old list would count as consent.
    async fn voices(&self) -> Result<Vec<Voice>, Refusal>;
}

/// One registered entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voice {
    /// Its name.
    pub entry: id::Entry,
    /// Its latest report in its present incarnation; none while it is silent.
    pub report: Option<Report>,
}

/// Whether the platform's list, under the entry's name, says that its instance runs no more.
fn is_gone(entry: &id::Entry, listed: &BTreeMap<id::Instance, Listed>) -> bool {
    let name: Result<id::Instance, _> = entry.as_str().parse();
    let line = name.ok().and_then(|name| listed.get(&name));
    line.is_some_and(|line| line.phase == Phase::Gone)
}

/// In-flight count that stands for "not known".
const SOME: u32 = 1;

/// The acknowledgements for `rows`.
///
/// A drain that an entry does not name as in force counts as one with a request in flight: the
/// report may be older than the drain, or the entry may not vouch for its view.
pub fn acknowledgements(
    voices: &[Voice],
    listed: &BTreeMap<id::Instance, Listed>,
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
                gone: is_gone(&voice.entry, listed),
            }
        })
        .collect()
}
