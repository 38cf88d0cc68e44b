//! The partitioned table: rows with versions, conditional transactions within a partition, a feed.

use crate::Error;
use async_trait::async_trait;
use bytes::Bytes;
use primroseroute_domain::work::Name;
use std::{fmt, time::Duration};

/// The store-wide number of the transaction that last wrote a row; 0 stands for an absent row.
pub type Version = u64;

/// Where a row lies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Its table.
    pub table: Name,
    /// Its partition; a transaction stays within one.
    pub part: Name,
    /// Its key, ordered as bytes.
    pub key: Name,
}

impl Place {
    /// A place from its three names.
    pub fn new(table: &str, part: &str, key: &str) -> Self {
        Self {
            table: table.into(),
            part: part.into(),
            key: key.into(),
        }
    }
}

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Where it lies.
    pub place: Place,
    /// Its value; `None` for a row that was deleted.
    pub value: Option<Bytes>,
    /// The transaction that last wrote it.
    pub version: Version,
}

/// A transaction: all writes happen if every condition holds, else none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Rows and the version that each must have.
    pub conditions: Vec<(Place, Version)>,
    /// Rows to write.
    pub puts: Vec<(Place, Bytes)>,
    /// Rows to delete.
    pub deletes: Vec<Place>,
}

/// How a transaction ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It stands under this version.
    Committed(Version),
    /// A condition didn't hold; nothing was written. The rows of the conditions as they are.
    Conflict(Vec<Row>),
}

/// Rows of one partition, as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// In ascending order of keys.
    pub rows: Vec<Row>,
    /// Whether more rows of the range follow.
    pub more: bool,
    /// The newest transaction that the read has seen; a feed goes on from here.
    pub version: Version,
}

/// A range of keys of one partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// The table.
    pub table: Name,
    /// The partition.
    pub part: Name,
    /// First key, if the range has one.
    pub from: Option<Name>,
    /// First key after the range, if it has one.
    pub to: Option<Name>,
}

/// What a feed has to tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Feed<T> {
    /// What changed, in order; possibly nothing.
    Changes {
        /// The changes.
        items: Vec<T>,
        /// Where the feed goes on.
        next: Version,
        /// Whether that is all: a long answer may have been cut, with more behind it.
        complete: bool,
    },
    /// The history that was asked for has been dropped: the table must be read whole.
    Lost,
}

/// The partitioned table.
#[async_trait]
pub trait Rows: Send + Sync + fmt::Debug {
    /// Commits a transaction.
    ///
    /// # Errors
    /// Any [`Error`]; after [`Error::Unknown`] it may stand now, or later if its conditions hold.
    async fn commit(&self, txn: Txn) -> Result<Commit, Error>;

    /// Reads a range, up to the limit of one answer.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no effect.
    async fn read(&self, range: Range) -> Result<Page, Error>;

    /// Waits up to `wait` for changes of `table` after version `after`.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no effect.
    async fn feed(&self, table: &str, after: Version, wait: Duration) -> Result<Feed<Row>, Error>;
}

/// Reads one row; none where there is no such row.
///
/// # Errors
/// Those of the read.
pub async fn read_row(rows: &dyn Rows, place: Place) -> Result<Option<Row>, Error> {
    let to = following(&place.key);
    let range = Range {
        table: place.table,
        part: place.part,
        from: Some(place.key),
        to: Some(to),
    };
    let page = rows.read(range).await?;
    Ok(page.rows.into_iter().next())
}

/// The least key that sorts after `key`.
fn following(key: &str) -> Name {
    format!("{key}\u{0}").into()
}

/// Reads a range whole, page after page.
///
/// # Errors
/// The first [`Error`] of a page.
pub async fn read_all(rows: &dyn Rows, range: Range) -> Result<Page, Error> {
    let mut whole = Page::default();
    let mut range = range;
    loop {
        let page = rows.read(range.clone()).await?;
        // A feed from the first page's version repeats what later pages have shown; none is missed.
        if whole.rows.is_empty() {
            whole.version = page.version;
        }
        whole.rows.extend(page.rows);
        match whole.rows.last() {
            Some(last) if page.more => {
                range.from = Some(following(&last.place.key));
            }
            _ => return Ok(whole),
        }
    }
}
