//! Committing a change: rows, record and head in one conditional transaction.

use crate::{
    key,
    read::{Head, Versioned},
};
use primroseroute_domain::{
    change::{Edit, Record, Seq},
    outcome::{Code, Refusal},
    time::Instant,
};
use primroseroute_platform::{
    error::Error as PlatformError,
    table::{Commit, Condition, Key, Table, Txn, Write},
};
use serde::Serialize;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use uuid::Uuid;

/// Tries to settle a commit whose answer was lost before it is reported as unknown.
const SETTLE_TRIES: u32 = 5;

/// Pause before the first further try to settle a commit; it doubles with each.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);

/// Why the ledger could not read or commit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Another change was committed first; nothing of this one was written.
    #[error("another change was committed first (`{0}` moved)")]
    Raced(Key),
    /// The platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A row does not hold what its key promises.
    #[error("row `{key}` cannot be read: {detail}")]
    Corrupt {
        /// The row's key.
        key: Key,
        /// What is wrong with it.
        detail: String,
    },
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        let code = match &error {
            Error::Raced(_) => Code::VersionConflict,
            Error::Platform(PlatformError::Unknown(_)) => Code::StoreUnknown,
            Error::Platform(PlatformError::Throttled) => Code::StoreThrottled,
            Error::Platform(_) | Error::Corrupt { .. } => Code::StoreUnavailable,
        };
        Self::new(code, error.to_string())
    }
}

/// A change that is being put together against one head.
#[derive(Clone, Debug)]
pub struct Draft {
    head: Head,
    at: Instant,
    actor: Arc<str>,
    reason: Arc<str>,
    operation: Uuid,
    edits: BTreeMap<Key, Edit>,
    guards: Vec<Condition>,
}

impl Draft {
    /// An empty change on top of `head`.
    ///
    /// `operation` identifies the attempt: it must be fresh for each draft.
    pub fn new(
        head: Head,
        at: Instant,
        actor: impl Into<Arc<str>>,
        reason: impl Into<Arc<str>>,
        operation: Uuid,
    ) -> Self {
        Self {
            head,
            at,
            actor: actor.into(),
            reason: reason.into(),
            operation,
            edits: BTreeMap::new(),
            guards: Vec::new(),
        }
    }

    /// The place that the change will have in the order.
    pub fn seq(&self) -> Seq {
        self.head.seq.next()
    }

    /// Whether nothing has been put or deleted.
    pub fn is_empty(&self) -> bool {
        self.edits.is_empty()
    }

    /// Creates or replaces the row `key`, which had version `before`.
    ///
    /// # Panics
    /// If `value` cannot be written as JSON, which no domain type's derive can cause.
    pub fn put<T: Serialize>(&mut self, key: Key, before: Option<Seq>, value: &T) {
        let row = Versioned {
            version: self.seq(),
            value,
        };
        let json = serde_json::to_string(&row).expect("domain types serialize");
        self.edits.insert(
            Key::clone(&key),
            Edit {
                key,
                before,
                after: Some(json.into()),
            },
        );
    }

    /// Deletes the row `key`, which had version `before`.
    pub fn delete(&mut self, key: Key, before: Option<Seq>) {
        self.edits.insert(
            Key::clone(&key),
            Edit {
                key,
                before,
                after: None,
            },
        );
    }

    /// Makes the commit depend on `condition` too, such as the controller's epoch.
    pub fn guard(&mut self, condition: Condition) {
        self.guards.push(condition);
    }

    /// The record that the commit will write.
    pub fn record(&self) -> Record {
        Record {
            seq: self.seq(),
            at: self.at,
            actor: Arc::clone(&self.actor),
            reason: Arc::clone(&self.reason),
            operation: self.operation,
            edits: self.edits.values().cloned().collect(),
        }
    }

    fn txn(&self, record: &Record) -> Txn {
        let head = match self.head.revision {
            Some(revision) => Condition::At(key::head(), revision),
            None => Condition::Absent(key::head()),
        };
        let conditions = std::iter::once(head)
            .chain(self.guards.iter().cloned())
            .collect();
        let rows = self.edits.values().map(|edit| match &edit.after {
            Some(json) => Write::Put(Key::clone(&edit.key), json.as_bytes().to_vec().into()),
            None => Write::Delete(Key::clone(&edit.key)),
        });
        let own = [
            put_json(key::change(record.seq), record),
            put_json(key::head(), &record.seq),
        ];
        Txn {
            conditions,
            writes: rows.chain(own).collect(),
        }
    }
}

fn put_json<T: Serialize>(key: Key, value: &T) -> Write {
    let json = serde_json::to_vec(value).expect("records serialize");
    Write::Put(key, json.into())
}

/// The ledger over a platform's table.
#[derive(Clone, Debug)]
pub struct Ledger {
    table: Arc<dyn Table>,
}

impl Ledger {
    /// Opens the ledger that `table` holds.
    pub fn open(table: Arc<dyn Table>) -> Self {
        Self { table }
    }

    /// The table under the ledger, for rows that the head does not order.
    pub fn table(&self) -> &Arc<dyn Table> {
        &self.table
    }

    /// Commits `draft` and returns its record.
    ///
    /// # Errors
    /// [`Error::Raced`] where the head or a guard moved: nothing was written. A platform error
    /// that [`PlatformError::may_have_applied`] only after the answer was lost and the attempts to
    /// settle it failed too.
    pub async fn commit(&self, draft: &Draft) -> Result<Record, Error> {
        let record = draft.record();
        let txn = draft.txn(&record);
        let mut lost = None;
        let mut pause = SETTLE_PAUSE;
        for _ in 0..SETTLE_TRIES {
            match self.table.commit(txn.clone()).await {
                Ok(Commit::Committed(_)) => return Ok(record),
                // After a lost answer the conflict may be with the draft's own earlier commit.
                Ok(Commit::Conflict(key)) if lost.is_some() => {
                    return self.settle(&record, key).await;
                }
                Ok(Commit::Conflict(key)) => return Err(Error::Raced(key)),
                Err(error) if error.may_have_applied() => lost = Some(error),
                Err(error) if lost.is_none() => return Err(error.into()),
                Err(_) => {}
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
        Err(lost.unwrap_or(PlatformError::Throttled).into())
    }

    async fn settle(&self, record: &Record, moved: Key) -> Result<Record, Error> {
        let mut pause = SETTLE_PAUSE;
        for _ in 0..SETTLE_TRIES {
            match self.table.read(&key::change(record.seq)).await {
                Ok(Some(row)) => {
                    let found: Record = crate::read::decode(&row)?;
                    return if found.operation == record.operation {
                        Ok(found)
                    } else {
                        Err(Error::Raced(moved))
                    };
                }
                // The record is written with the head, so a guard moved and not the head.
                Ok(None) => return Err(Error::Raced(moved)),
                Err(_) => tokio::time::sleep(pause).await,
            }
            pause *= 2;
        }
        Err(PlatformError::Unknown("the commit could not be read back".to_owned()).into())
    }
}
