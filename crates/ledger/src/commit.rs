//! Commits a change: rows, change record and head row in one conditional transaction.

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

/// Attempts to resolve a commit whose response was lost before its outcome is reported as unknown.
const RESOLVE_ATTEMPTS: u32 = 5;

/// Delay before the first retry while a commit is being resolved; doubles with each retry.
const INITIAL_RESOLVE_DELAY: Duration = Duration::from_millis(50);

/// Error from reading or committing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Another change was committed first; nothing of this one was written.
    #[error("another change was committed first (`{0}` moved)")]
    Conflict(Key),
    /// The platform returned an error.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A row's value does not match the type that its key implies.
    #[error("row `{key}` cannot be read: {detail}")]
    Corrupt {
        /// The row's key.
        key: Key,
        /// The decoding error.
        detail: String,
    },
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        let code = match &error {
            Error::Conflict(_) => Code::VersionConflict,
            Error::Platform(PlatformError::Unknown(_)) => Code::StoreUnknown,
            Error::Platform(PlatformError::Throttled) => Code::StoreThrottled,
            Error::Platform(_) | Error::Corrupt { .. } => Code::StoreUnavailable,
        };
        Self::new(code, error.to_string())
    }
}

/// A change under construction, based on one head.
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
    /// `operation` identifies the attempt: it must be unique to each draft.
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

    /// The sequence number that the change will have.
    pub fn seq(&self) -> Seq {
        self.head.seq.next()
    }

    /// Whether the draft contains no edits.
    pub fn is_empty(&self) -> bool {
        self.edits.is_empty()
    }

    /// Creates or replaces the row `key`, whose current version is `before`.
    ///
    /// # Panics
    /// If `value` cannot be serialized as JSON. The derived implementations of the domain types
    /// cannot fail.
    pub fn put<T: Serialize>(&mut self, key: Key, before: Option<Seq>, value: &T) {
        let row = Versioned {
            version: self.seq(),
            value,
        };
        let json = serde_json::to_string(&row).expect("domain types serialize to JSON");
        self.edits.insert(
            Key::clone(&key),
            Edit {
                key,
                before,
                after: Some(json.into()),
            },
        );
    }

    /// Deletes the row `key`, whose current version is `before`.
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

    /// Adds a condition to the commit, such as the controller's epoch being unchanged.
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
    let json = serde_json::to_vec(value).expect("change records serialize to JSON");
    Write::Put(key, json.into())
}

/// The ledger stored in a platform's table.
#[derive(Clone, Debug)]
pub struct Ledger {
    table: Arc<dyn Table>,
}

impl Ledger {
    /// Opens the ledger stored in `table`.
    pub fn open(table: Arc<dyn Table>) -> Self {
        Self { table }
    }

    /// The underlying table, for rows that are not ordered by the head.
    pub fn table(&self) -> &Arc<dyn Table> {
        &self.table
    }

    /// Commits `draft` and returns its record.
    ///
    /// # Errors
    /// [`Error::Conflict`] if the head or a guard row has changed: nothing was written. A platform
    /// error for which [`PlatformError::may_have_applied`] holds is returned only if the response
    /// was lost and the attempts to resolve the outcome failed too.
    pub async fn commit(&self, draft: &Draft) -> Result<Record, Error> {
        let record = draft.record();
        let txn = draft.txn(&record);
        let mut ambiguous_error = None;
        let mut delay = INITIAL_RESOLVE_DELAY;
        for _ in 0..RESOLVE_ATTEMPTS {
            match self.table.commit(txn.clone()).await {
                Ok(Commit::Committed(_)) => return Ok(record),
                // After a lost response the conflict may be with this draft's own earlier commit.
                Ok(Commit::Conflict(key)) if ambiguous_error.is_some() => {
                    return self.resolve_outcome(&record, key).await;
                }
                Ok(Commit::Conflict(key)) => return Err(Error::Conflict(key)),
                Err(error) if error.may_have_applied() => ambiguous_error = Some(error),
                Err(error) if ambiguous_error.is_none() => return Err(error.into()),
                Err(_) => {}
            }
            tokio::time::sleep(delay).await;
            delay *= 2;
        }
        Err(ambiguous_error.unwrap_or(PlatformError::Throttled).into())
    }

    async fn resolve_outcome(
        &self,
        record: &Record,
        conflicting_key: Key,
    ) -> Result<Record, Error> {
        let mut delay = INITIAL_RESOLVE_DELAY;
        for _ in 0..RESOLVE_ATTEMPTS {
            match self.table.read(&key::change(record.seq)).await {
                Ok(Some(row)) => {
                    let found: Record = crate::read::decode(&row)?;
                    return if found.operation == record.operation {
                        Ok(found)
                    } else {
                        Err(Error::Conflict(conflicting_key))
                    };
                }
                // The record is written together with the head, so a guard row changed, not the
                // head.
                Ok(None) => return Err(Error::Conflict(conflicting_key)),
                Err(_) => tokio::time::sleep(delay).await,
            }
            delay *= 2;
        }
        Err(PlatformError::Unknown("the commit could not be read back".to_owned()).into())
    }
}
