//! The partitioned table: versioned rows, conditional transactions within a partition, and a change feed.

use crate::Error;
use async_trait::async_trait;
use bytes::Bytes;
use primroseroute_domain::work::Name;
use std::{fmt, time::Duration};

/// Store-wide number of the transaction that last wrote a row; 0 denotes an absent row.
pub type Version = u64;

/// Full key of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Table.
    pub table: Name,
    /// Partition; a transaction is confined to one.
    pub partition: Name,
    /// Key within the partition, in byte order.
    pub key: Name,
}

impl Place {
    /// Creates a place from its three components.
    pub fn new(table: &str, partition: &str, key: &str) -> Self {
        Self {
            table: table.into(),
            partition: partition.into(),
            key: key.into(),
        }
    }
}

/// A row with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Full key.
    pub place: Place,
    /// Value; `None` for a deleted row.
    pub value: Option<Bytes>,
    /// Transaction that last wrote the row.
    pub version: Version,
}

/// A conditional transaction: all writes are applied if every condition holds, else none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Rows with the version that each must have.
    pub conditions: Vec<(Place, Version)>,
    /// Rows to write.
    pub puts: Vec<(Place, Bytes)>,
    /// Rows to delete.
    pub deletes: Vec<Place>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// The transaction was committed with this version.
    Committed(Version),
    /// A condition did not hold and nothing was written. Contains the current rows of the conditions.
    Conflict(Vec<Row>),
}

/// Rows of one partition, read at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Rows in ascending order of keys.
    pub rows: Vec<Row>,
    /// Whether the range has more rows after these.
    pub more: bool,
    /// Newest transaction that the read reflects; a feed continues from here.
    pub version: Version,
}

/// A range of keys of one partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// Table.
    pub table: Name,
    /// Partition.
    pub partition: Name,
    /// Inclusive lower bound, if any.
    pub from: Option<Name>,
    /// Exclusive upper bound, if any.
    pub to: Option<Name>,
}

/// Response of a change feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Feed<T> {
    /// Changes in order; possibly none.
    Changes {
        /// Changed items.
        items: Vec<T>,
        /// Position to continue from.
        next: Version,
        /// Whether there are no further changes; false if a long response may have been truncated.
        complete: bool,
    },
    /// The requested history is no longer retained: the whole table must be read again.
    Compacted,
}

/// The partitioned table.
#[async_trait]
pub trait Rows: Send + Sync + fmt::Debug {
    /// Commits a transaction.
    ///
    /// # Errors
    /// Any [`Error`]; after [`Error::Unknown`] the transaction may have been committed, or may be committed later if its
    /// conditions hold then.
    async fn commit(&self, txn: Txn) -> Result<Commit, Error>;

    /// Reads a range, up to the size limit of one response.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no side effects.
    async fn read(&self, range: Range) -> Result<Page, Error>;

    /// Waits up to `wait` for changes of `table` after version `after`.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no side effects.
    async fn feed(&self, table: &str, after: Version, wait: Duration) -> Result<Feed<Row>, Error>;
}

/// Reads one row; `None` if it does not exist.
///
/// # Errors
/// Those of the read.
pub async fn read_row(rows: &dyn Rows, place: Place) -> Result<Option<Row>, Error> {
    let to = successor(&place.key);
    let range = Range {
        table: place.table,
        partition: place.partition,
        from: Some(place.key),
        to: Some(to),
    };
    let page = rows.read(range).await?;
    Ok(page.rows.into_iter().next())
}

/// Returns the smallest key that sorts after `key`.
fn successor(key: &str) -> Name {
    format!("{key}\u{0}").into()
}

/// Reads a whole range, page by page.
///
/// # Errors
/// The [`Error`] of the first page that fails.
pub async fn read_all(rows: &dyn Rows, range: Range) -> Result<Page, Error> {
    let mut all = Page::default();
    let mut range = range;
    loop {
        let page = rows.read(range.clone()).await?;
        // A feed from the first page's version may repeat changes that later pages already include, but misses none.
        if all.rows.is_empty() {
            all.version = page.version;
        }
        all.rows.extend(page.rows);
        match all.rows.last() {
            Some(last) if page.more => {
                range.from = Some(successor(&last.place.key));
            }
            _ => return Ok(all),
        }
    }
}
