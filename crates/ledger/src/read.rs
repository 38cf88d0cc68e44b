//! Reads rows, the head, and the change records after a known one.

use crate::{Error, Ledger, key};
use primroseroute_domain::change::{Record, Seq};
use primroseroute_platform::table::{Key, Revision, Row, Scan};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Rows per scan request: a page of full instance rows stays near 256 KiB.
const SCAN_PAGE_ROWS: u32 = 512;

/// The newest change, and the revision of the head row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The newest change; 0 if there is none.
    pub seq: Seq,
    /// The head row's revision; `None` before the first change.
    pub revision: Option<Revision>,
}

/// A row's value and its version, which is the change that last wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Versioned<T> {
    /// The change that last wrote the row.
    pub version: Seq,
    /// The row's value.
    pub value: T,
}

pub(crate) fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    serde_json::from_slice(&row.value).map_err(|error| Error::Corrupt {
        key: Key::clone(&row.key),
        detail: error.to_string(),
    })
}

impl Ledger {
    /// Reads the head: a single row, the cheapest way to detect changes.
    ///
    /// # Errors
    /// Errors of the table; [`Error::Corrupt`] if the row cannot be decoded as a head.
    pub async fn head(&self) -> Result<Head, Error> {
        match self.table().read(&key::head()).await? {
            Some(row) => Ok(Head {
                seq: decode(&row)?,
                revision: Some(row.revision),
            }),
            None => Ok(Head {
                seq: Seq(0),
                revision: None,
            }),
        }
    }

    /// Reads one versioned row.
    ///
    /// # Errors
    /// Errors of the table; [`Error::Corrupt`] if the row cannot be decoded as `T`.
    pub async fn read<T: DeserializeOwned>(
        &self,
        key: &Key,
    ) -> Result<Option<Versioned<T>>, Error> {
        let row = self.table().read(key).await?;
        row.as_ref().map(decode).transpose()
    }

    /// Reads every row whose key starts with `prefix`, page by page.
    ///
    /// Pages reflect different commits. A caller that needs a consistent state reads the head first
    /// and then applies the records after it.
    ///
    /// # Errors
    /// Errors of the table.
    pub async fn rows_with_prefix(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        let mut found = Vec::new();
        let mut after = None;
        loop {
            let scan = Scan {
                prefix: prefix.into(),
                after: after.take(),
                limit: SCAN_PAGE_ROWS,
            };
            let page = self.table().scan(scan).await?;
            found.extend(page.rows);
            match found.last() {
                Some(last) if page.more => after = Some(Key::clone(&last.key)),
                _ => return Ok(found),
            }
        }
    }

    /// Reads every row whose key starts with `prefix`, decoded as `T`, with its key.
    ///
    /// # Errors
    /// As [`Ledger::rows_with_prefix`]; [`Error::Corrupt`] if a row cannot be decoded as `T`.
    pub async fn scan<T: DeserializeOwned>(&self, prefix: &str) -> Result<Vec<(Key, T)>, Error> {
        let rows = self.rows_with_prefix(prefix).await?;
        rows.iter()
            .map(|row| Ok((Key::clone(&row.key), decode(row)?)))
            .collect()
    }

    /// Reads up to `limit` change records after `seq`, in order.
    ///
    /// # Errors
    /// Errors of the table; [`Error::Corrupt`] if a record cannot be decoded.
    pub async fn records_after(&self, seq: Seq, limit: u32) -> Result<Vec<Record>, Error> {
        let scan = Scan {
            prefix: key::CHANGES.into(),
            after: Some(key::change(seq)),
            limit,
        };
        let page = self.table().scan(scan).await?;
        page.rows.iter().map(decode).collect()
    }
}
