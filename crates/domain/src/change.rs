//! One accepted change: the audit record and the delta that entries follow.
//!
//! Every change to an account, an instance, a wave or a job commits, in one transaction, the rows
//! themselves, one [`Record`] under `change/<seq>`, and the head row that names the newest `seq`.
//! The transaction is conditional on the head, so changes have one total order, no accepted change
//! is ever overwritten unseen, and a reader that has seen `seq` n needs only the records after n.

use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

/// The place of a change in the total order of changes; 0 is the empty table.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Seq(pub u64);

impl Seq {
    /// The place after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Seq {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// One row that a change wrote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The row's table key.
    pub key: Arc<str>,
    /// The row's version before the change; none where the change created the row.
    pub before: Option<Seq>,
    /// The row's JSON after the change; none where the change deleted the row.
    pub after: Option<Arc<str>>,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Its place in the order.
    pub seq: Seq,
    /// When it was made, by the writer's clock.
    pub at: Instant,
    /// Who made it: `operator:NAME` or `controller:ENTRY`.
    pub actor: Arc<str>,
    /// Why, for people.
    pub reason: Arc<str>,
    /// Identifies this attempt, so that a writer whose answer was lost finds its own change again.
    pub operation: uuid::Uuid,
    /// The rows that it wrote.
    pub edits: Vec<Edit>,
}
