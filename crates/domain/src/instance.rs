//! An instance's row: its one pool, its state, and its place.
//!
//! I1, an instance belongs to exactly one pool, holds in the table by construction: the pool is a
//! field of the one row. [`State`] lists what an instance can be doing; [`State::may_become`] is
//! the only table of legal transitions.

use crate::{id, time::Instant};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr};

/// Requests that one worker runs at the same time, over all entries (the brief's 8 slots).
pub const SLOTS: u32 = 8;

/// Connections that one worker accepts in total, over all entries (the brief's 64).
pub const CONNECTIONS: u32 = 64;

/// What an instance is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Seen in the platform's list; not yet checked.
    Arriving,
    /// Under health checks; gets no caller's request.
    Probation,
    /// In a pool and open to requests.
    Serving,
    /// Still in its pool; gets nothing new and finishes what is in flight.
    Draining,
    /// Being rebooted.
    Maintenance,
    /// Out of use because it failed; an operator or later health checks decide.
    Quarantined,
    /// Going away for good.
    Leaving,
}

impl State {
    /// Whether requests may be sent to an instance in this state.
    pub fn takes_requests(self) -> bool {
        self == Self::Serving
    }

    /// The states that may come next.
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

/// Why an instance is draining, which decides where it goes next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// An operator took it out; it stays until it is released.
    Operator,
    /// It moves to another pool once nothing is in flight.
    Move(id::Pool),
    /// It reboots as part of a wave.
    Wave(id::Wave),
    /// The platform takes it away.
    Leave,
}

/// The row of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Row {
    /// Its name in the platform's list.
    pub id: id::Instance,
    /// Where its backend server listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its rack.
    pub rack: id::Rack,
    /// Its one pool; none before it was first placed.
    pub pool: Option<id::Pool>,
    /// What it is doing.
    pub state: State,
    /// Why it drains or was drained; none while it serves.
    #[serde(default)]
    pub purpose: Option<Purpose>,
    /// When the state was entered, by the writer's clock.
    pub since: Instant,
    /// When it last finished maintenance.
    #[serde(default)]
    pub maintained: Option<Instant>,
}
