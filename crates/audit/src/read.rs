//! Reads the trail across the archive and the table.

use crate::archive::{PREFIX, span};
use primroseroute_domain::{
    change::{Record, Seq},
    outcome::{Code, Refusal},
};
use primroseroute_ledger::{Error as LedgerError, Ledger};
use primroseroute_platform::{error::Error as PlatformError, object::Store};
use std::sync::Arc;

/// Error while reading or archiving the trail.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Reading the table failed.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
    /// A platform call failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// An object of the archive is malformed.
    #[error("archive object `{name}` cannot be read: {detail}")]
    Corrupt {
        /// The object's name.
        name: Arc<str>,
        /// The parse error.
        detail: String,
    },
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        match error {
            Error::Ledger(error) => error.into(),
            Error::Platform(error) => LedgerError::from(error).into(),
            corrupt @ Error::Corrupt { .. } => {
                Self::new(Code::StoreUnavailable, corrupt.to_string())
            }
        }
    }
}

/// The audit trail, archive and table together.
#[derive(Clone, Debug)]
pub struct Trail {
    ledger: Ledger,
    objects: Arc<dyn Store>,
}

impl Trail {
    /// Creates a trail that reads from `ledger` and `objects`.
    pub fn new(ledger: Ledger, objects: Arc<dyn Store>) -> Self {
        Self { ledger, objects }
    }

    /// Returns up to `limit` records after `seq`, in order and without a gap.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn records_after(&self, seq: Seq, limit: u32) -> Result<Vec<Record>, Error> {
        let mut found = Vec::new();
        loop {
            let from = found.last().map_or(seq, |record: &Record| record.seq);
            let left = limit - u32::try_from(found.len()).unwrap_or(limit);
            if left == 0 {
                return Ok(found);
            }
            let newer = self.ledger.records_after(from, left).await?;
            // The archive has only older records, so it is read only if the table has a gap here.
            match newer.first() {
                None => return Ok(found),
                Some(first) if first.seq == from.next() => {
                    found.extend(newer);
                    return Ok(found);
                }
                Some(first) => {
                    let archived = self.read_archive(from, first.seq).await?;
                    if archived.is_empty() {
                        found.extend(newer);
                        return Ok(found);
                    }
                    found.extend(archived.into_iter().take(left as usize));
                }
            }
        }
    }

    /// Returns the records after `from` and before `end` of the first object that contains any.
    async fn read_archive(&self, from: Seq, end: Seq) -> Result<Vec<Record>, Error> {
        for name in self.objects.list(PREFIX).await? {
            let Some((_, last)) = span(&name) else {
                continue;
            };
            if last <= from {
                continue;
            }
            let Some(bytes) = self.objects.get(&name).await? else {
                continue;
            };
            let mut records = parse(&name, &bytes)?;
            records.retain(|record| record.seq > from && record.seq < end);
            return Ok(records);
        }
        Ok(Vec::new())
    }
}

fn parse(name: &Arc<str>, bytes: &[u8]) -> Result<Vec<Record>, Error> {
    let corrupt = |detail: String| Error::Corrupt {
        name: Arc::clone(name),
        detail,
    };
    let text = std::str::from_utf8(bytes).map_err(|error| corrupt(error.to_string()))?;
    let line = |line: &str| serde_json::from_str(line).map_err(|error| corrupt(error.to_string()));
    text.lines().map(line).collect()
}
