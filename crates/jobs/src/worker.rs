//! Current view of the instances that jobs may run on.

use primroseroute_domain::id;
use primroseroute_platform::task::Resources;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether an instance accepts jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// It accepts jobs.
    Open,
    /// It accepts no new jobs; running ones continue (quarantine, probation).
    Closed,
    /// It drains and has to be empty at this time, measured from the controller's start.
    Draining(Duration),
}

/// An instance that jobs may run on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Worker {
    /// Its name.
    pub id: id::Instance,
    /// The pool to which it belongs.
    pub pool: id::Pool,
    /// Its total resources.
    pub capacity: Resources,
    /// Whether it accepts jobs.
    pub availability: Availability,
    /// The fraction of its slots in use by requests, 0 to 1.
    pub pressure: f64,
}
