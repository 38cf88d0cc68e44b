//! The transactional table: rows under ordered string keys, conditional transactions.

use crate::error::Error;
use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

/// A row's key; keys are ordered as bytes and scanned by prefix.
pub type Key = Arc<str>;

/// The table-wide commit number of a row's last write; it only grows.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Its key.
    pub key: Key,
    /// Its value; this system stores JSON.
    pub value: Bytes,
    /// The commit that last wrote it.
    pub revision: Revision,
}

/// A range to read: keys that start with `prefix`, after `after`, at most `limit` of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scan {
    /// The prefix of every key.
    pub prefix: Key,
    /// Only keys greater than this one.
    pub after: Option<Key>,
    /// Most rows to return.
    pub limit: u32,
}

/// The rows of one scan, as of one commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Page {
    /// The rows in key order.
    pub rows: Vec<Row>,
    /// Whether `limit` cut the scan short.
    pub more: bool,
}

/// What must hold for a transaction to commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// No row has this key.
    Absent(Key),
    /// The row with this key was last written by this commit.
    At(Key, Revision),
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Write {
    /// Create or replace the row.
    Put(Key, Bytes),
    /// Delete the row, if it is there.
    Delete(Key),
}

/// A transaction: all writes happen together if all conditions hold, else none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Txn {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is then written.
    pub writes: Vec<Write>,
}

/// How a transaction ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Commit {
    /// It was committed; its writes have this revision.
    Committed(Revision),
    /// The condition on this key did not hold; nothing was written.
    Conflict(Key),
}

/// The transactional table.
#[async_trait]
pub trait Table: Send + Sync + fmt::Debug {
    /// Reads one row.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no effect.
    async fn read(&self, key: &Key) -> Result<Option<Row>, Error>;

    /// Reads rows by prefix, all as of one commit.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no effect.
    async fn scan(&self, scan: Scan) -> Result<Page, Error>;

    /// Commits a transaction.
    ///
    /// # Errors
    /// Any [`Error`]; after [`Error::Unknown`] the transaction may stand.
    async fn commit(&self, txn: Txn) -> Result<Commit, Error>;
}
