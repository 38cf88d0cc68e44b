//! Keeps the view up to date with the ledger: reads one row if nothing has changed, else the new
//! records.

use crate::{ApplyError, Snapshot, SnapshotCell};
use primroseroute_domain::change::Seq;
use primroseroute_ledger::{Error as LedgerError, Ledger, key};
use primroseroute_platform::table::{Key, Row};
use std::sync::Arc;

/// Records that one poll reads at most; for a larger lag a full load reads fewer rows.
const MAX_RECORDS: u32 = 256;

/// Prefixes of the rows that are ordered by the head, which make up a snapshot.
const PREFIXES: [&str; 5] = [
    key::ACCOUNTS,
    key::INSTANCES,
    key::MARKS,
    key::WAVES,
    key::JOBS,
];

/// Error from updating the view.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The ledger could not be read.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
    /// The rows or records that were read could not be applied.
    #[error(transparent)]
    ApplyError(#[from] ApplyError),
}

/// Updates `cell` to the ledger's head and returns the head's sequence number.
///
/// # Errors
/// [`Error`]; the cell then keeps its snapshot or a later one.
pub async fn poll(ledger: &Ledger, cell: &SnapshotCell) -> Result<Seq, Error> {
    let head = ledger.head().await?;
    let current_seq = cell.current().seq();
    if head.seq <= current_seq {
        return Ok(head.seq);
    }
    if head.seq.0 - current_seq.0 <= u64::from(MAX_RECORDS) {
        let records = ledger.records_after(current_seq, MAX_RECORDS).await?;
        match cell.apply(&records) {
            Ok(_) if cell.current().seq() >= head.seq => return Ok(head.seq),
            // The records have been moved to the archive, so the state must be read from the rows.
            Ok(_) | Err(ApplyError::Gap { .. }) => {}
            Err(error) => return Err(error.into()),
        }
    }
    cell.publish_if_newer(load(ledger).await?);
    Ok(head.seq)
}

/// Loads the complete state from the table.
///
/// # Errors
/// [`Error`] if the table cannot be read or a row cannot be decoded.
pub async fn load(ledger: &Ledger) -> Result<Snapshot, Error> {
    let initial_head = ledger.head().await?;
    let mut rows = Vec::new();
    for prefix in PREFIXES {
        for row in ledger.rows_with_prefix(prefix).await? {
            rows.push((Key::clone(&row.key), json(&row)?));
        }
    }
    let mut snapshot = Snapshot::from_rows(initial_head.seq, rows)?;
    loop {
        let records = ledger.records_after(snapshot.seq(), MAX_RECORDS).await?;
        if records.is_empty() {
            return Ok(snapshot);
        }
        for record in &records {
            snapshot = snapshot.apply(record)?;
        }
    }
}

fn json(row: &Row) -> Result<Arc<str>, LedgerError> {
    let text = std::str::from_utf8(&row.value);
    text.map(Into::into).map_err(|error| LedgerError::Corrupt {
        key: Key::clone(&row.key),
        detail: error.to_string(),
    })
}
