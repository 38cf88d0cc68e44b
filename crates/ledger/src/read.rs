//! Reading rows, the head and the changes after a known one.

use crate::{Error, Ledger, key};
use primroseroute_domain::change::{Record, Seq};
use primroseroute_platform::table::{Key, Revision, Row, Scan};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Rows that one scan asks for: a page of full instance rows stays near 256 KiB.
const PAGE: u32 = 512;

/// The newest change, and the table's revision of the row that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The newest change; 0 where there is none.
    pub seq: Seq,
    /// The head row's revision; none where there is no change yet.
    pub revision: Option<Revision>,
}

/// A row's value with the change that last wrote it, which is its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Versioned<T> {
    /// The change that wrote it.
    pub version: Seq,
    /// The value.
    pub value: T,
}

pub(crate) fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    serde_json::from_slice(&row.value).map_err(|error| Error::Corrupt {
        key: Key::clone(&row.key),
        detail: error.to_string(),
    })
}

impl Ledger {
    /// Reads the head: one row, the cheapest way to learn whether anything changed.
    ///
    /// # Errors
    /// As the table's; [`Error::Corrupt`] where the row is not a head.
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
    /// As the table's; [`Error::Corrupt`] where the row cannot be read as `T`.
    pub async fn read<T: DeserializeOwned>(
        &self,
        key: &Key,
    ) -> Result<Option<Versioned<T>>, Error> {
        let row = self.table().read(key).await?;
        row.as_ref().map(decode).transpose()
    }

    /// Reads every row under `prefix`, page by page.
    ///
    /// Pages are read as of different commits; a caller that needs them as of one change follows
    /// the records from a head that it read first.
    ///
    /// # Errors
    /// As the table's.
    pub async fn rows(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        let mut found = Vec::new();
        let mut after = None;
        loop {
            let scan = Scan {
                prefix: prefix.into(),
                after: after.take(),
                limit: PAGE,
            };
            let page = self.table().scan(scan).await?;
            found.extend(page.rows);
            match found.last() {
                Some(last) if page.more => after = Some(Key::clone(&last.key)),
                _ => return Ok(found),
            }
        }
    }

    /// Reads every row under `prefix` as `T`, with its key.
    ///
    /// # Errors
    /// As [`Ledger::rows`]; [`Error::Corrupt`] where a row cannot be read as `T`.
    pub async fn scan<T: DeserializeOwned>(&self, prefix: &str) -> Result<Vec<(Key, T)>, Error> {
        let rows = self.rows(prefix).await?;
        rows.iter()
            .map(|row| Ok((Key::clone(&row.key), decode(row)?)))
            .collect()
    }

    /// Reads up to `limit` change records after `seq`, in order.
    ///
    /// # Errors
    /// As the table's; [`Error::Corrupt`] where a record cannot be read.
    pub async fn after(&self, seq: Seq, limit: u32) -> Result<Vec<Record>, Error> {
        let scan = Scan {
            prefix: key::CHANGES.into(),
            after: Some(key::change(seq)),
            limit,
        };
        let page = self.table().scan(scan).await?;
        page.rows.iter().map(decode).collect()
    }
}
