//! Lifecycle of instances: the next step of each, from its row and the observed state.
//!
//! # Moves
//!
//! `serving in A` -> `draining in A` -> every registered entry has acknowledged a view at or after
//! the change that wrote `draining`, and has no requests in flight on the instance ->
//! `serving in B`. The row names exactly one pool at any time, and no entry sends requests for B
//! before every entry has stopped sending for A.
//!
//! # Unresponsive entries
//!
//! An entry that does not acknowledge blocks moves, reboots and deletions, but never serving. It
//! counts as gone only if the platform's list says so or an operator removes it ([`Entry::gone`]).
//! No time-out declares it gone: an entry that was paused or partitioned resumes with its old view
//! and its requests in flight, and until it is gone nothing happens that contradicts that view.
//!
//! # Restarts
//!
//! No state is kept between calls. Health check counts restart from zero with a new controller,
//! which can delay a step but never cause one.

mod commands;
mod limits;
mod step;

pub use commands::{Command, apply_command, assign, drain, undrain};
pub use limits::Limits;
pub use step::{Input, step};

use primroseroute_domain::{
    change::Seq,
    id,
    instance::{Row, State},
    time::Instant,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};

/// Consecutive health check results of one instance since the last result of the other kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Checks {
    /// Consecutive good results; zero if the last one was bad.
    pub good: u32,
    /// Consecutive bad results; zero if the last one was good.
    pub bad: u32,
}

/// The last report of one registered entry.
///
/// `seen` and `in_flight` belong to the same report: the requests in flight when the view was at
/// `seen`. Counts from an older view do not prove a drain, since the entry could still send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Entry {
    /// The entry.
    pub id: id::Entry,
    /// The newest change that its view includes.
    pub seen: Seq,
    /// Requests in flight by instance; instances without any may be omitted.
    #[serde(default)]
    pub in_flight: BTreeMap<id::Instance, u32>,
    /// Whether the platform lists it as gone or an operator removed it.
    #[serde(default)]
    pub gone: bool,
}

impl Entry {
    fn has_seen(&self, version: Seq) -> bool {
        self.gone || self.seen >= version
    }

    fn has_drained(&self, instance: &id::Instance, version: Seq) -> bool {
        let in_flight = self.in_flight.get(instance).copied().unwrap_or(0);
        self.gone || (self.seen >= version && in_flight == 0)
    }
}

/// Whether every entry has acknowledged `version`.
///
/// An empty list is not an acknowledgement: the controller is itself a registered entry, so an
/// empty list means a failed read, and acting on it would move an instance that has requests in
/// flight.
pub fn acknowledged_by_all(entries: &[Entry], version: Seq) -> bool {
    !entries.is_empty() && entries.iter().all(|entry| entry.has_seen(version))
}

/// Whether every entry has acknowledged `version` and has no requests in flight on `instance`.
pub fn drained_by_all(entries: &[Entry], instance: &id::Instance, version: Seq) -> bool {
    !entries.is_empty()
        && entries
            .iter()
            .all(|entry| entry.has_drained(instance, version))
}

/// An action for the caller. All writes of one call belong in one transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the row.
    Put {
        /// The new row.
        row: Row,
        /// Cause of the change, for the audit trail.
        reason: Arc<str>,
    },
    /// Delete the row and the boot mark of an instance that is gone.
    Delete {
        /// The instance.
        id: id::Instance,
    },
    /// Store the instance's boot count as its mark, before its reboot is requested.
    Mark {
        /// The instance.
        id: id::Instance,
        /// Its boot count.
        boots: u64,
    },
    /// Delete the mark, which belongs to an earlier reboot.
    Unmark {
        /// The instance.
        id: id::Instance,
    },
    /// Request a reboot from the platform; requests with the same `boots` reboot only once.
    Reboot {
        /// The instance.
        id: id::Instance,
        /// The marked boot count.
        boots: u64,
    },
}

/// `row` after a transition to `state` at `now`.
///
/// # Panics
/// If the transition is illegal, which is a bug in the caller.
fn transition(row: &Row, state: State, now: Instant) -> Row {
    assert!(
        row.state.may_become(state),
        "illegal transition of `{}` from {} to {state}",
        row.id,
        row.state,
    );
    Row {
        state,
        since: now,
        ..row.clone()
    }
}
