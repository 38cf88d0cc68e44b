//! Orders on background jobs.

use primroseroute_domain::{change::Seq, id};
use primroseroute_jobs::Kind;
use primroseroute_platform::task::Resources;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A job to be submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Spec {
    /// Its name; no other job may have it.
    pub name: id::Job,
    /// The account whose share it uses.
    pub account: id::Account,
    /// The pool whose instances run it.
    pub pool: id::Pool,
    /// What sort of work it is.
    pub kind: Kind,
    /// What its owner believes that it needs.
    pub declared: Resources,
}

/// Jobs to be submitted in one change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Submit {
    /// The jobs.
    pub jobs: Vec<Spec>,
    /// Why, for the audit trail.
    #[serde(default)]
    pub reason: Arc<str>,
}

/// Jobs to be cancelled in one change: by name, or else all of an account or kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Cancel {
    /// The jobs' names.
    pub jobs: Vec<id::Job>,
    /// Jobs of this account.
    pub account: Option<id::Account>,
    /// Jobs of this kind.
    pub kind: Option<Kind>,
    /// Why, for the audit trail.
    pub reason: Arc<str>,
}

/// An accepted cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Cancelled {
    /// The change's place in the order of changes.
    pub version: Seq,
    /// Jobs that it cancelled, or that were cancelled already.
    pub cancelled: usize,
    /// Jobs that match and that one change had no room for; cancel again to take them.
    pub left: usize,
}
