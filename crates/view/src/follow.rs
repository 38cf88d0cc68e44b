//! Following the ledger: one row read where nothing changed, a few records where something did.

use crate::{Apply, Cell, Snapshot};
use primroseroute_domain::change::Seq;
use primroseroute_ledger::{Error as LedgerError, Ledger, key};
use primroseroute_platform::table::{Key, Row};
use std::sync::Arc;

/// Records that one poll reads: more behind than this, a full load costs fewer rows.
const RECORDS: u32 = 256;

/// Prefixes of the rows that the head orders, which make up a snapshot.
const PREFIXES: [&str; 5] = [
    key::ACCOUNTS,
    key::INSTANCES,
    key::MARKS,
    key::WAVES,
    key::JOBS,
];

/// Why the view could not be carried forward.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The ledger could not be read.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
    /// What was read does not fit together.
    #[error(transparent)]
    Apply(#[from] Apply),
}

/// Brings `cell` up to the ledger's head and returns the head's place.
///
/// # Errors
/// [`Error`]; the cell then keeps what it had or a later state.
pub async fn poll(ledger: &Ledger, cell: &Cell) -> Result<Seq, Error> {
    let head = ledger.head().await?;
    let have = cell.current().seq();
    if head.seq <= have {
        return Ok(head.seq);
    }
    if head.seq.0 - have.0 <= u64::from(RECORDS) {
        let records = ledger.after(have, RECORDS).await?;
        match cell.apply(&records) {
            Ok(_) if cell.current().seq() >= head.seq => return Ok(head.seq),
            // The records were trimmed to the archive: only the rows still have the state.
            Ok(_) | Err(Apply::Gap { .. }) => {}
            Err(error) => return Err(error.into()),
        }
    }
    cell.advance(load(ledger).await?);
    Ok(head.seq)
}

/// Reads the whole state from the table.
///
/// # Errors
/// [`Error`] where the table cannot be read or a row cannot.
pub async fn load(ledger: &Ledger) -> Result<Snapshot, Error> {
    let first = ledger.head().await?;
    let mut rows = Vec::new();
    for prefix in PREFIXES {
        for row in ledger.rows(prefix).await? {
            rows.push((Key::clone(&row.key), json(&row)?));
        }
    }
    let mut snapshot = Snapshot::from_rows(first.seq, rows)?;
    loop {
        let records = ledger.after(snapshot.seq(), RECORDS).await?;
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
