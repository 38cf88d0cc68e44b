//! The platform's eventually consistent list of instances, and the call that reboots one.

use crate::error::Error;
use async_trait::async_trait;
use primroseroute_domain::{id, time::Instant};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr};

/// Lifecycle phase of an instance as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The instance runs.
    Live,
    /// The instance reboots; `boots` increases once it is back.
    Rebooting,
    /// The platform is about to remove the instance.
    Leaving,
    /// The instance no longer exists and runs nothing.
    Gone,
}

/// One entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Listed {
    /// Instance id.
    pub id: id::Instance,
    /// Listen address of its backend server.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Rack.
    pub rack: id::Rack,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Number of boots so far; a reboot is complete when this has increased.
    pub boots: u64,
}

/// Snapshot of the instance list, which may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct List {
    /// Time of the snapshot.
    pub as_of: Instant,
    /// Instances in order of their names.
    pub instances: Vec<Listed>,
}

/// Access to the platform's instances.
#[async_trait]
pub trait Instances: Send + Sync + fmt::Debug {
    /// Reads the instance list, which may be out of date.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no side effects.
    async fn list(&self) -> Result<List, Error>;

    /// Requests a reboot of `id` on condition that it has booted `boots` times.
    ///
    /// The condition on `boots` makes the call idempotent: a retry after a lost response, or a call by a
    /// second controller, never causes a second reboot.
    ///
    /// # Errors
    /// Any [`Error`]; after [`Error::Unknown`] the reboot may have started.
    async fn reboot(&self, id: &id::Instance, boots: u64) -> Result<(), Error>;
}
