//! Requests on background jobs.

use primroseroute_domain::{change::Seq, id};
use primroseroute_jobs::Kind;
use primroseroute_platform::task::Resources;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A job to submit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Spec {
    /// Name, unique among jobs.
    pub name: id::Job,
    /// The account whose share it uses.
    pub account: id::Account,
    /// The pool whose instances run it.
    pub pool: id::Pool,
    /// Kind of work.
    pub kind: Kind,
    /// Resource demand declared by its owner.
    pub declared: Resources,
}

/// Request to submit jobs in one change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Submit {
    /// The jobs.
    pub jobs: Vec<Spec>,
    /// Reason, recorded in the audit trail.
    #[serde(default)]
    pub reason: Arc<str>,
}

/// Request to cancel jobs in one change: by name, or else all jobs of an account or kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Cancel {
    /// The jobs' names.
    pub jobs: Vec<id::Job>,
    /// Account whose jobs are cancelled.
    pub account: Option<id::Account>,
    /// Kind of the jobs that are cancelled.
    pub kind: Option<Kind>,
    /// Reason, recorded in the audit trail.
    pub reason: Arc<str>,
}

/// An accepted cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Cancelled {
    /// Sequence number of the change.
    pub version: Seq,
    /// Number of jobs that it cancelled or that had been cancelled already.
    pub cancelled: usize,
    /// Number of matching jobs that did not fit into one change; repeat the request to cancel them.
    pub left: usize,
}
