//! Deletion of expired claims, in bounded steps.

use crate::{
    clock::Clock,
    row::{ClaimRow, ClaimState},
};
use primroseroute_domain::time::Instant;
use primroseroute_ledger::key::CLAIMS;
use primroseroute_platform::{
    error::Error,
    table::{self, Condition, Key, Scan, Table, Txn, Write},
};
use std::{sync::Arc, time::Duration};

/// Retention of completed and released claims: a caller's retries end long before a day.
pub const SETTLED_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Retention of claims without an outcome.
///
/// The claim's owner may be an entry that is suspended between the grant and the send. If the row
/// were deleted before it resumes, a retry could have been granted in the meantime and the request
/// would run twice. No platform suspends an instance for a week, and no caller retries after one.
pub const OPEN_RETENTION: Duration = Duration::from_secs(7 * 24 * 3600);

/// Most rows that one step reads, and thus deletes.
pub const ROWS_PER_STEP: u32 = 100;

/// Result of one step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SweepStep {
    /// Rows read.
    pub read: usize,
    /// Rows deleted.
    pub deleted: usize,
    /// Whether the step reached the end of all claims.
    pub wrapped: bool,
}

/// Scans all claims, one step at a time.
///
/// One entry has to run it, such as the holder of the controller's lease; a second one would only
/// waste calls, since a row is deleted on the condition that it is unchanged since it was read.
#[derive(Debug)]
pub struct Sweeper {
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    after: Option<Key>,
}

impl Sweeper {
    /// Creates a sweep that starts at the first claim.
    pub fn new(table: Arc<dyn Table>, clock: Arc<dyn Clock>) -> Self {
        Self {
            table,
            clock,
            after: None,
        }
    }

    /// Reads the next [`ROWS_PER_STEP`] rows and deletes the expired ones.
    ///
    /// Rows of a commit that conflicts or whose result is lost are left to the next scan.
    ///
    /// # Errors
    /// Errors of the table; the next step continues at the same place.
    pub async fn step(&mut self) -> Result<SweepStep, Error> {
        let scan = Scan {
            prefix: CLAIMS.into(),
            after: self.after.clone(),
            limit: ROWS_PER_STEP,
        };
        let page = self.table.scan(scan).await?;
        let now = self.clock.now();
        let expired: Vec<&table::Row> = page
            .rows
            .iter()
            .filter(|row| is_expired(row, now))
            .collect();
        if !expired.is_empty() {
            self.table.commit(deletion(&expired)).await?;
        }
        self.after = page
            .rows
            .last()
            .filter(|_| page.more)
            .map(|row| Key::clone(&row.key));
        Ok(SweepStep {
            read: page.rows.len(),
            deleted: expired.len(),
            wrapped: !page.more,
        })
    }
}

fn is_expired(row: &table::Row, now: Instant) -> bool {
    // An unreadable row is kept: a newer version of this program may have written it.
    ClaimRow::decode(row).is_some_and(|row| {
        let retention = match row.state {
            ClaimState::Completed(_) | ClaimState::NotKept | ClaimState::Released => {
                SETTLED_RETENTION
            }
            ClaimState::Claimed | ClaimState::Unknown => OPEN_RETENTION,
        };
        now.since(row.claimed) > retention
    })
}

fn deletion(rows: &[&table::Row]) -> Txn {
    Txn {
        conditions: rows
            .iter()
            .map(|row| Condition::At(Key::clone(&row.key), row.revision))
            .collect(),
        writes: rows
            .iter()
            .map(|row| Write::Delete(Key::clone(&row.key)))
            .collect(),
    }
}
