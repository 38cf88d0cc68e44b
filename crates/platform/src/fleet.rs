//! The platform's lagging list of instances, and the calls that reboot one.

use crate::error::Error;
use async_trait::async_trait;
use primroseroute_domain::{id, time::Instant};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr};

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It runs.
    Live,
    /// It restarts; `boots` grows when it is back.
    Rebooting,
    /// The platform will take it away.
    Leaving,
    /// It no longer exists and runs nothing.
    Gone,
}

/// One line of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Listed {
    /// The instance.
    pub id: id::Instance,
    /// Where its backend server listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its rack.
    pub rack: id::Rack,
    /// What it is doing.
    pub phase: Phase,
    /// How often it has booted; a reboot is done when this has grown.
    pub boots: u64,
}

/// The list as of some moment in the past.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct List {
    /// When the list was true.
    pub as_of: Instant,
    /// The instances, in the order of their names.
    pub instances: Vec<Listed>,
}

/// The platform's instances.
#[async_trait]
pub trait Instances: Send + Sync + fmt::Debug {
    /// Reads the lagging list.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no effect.
    async fn list(&self) -> Result<List, Error>;

    /// Asks for a reboot of `id`, if it has still booted `boots` times.
    ///
    /// The condition on `boots` makes the call idempotent: a repeat after a lost answer, or by a
    /// second controller, never reboots twice.
    ///
    /// # Errors
    /// Any [`Error`]; after [`Error::Unknown`] the reboot may have begun.
    async fn reboot(&self, id: &id::Instance, boots: u64) -> Result<(), Error>;
}
