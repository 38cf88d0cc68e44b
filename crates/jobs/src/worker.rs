//! The instances that jobs may run on, as the controller sees them now.

use primroseroute_domain::id;
use primroseroute_platform::task::Resources;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether an instance takes jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// It takes jobs.
    Open,
    /// It takes no new jobs; those that run are left alone (quarantine, probation).
    Closed,
    /// It drains and has to be empty at this time, since the controller's start.
    Draining(Duration),
}

/// One instance that jobs may run on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Worker {
    /// Its name.
    pub id: id::Instance,
    /// Its one pool.
    pub pool: id::Pool,
    /// What it has.
    pub capacity: Resources,
    /// Whether it takes jobs.
    pub availability: Availability,
    /// The part of its slots that requests use, 0 to 1.
    pub pressure: f64,
}
