//! JSON types of the admin HTTP API, shared by entries and `primrosectl`.
//!
//! Every request except health checks and metrics carries an operator token. Errors are RFC 9457
//! problem details, which [`Problem`] deserializes. Paths are in [`path`].

mod job;
pub mod path;

pub use job::{Cancel, Cancelled, Spec, Submit};

use primroseroute_domain::{
    account::{Fault, Template},
    change::{Record, Seq},
    id,
    instance::Row,
    outcome::{Code, Verdict},
    time::Instant,
};
use primroseroute_fleet::wave;
use primroseroute_ledger::Versioned;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Request to apply a template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Apply {
    /// The template.
    pub template: Template,
    /// Expected version of the row, or the request is rejected; 0 means that the row must not exist.
    #[serde(default)]
    pub if_version: Option<Seq>,
    /// Reason, recorded in the audit trail.
    #[serde(default)]
    pub reason: Arc<str>,
}

/// Request to take an instance out of service or to return it to service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Order {
    /// Expected version of the row, or the request is rejected.
    #[serde(default)]
    pub if_version: Option<Seq>,
    /// Reason, recorded in the audit trail.
    #[serde(default)]
    pub reason: Arc<str>,
    /// Proceed even if an availability budget forbids it.
    #[serde(default)]
    pub force: bool,
}

/// Request to move an instance to another pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Move {
    /// Target pool.
    pub pool: id::Pool,
    /// Expected version, reason and force flag.
    pub order: Order,
}

/// Request to start a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Start {
    /// The wave to start.
    pub order: wave::Order,
    /// Reason, recorded in the audit trail.
    #[serde(default)]
    pub reason: Arc<str>,
}

/// One wave and its progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Wave {
    /// The row with its version.
    pub row: Versioned<wave::Row>,
    /// Progress of the wave.
    pub progress: wave::Progress,
    /// Maintained instances per hour, averaged over the wave so far.
    pub rate: f64,
    /// Estimated end at the current rate; `None` before the first instance is done.
    pub ends: Option<Instant>,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Accepted {
    /// Sequence number of the change, which is also the version of the rows that it wrote.
    pub version: Seq,
}

/// Difference between a template and the current one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Diff {
    /// Current version, if the account exists.
    pub version: Option<Seq>,
    /// Unified diff lines: ` ` unchanged, `-` removed, `+` added.
    pub lines: Vec<String>,
    /// Faults for which the template would be rejected.
    pub faults: Vec<Fault>,
}

/// One instance as seen by the responding entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Instance {
    /// The row with its version.
    pub row: Versioned<Row>,
    /// Number of requests that the entry has in flight to it.
    pub in_flight: u32,
}

/// One service and the pool that it runs on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// Name.
    pub name: id::Service,
    /// The account that owns it.
    pub account: id::Account,
    /// Pool that it runs on.
    pub pool: id::Pool,
    /// Host names that select it.
    pub hosts: Vec<Arc<str>>,
    /// Path prefix that selects it.
    pub path_prefix: Option<Arc<str>>,
}

/// One pool with its promised and current capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Pool {
    /// Name.
    pub name: id::Pool,
    /// The account that owns it.
    pub account: id::Account,
    /// Promised number of serving instances.
    pub promised: u32,
    /// Number of serving instances.
    pub serving: u32,
    /// Number of instances in the pool, in any state.
    pub members: u32,
}

/// One entry as seen by the responding entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Entry {
    /// Name.
    pub name: id::Entry,
    /// The newest change in effect on it.
    pub seq: Seq,
    /// Time since it was last heard from; `None` if not since its registration.
    pub heard: Option<Duration>,
}

/// Status of the system as seen by one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Status {
    /// The responding entry.
    pub entry: id::Entry,
    /// The newest change in effect on it.
    pub seq: Seq,
    /// Time since the store last confirmed the entry's view; `None` before the first confirmation.
    pub confirmed: Option<Duration>,
    /// All registered entries.
    pub entries: Vec<Entry>,
    /// Whether the registrations were read from the store for this response; if not, recently
    /// registered entries may be missing.
    #[serde(default)]
    pub complete: bool,
    /// The entry that holds the controller's lease, if known.
    pub controller: Option<id::Entry>,
    /// Number of instances by state.
    pub instances: BTreeMap<String, u32>,
    /// The pools.
    pub pools: Vec<Pool>,
}

/// A page of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Audit {
    /// The last change examined, matching or not; the next page starts after it.
    pub read_to: Seq,
    /// Matching changes in ascending order.
    pub records: Vec<Record>,
}

/// RFC 9457 problem details as sent by this system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Problem {
    /// The result code.
    pub code: Code,
    /// Details of the case.
    pub detail: String,
    /// Whether the request was executed.
    pub outcome: Verdict,
}
