//! Deleting claims whose time is over, in bounded steps.

use crate::{
    clock::Clock,
    row::{Row, State},
};
use primroseroute_domain::time::Instant;
use primroseroute_ledger::key::CLAIMS;
use primroseroute_platform::{
    error::Error,
    table::{self, Condition, Key, Scan, Table, Txn, Write},
};
use std::{sync::Arc, time::Duration};

/// How long an answered or released claim is kept: a caller's retries end long before a day.
pub const KEEP_SETTLED: Duration = Duration::from_secs(24 * 3600);

/// How long a claim without an outcome is kept.
///
/// Its holder may be an entry that is paused between the grant and the send. Were the row gone
/// when it wakes, a retry could have been granted meanwhile and the request would run twice. No
/// platform keeps an instance paused for a week, and no caller retries after one.
pub const KEEP_OPEN: Duration = Duration::from_secs(7 * 24 * 3600);

/// Rows that one step reads, and thus the most that it deletes.
pub const STEP: u32 = 100;

/// What one step did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Swept {
    /// Rows read.
    pub read: usize,
    /// Rows deleted.
    pub deleted: usize,
    /// Whether the step came to the end of all claims.
    pub wrapped: bool,
}

/// Walks over all claims, a step at a time.
///
/// One entry has to do it, such as the holder of the controller's lease; two would only waste
/// calls, since a row is deleted under the condition that it is as it was read.
#[derive(Debug)]
pub struct Sweep {
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    after: Option<Key>,
}

impl Sweep {
    /// A sweep that starts at the first claim.
    pub fn open(table: Arc<dyn Table>, clock: Arc<dyn Clock>) -> Self {
        Self {
            table,
            clock,
            after: None,
        }
    }

    /// Reads the next [`STEP`] rows and deletes those whose time is over.
    ///
    /// A commit that conflicts or whose answer is lost is left to the next round.
    ///
    /// # Errors
    /// As the table's; the next step goes on from the same place.
    pub async fn step(&mut self) -> Result<Swept, Error> {
        let scan = Scan {
            prefix: CLAIMS.into(),
            after: self.after.clone(),
            limit: STEP,
        };
        let page = self.table.scan(scan).await?;
        let now = self.clock.now();
        let over: Vec<&table::Row> = page.rows.iter().filter(|row| is_over(row, now)).collect();
        if !over.is_empty() {
            self.table.commit(deletion(&over)).await?;
        }
        self.after = page
            .rows
            .last()
            .filter(|_| page.more)
            .map(|row| Key::clone(&row.key));
        Ok(Swept {
            read: page.rows.len(),
            deleted: over.len(),
            wrapped: !page.more,
        })
    }
}

fn is_over(row: &table::Row, now: Instant) -> bool {
    // A row that cannot be read is kept: it may be newer than this program.
    Row::decode(row).is_some_and(|row| {
        let keep = match row.state {
            State::Completed(_) | State::NotKept | State::Released => KEEP_SETTLED,
            State::Claimed | State::Unknown => KEEP_OPEN,
        };
        now.since(row.claimed) > keep
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
