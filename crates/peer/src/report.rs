//! What an entry tells its peers about itself.

use primroseroute_domain::{change::Seq, id};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use uuid::Uuid;

/// One run of an entry's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Identity {
    /// The entry's name.
    pub entry: id::Entry,
    /// Fresh for each start of the process.
    pub incarnation: Uuid,
}

/// The load that one entry puts on one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Load {
    /// Requests sent to the instance and not yet answered.
    pub in_flight: u16,
    /// Requests in flight and queued for it: the slots that the entry could use now.
    pub demand: u16,
}

impl Load {
    /// Whether there is nothing to report.
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }
}

/// A drain that an entry has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Drain {
    /// The version of the instance's row that the entry acknowledges: it sends nothing new.
    pub seq: Seq,
    /// Requests that are still in flight from this entry.
    pub in_flight: u32,
}

/// The report of one entry at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Report {
    /// Whose report it is.
    pub from: Identity,
    /// Grows with each report of one incarnation, so that a late one is recognised.
    pub number: u64,
    /// The newest change in force at the entry.
    pub seq: Seq,
    /// Time since the store last confirmed that seq as the newest; none if it never did.
    pub confirmed: Option<Duration>,
    /// Load by instance; instances without load are left out.
    pub loads: BTreeMap<id::Instance, Load>,
    /// Drains in force by instance: the entry's acknowledgements.
    pub drains: BTreeMap<id::Instance, Drain>,
}

impl Report {
    /// A report of `from` with nothing in force and no load.
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

/// The latest report of a peer and how long ago it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// The report.
    pub report: Report,
    /// Time since it came, by the receiver's clock.
    pub age: Duration,
}
