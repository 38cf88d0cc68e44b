//! Reports that entries exchange about themselves.

use primroseroute_domain::{change::Seq, id};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use uuid::Uuid;

/// One incarnation of an entry's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Identity {
    /// The entry's name.
    pub entry: id::Entry,
    /// Unique to each start of the process.
    pub incarnation: Uuid,
}

/// The load from one entry on one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Load {
    /// Requests sent to the instance that have no response yet.
    pub in_flight: u16,
    /// Requests in flight and queued for it: the number of slots that the entry could use now.
    pub demand: u16,
}

impl Load {
    /// Whether there is no load to report.
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }
}

/// A drain that an entry has applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Drain {
    /// The version of the instance's row that the entry acknowledges: it sends no new requests.
    pub seq: Seq,
    /// Requests from this entry that are still in flight.
    pub in_flight: u32,
}

/// The state of one entry at one point in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Report {
    /// The entry that the report is about.
    pub from: Identity,
    /// Increases with each report of one incarnation, so that reordered reports are detected.
    pub number: u64,
    /// The newest change applied at the entry.
    pub seq: Seq,
    /// Time since the store last confirmed that seq as the newest; `None` if it never did.
    pub confirmed: Option<Duration>,
    /// Load by instance; instances without load are omitted.
    pub loads: BTreeMap<id::Instance, Load>,
    /// Applied drains by instance: the entry's acknowledgements.
    pub drains: BTreeMap<id::Instance, Drain>,
}

impl Report {
    /// A report of `from` with no applied change and no load.
    pub fn new(from: Identity) -> Self {
        Self {
            from,
            number: 0,
            seq: Seq(0),
            confirmed: None,
            loads: BTreeMap::new(),
            drains: BTreeMap::new(),
        }
    }
}

/// The latest report of a peer and its age.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedReport {
    /// The report.
    pub report: Report,
    /// Time since it was received, by the receiver's clock.
    pub age: Duration,
}
