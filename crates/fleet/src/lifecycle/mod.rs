//! The next step of each instance, from its row and what is known of it.
//!
//! # Moves
//!
//! `serving in A` -> `draining in A` -> every registered entry has acknowledged a view at or after
//! the change that wrote `draining`, and has nothing in flight on the instance -> `serving in B`.
//! At each moment one row names one pool, and no entry sends for B before every entry has stopped
//! sending for A.
//!
//! # Silent entries
//!
//! An entry that does not acknowledge stops moves, reboots and deletions; it never stops serving.
//! It counts as gone only where the platform's list says so or an operator removes it
//! ([`Entry::gone`]). Nothing is concluded from its silence: an entry that is paused or cut off
//! wakes up with its old view and its requests in flight, and for as long as it is not gone
//! nothing has been done that its old view forbids.
//!
//! # Restarts
//!
//! Nothing here is remembered between calls. Health checks restart from zero with a new
//! controller, which delays a step and never causes one.

mod limits;
mod orders;
mod step;

pub use limits::Limits;
pub use orders::{Order, assign, drain, order, undrain};
pub use step::{Input, step};

use primroseroute_domain::{
    change::Seq,
    id,
    instance::{Row, State},
    time::Instant,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};

/// Consecutive results of health checks of one instance since its last result of the other kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Checks {
    /// Good results in a row; zero where the last one was bad.
    pub good: u32,
    /// Bad results in a row; zero where the last one was good.
    pub bad: u32,
}

/// What one registered entry last reported.
///
/// `seen` and `in_flight` are one report: the requests in flight when the view was `seen`.
/// In-flight counts of an older view say nothing about a drain, since the entry could still send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Entry {
    /// The entry.
    pub id: id::Entry,
    /// The newest change in its view.
    pub seen: Seq,
    /// Requests in flight by instance; an instance without any may be left out.
    #[serde(default)]
    pub in_flight: BTreeMap<id::Instance, u32>,
    /// Whether the platform's list says that it is gone, or an operator removed it.
    #[serde(default)]
    pub gone: bool,
}

impl Entry {
    fn has_seen(&self, version: Seq) -> bool {
        self.gone || self.seen >= version
    }

    fn has_emptied(&self, instance: &id::Instance, version: Seq) -> bool {
        let in_flight = self.in_flight.get(instance).copied().unwrap_or(0);
        self.gone || (self.seen >= version && in_flight == 0)
    }
}

/// Whether every entry acknowledges `version`.
///
/// No entries at all is no acknowledgement: the controller is itself a registered entry, so an
/// empty list is a failed read, and acting on it would move an instance under live requests.
pub fn acknowledged(entries: &[Entry], version: Seq) -> bool {
    !entries.is_empty() && entries.iter().all(|entry| entry.has_seen(version))
}

/// Whether every entry acknowledges `version` and has nothing in flight on `instance`.
pub fn emptied(entries: &[Entry], instance: &id::Instance, version: Seq) -> bool {
    !entries.is_empty()
        && entries
            .iter()
            .all(|entry| entry.has_emptied(instance, version))
}

/// One thing to do. The actions of one call that write go into one transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the row, because of `reason`.
    Put {
        /// The new row.
        row: Row,
        /// Why, for the audit trail.
        reason: Arc<str>,
    },
    /// Delete the row and the mark of an instance that is gone.
    Delete {
        /// The instance.
        id: id::Instance,
    },
    /// Keep beside the row how often the instance had booted before its reboot is asked for.
    Mark {
        /// The instance.
        id: id::Instance,
        /// Its count of boots.
        boots: u64,
    },
    /// Forget the mark, which belongs to an earlier reboot.
    Unmark {
        /// The instance.
        id: id::Instance,
    },
    /// Ask the platform for a reboot; a repeat with the same `boots` reboots once.
    Reboot {
        /// The instance.
        id: id::Instance,
        /// The marked count of boots.
        boots: u64,
    },
}

/// `row` in `state` from `now` on.
///
/// # Panics
/// If the transition is illegal, which is a bug of the caller.
fn enter(row: &Row, state: State, now: Instant) -> Row {
    assert!(
        row.state.may_become(state),
        "{} cannot go from {} to {state}",
        row.id,
        row.state,
    );
    Row {
        state,
        since: now,
        ..row.clone()
    }
}
