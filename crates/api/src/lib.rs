//! What the admin address of an entry and `primrosectl` say to each other, as JSON over HTTP.
//!
//! Every request but the health checks and the metrics carries an operator token. A refusal is RFC
//! 9457 problem details, which [`Problem`] reads back. Paths are in [`path`].

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

/// A template to be applied, with the operator's reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Apply {
    /// The template.
    pub template: Template,
    /// Refuse unless the row has this version; 0 means that it must not exist.
    #[serde(default)]
    pub if_version: Option<Seq>,
    /// Why, for the audit trail.
    #[serde(default)]
    pub reason: Arc<str>,
}

/// A request to take an instance out of service or to put it back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Order {
    /// Refuse unless the row has this version.
    #[serde(default)]
    pub if_version: Option<Seq>,
    /// Why, for the audit trail.
    #[serde(default)]
    pub reason: Arc<str>,
    /// Go ahead although an availability budget forbids it.
    #[serde(default)]
    pub force: bool,
}

/// A request to move an instance to another pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Move {
    /// The pool that it joins.
    pub pool: id::Pool,
    /// Version, reason and force of the order.
    pub order: Order,
}

/// A wave to be started, with the operator's reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Start {
    /// The wave.
    pub order: wave::Order,
    /// Why, for the audit trail.
    #[serde(default)]
    pub reason: Arc<str>,
}

/// One wave and how far it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Wave {
    /// Its row with its version.
    pub row: Versioned<wave::Row>,
    /// How far it is.
    pub progress: wave::Progress,
    /// Instances maintained an hour, over the whole wave so far.
    pub rate: f64,
    /// When it ends if it goes on as it did; none before the first instance is done.
    pub ends: Option<Instant>,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Accepted {
    /// Its place in the order of changes, which is the version of the rows that it wrote.
    pub version: Seq,
}

/// What a template would change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Diff {
    /// The version in force, if the account exists.
    pub version: Option<Seq>,
    /// Unified lines: ` ` kept, `-` removed, `+` added.
    pub lines: Vec<String>,
    /// Faults that would refuse the template.
    pub faults: Vec<Fault>,
}

/// One instance as an entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Instance {
    /// Its row with its version.
    pub row: Versioned<Row>,
    /// Requests that this entry has in flight on it.
    pub in_flight: u32,
}

/// One service with the place where it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// The account that owns it.
    pub account: id::Account,
    /// Its pool.
    pub pool: id::Pool,
    /// Host names that select it.
    pub hosts: Vec<Arc<str>>,
    /// Path prefix that selects it.
    pub path_prefix: Option<Arc<str>>,
}

/// One pool with its budget and how it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Pool {
    /// Its name.
    pub name: id::Pool,
    /// The account that owns it.
    pub account: id::Account,
    /// Instances promised to be serving.
    pub promised: u32,
    /// Instances that serve.
    pub serving: u32,
    /// Instances of the pool in any state.
    pub members: u32,
}

/// One entry as the answering entry knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Entry {
    /// Its name.
    pub name: id::Entry,
    /// The newest change in force there.
    pub seq: Seq,
    /// How long ago it was last heard; none if never since it was registered.
    pub heard: Option<Duration>,
}

/// How the system stands, as one entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Status {
    /// The answering entry.
    pub entry: id::Entry,
    /// The newest change in force in it.
    pub seq: Seq,
    /// How long ago the store last confirmed the view; none before the first time.
    pub confirmed: Option<Duration>,
    /// Every registered entry.
    pub entries: Vec<Entry>,
    /// Whether the registrations were read from the store for this answer; where not, an entry that
    /// registered lately may be missing.
    #[serde(default)]
    pub complete: bool,
    /// The entry that holds the controller's lease, as far as known.
    pub controller: Option<id::Entry>,
    /// Instances by state.
    pub instances: BTreeMap<String, u32>,
    /// The pools.
    pub pools: Vec<Pool>,
}

/// A page of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Audit {
    /// The last change that was looked at, whether or not it matched; read on from here.
    pub read_to: Seq,
    /// Changes that match, in their order.
    pub records: Vec<Record>,
}

/// Problem details as this system sends them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Problem {
    /// The numbered code.
    pub code: Code,
    /// What is particular to the case.
    pub detail: String,
    /// What became of the request.
    pub outcome: Verdict,
}
