//! Instance rows: pool, lifecycle state and location of each instance.
//!
//! Invariant I1, that an instance belongs to exactly one pool, holds in the table by construction:
//! the pool is a field of the instance's single row. [`State::may_become`] is the only definition of
//! the legal state transitions.

use crate::{id, time::Instant};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr};

/// Maximum number of concurrent requests on one worker, across all entries; given by the specification.
pub const SLOTS: u32 = 8;

/// Maximum number of connections that one worker accepts, across all entries; given by the specification.
pub const CONNECTIONS: u32 = 64;

/// Lifecycle state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Listed by the platform; not yet health-checked.
    Arriving,
    /// Being health-checked; receives no caller requests.
    Probation,
    /// In a pool and accepting requests.
    Serving,
    /// Still in its pool; receives no new requests and completes those in flight.
    Draining,
    /// Being rebooted.
    Maintenance,
    /// Taken out of service after a failure, until an operator or later health checks release it.
    Quarantined,
    /// Being removed permanently.
    Leaving,
}

impl State {
    /// Whether requests may be sent to an instance in this state.
    pub fn takes_requests(self) -> bool {
        self == Self::Serving
    }

    /// The legal successor states.
    pub fn successors(self) -> &'static [Self] {
        use State::{Arriving, Draining, Leaving, Maintenance, Probation, Quarantined, Serving};
        match self {
            Arriving => &[Probation, Leaving],
            Probation => &[Serving, Quarantined, Maintenance, Leaving],
            Serving => &[Draining, Quarantined, Leaving],
            Draining => &[Serving, Maintenance, Quarantined, Leaving],
            Maintenance => &[Probation, Quarantined, Leaving],
            Quarantined => &[Probation, Maintenance, Leaving],
            Leaving => &[],
        }
    }

    /// Whether a transition from this state to `next` is legal.
    pub fn may_become(self, next: Self) -> bool {
        self.successors().contains(&next)
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Arriving => "arriving",
            Self::Probation => "probation",
            Self::Serving => "serving",
            Self::Draining => "draining",
            Self::Maintenance => "maintenance",
            Self::Quarantined => "quarantined",
            Self::Leaving => "leaving",
        })
    }
}

/// Why an instance is draining; determines its next state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// An operator took it out of service; it stays out until released.
    Operator,
    /// It moves to another pool once no request is in flight.
    Move(id::Pool),
    /// It reboots as part of a wave.
    Wave(id::Wave),
    /// The platform is removing it.
    Leave,
}

/// The row of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Row {
    /// Name in the platform's list of instances.
    pub id: id::Instance,
    /// Address that its backend server listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its rack.
    pub rack: id::Rack,
    /// Its pool; `None` until it is first placed.
    pub pool: Option<id::Pool>,
    /// Lifecycle state.
    pub state: State,
    /// Why it is draining or was drained; `None` while it is serving.
    #[serde(default)]
    pub purpose: Option<Purpose>,
    /// Time of the last state transition by the writer's clock.
    pub since: Instant,
    /// When its last maintenance ended.
    #[serde(default)]
    pub maintained: Option<Instant>,
}
