//! The transactional table: rows with ordered string keys, and conditional transactions.

use crate::error::Error;
use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

/// Row key; keys are in byte order and are scanned by prefix.
pub type Key = Arc<str>;

/// Table-wide commit number of a row's last write; increases monotonically.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// A row with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Key.
    pub key: Key,
    /// Value; this system stores JSON.
    pub value: Bytes,
    /// Commit that last wrote the row.
    pub revision: Revision,
}

/// A range to read: keys that start with `prefix`, after `after`, at most `limit` of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scan {
    /// Prefix that every key must have.
    pub prefix: Key,
    /// Exclusive lower bound, if any.
    pub after: Option<Key>,
    /// Maximum number of rows to return.
    pub limit: u32,
}

/// Rows of one scan, all as of the same commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Page {
    /// Rows in key order.
    pub rows: Vec<Row>,
    /// Whether the scan was truncated by `limit`.
    pub more: bool,
}

/// Precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// No row has this key.
    Absent(Key),
    /// The row with this key was last written by this commit.
    At(Key, Revision),
}

/// A write in a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Write {
    /// Creates or replaces the row.
    Put(Key, Bytes),
    /// Deletes the row if it exists.
    Delete(Key),
}

/// A conditional transaction: all writes are applied atomically if all conditions hold, else none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Txn {
    /// Preconditions.
    pub conditions: Vec<Condition>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Commit {
    /// The transaction was committed; its writes have this revision.
    Committed(Revision),
    /// The condition on this key did not hold and nothing was written.
    Conflict(Key),
}

/// The transactional table.
#[async_trait]
pub trait Table: Send + Sync + fmt::Debug {
    /// Reads one row.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no side effects.
    async fn read(&self, key: &Key) -> Result<Option<Row>, Error>;

    /// Reads rows by prefix, all as of the same commit.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no side effects.
    async fn scan(&self, scan: Scan) -> Result<Page, Error>;

    /// Commits a transaction.
    ///
    /// # Errors
    /// Any [`Error`]; after [`Error::Unknown`] the transaction may have been committed.
    async fn commit(&self, txn: Txn) -> Result<Commit, Error>;
}
