//! Moves old records to the object store.

use crate::read::Error;
use primroseroute_domain::change::{Record, Seq};
use primroseroute_ledger::{Ledger, key};
use primroseroute_platform::{
    object::Store,
    table::{Commit, Condition, Txn, Write},
};
use std::{fmt::Write as _, sync::Arc};

/// Name prefix of the archive's objects.
pub(crate) const PREFIX: &str = "audit/";

/// How many records stay in the table, and how many are archived at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keep {
    /// Number of newest records that stay in the table.
    pub newest: u32,
    /// Number of records per object.
    pub batch: u32,
}

impl Default for Keep {
    /// 10,000 records are two days at 4,700 changes a day, far more than an entry ever lags behind.
    /// A batch of 100 deletes 100 rows, a fifth of the writes that the store accepts per second.
    fn default() -> Self {
        Self {
            newest: 10_000,
            batch: 100,
        }
    }
}

/// Name of the object that holds the records from `first` to `last`.
fn object_name(first: Seq, last: Seq) -> Arc<str> {
    format!("{PREFIX}{:020}-{:020}.jsonl", first.0, last.0).into()
}

/// Parses the first and last sequence number from an object's name.
pub(crate) fn span(name: &str) -> Option<(Seq, Seq)> {
    let (first, last) = name
        .strip_prefix(PREFIX)?
        .strip_suffix(".jsonl")?
        .split_once('-')?;
    Some((Seq(first.parse().ok()?), Seq(last.parse().ok()?)))
}

/// Archives one batch if the table holds a full batch beyond the records that stay. Returns the number
/// of records moved.
///
/// `guard` is the controller's epoch, so that a superseded controller deletes nothing.
///
/// # Errors
/// Errors of the table and the object store; the next call starts over.
///
/// # Panics
/// Never: records always serialize.
pub async fn archive_batch(
    ledger: &Ledger,
    objects: &dyn Store,
    guard: Condition,
    keep: Keep,
) -> Result<u32, Error> {
    let head = ledger.head().await?;
    let oldest = ledger.records_after(Seq(0), 1).await?;
    let Some(oldest) = oldest.first().map(|record| record.seq) else {
        return Ok(0);
    };
    let stored = head.seq.0 + 1 - oldest.0;
    if stored < u64::from(keep.newest) + u64::from(keep.batch) {
        return Ok(0);
    }
    let records = ledger.records_after(Seq(oldest.0 - 1), keep.batch).await?;
    let (Some(first), Some(last)) = (records.first(), records.last()) else {
        return Ok(0);
    };
    objects
        .put(
            object_name(first.seq, last.seq),
            to_json_lines(&records).into(),
        )
        .await?;
    let writes = records
        .iter()
        .map(|record| Write::Delete(key::change(record.seq)))
        .collect();
    let txn = Txn {
        conditions: vec![guard],
        writes,
    };
    match ledger.table().commit(txn).await? {
        Commit::Committed(_) => Ok(u32::try_from(records.len()).unwrap_or(u32::MAX)),
        Commit::Conflict(_) => Ok(0),
    }
}

fn to_json_lines(records: &[Record]) -> String {
    records.iter().fold(String::new(), |mut text, record| {
        let json = serde_json::to_string(record).expect("records serialize");
        writeln!(text, "{json}").expect("writing to a string succeeds");
        text
    })
}
