//! Committed changes: each is both an audit record and the delta that entries apply.
//!
//! Every change to an account, an instance, a wave or a job commits, in one transaction, the rows
//! themselves, one [`Record`] under `change/<seq>`, and the head row that holds the newest `seq`.
//! The transaction is conditional on the head, so changes are totally ordered, no writer can
//! overwrite a change that it has not read, and a reader at `seq` n needs only the records after n.

use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

/// Sequence number of a change in the total order of changes; 0 denotes the empty table.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Seq(pub u64);

impl Seq {
    /// The next sequence number.
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
    /// Version of the row before the change; `None` if the change created the row.
    pub before: Option<Seq>,
    /// JSON of the row after the change; `None` if the change deleted the row.
    pub after: Option<Arc<str>>,
}

/// One committed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Sequence number of the change.
    pub seq: Seq,
    /// Time of the change by the writer's clock.
    pub at: Instant,
    /// Who made it: `operator:NAME` or `controller:ENTRY`.
    pub actor: Arc<str>,
    /// Human-readable reason.
    pub reason: Arc<str>,
    /// Unique id of this write, by which a writer whose commit response was lost recognises its own
    /// change.
    pub operation: uuid::Uuid,
    /// The rows that it wrote or deleted.
    pub edits: Vec<Edit>,
}
