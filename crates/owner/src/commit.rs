//! An owner's commits, one after the other.
//!
//! Each commit is conditional on the owner's row, so that one who was replaced commits nothing, and
//! on the row of the commit before it, so that none can take effect twice or late.

use crate::{clock::Clock, control::parsed};
use bytes::Bytes;
use log::{info, warn};
use primroseroute_backoff::Retry;
use primroseroute_cell::{
    Millis,
    row::{self, CommitRecord, DesiredWorkers},
};
use primroseroute_domain::work::{JobId, Name};
use primroseroute_platform::{
    Error,
    rows::{Commit, Place, Row, Rows, Txn, Version, read_row},
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Most progress rows of one transaction; the store takes 100 entries, conditions included.
const MOST_ROWS: usize = 90;

/// Most bytes of values in one transaction; the store takes 1 MB, in base64.
const MOST_BYTES: usize = 500_000;

/// First and longest pause before a commit is tried again.
const PAUSES: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(200)];

/// This owner has been replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lost;

/// What a commit carries besides progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Notes<'a> {
    /// For each queue, its jobs of which no task has started.
    pub queued: &'a BTreeMap<Name, u64>,
    /// What the pool needs, where it is to be published.
    pub wanted: Option<DesiredWorkers>,
}

/// The lane of one owner.
#[derive(Debug)]
pub(crate) struct Lane {
    rows: Arc<dyn Rows>,
    clock: Clock,
    pool: Name,
    /// Version of the owner's row: its fencing token.
    token: Version,
    /// Version of the row of the last commit.
    last: Version,
    number: u64,
    failing: bool,
    retry: Retry,
}

impl Lane {
    pub(crate) fn new(
        rows: Arc<dyn Rows>,
        clock: Clock,
        pool: Name,
        token: Version,
        last: Version,
    ) -> Self {
        let [first, longest] = PAUSES;
        let retry = Retry::new(first, longest, (&pool, token));
        Self {
            rows,
            clock,
            pool,
            token,
            last,
            number: 0,
            failing: false,
            retry,
        }
    }

    /// Commits progress rows and what goes with them; the time at which the last transaction was sent.
    ///
    /// Tries until it is committed: without an answer nothing may be concluded, and nothing later
    /// may be committed before it is known what came of it.
    pub(crate) async fn commit(
        &mut self,
        puts: &[(JobId, Bytes)],
        notes: Notes<'_>,
    ) -> Result<Millis, Lost> {
        let mut rest = puts;
        loop {
            let (now, later) = rest.split_at(fitting(rest));
            let sent_at = self.commit_one(now, notes).await?;
            if later.is_empty() {
                return Ok(sent_at);
            }
            rest = later;
        }
    }

    async fn commit_one(
        &mut self,
        puts: &[(JobId, Bytes)],
        notes: Notes<'_>,
    ) -> Result<Millis, Lost> {
        self.number += 1;
        let txn = self.txn(puts, notes);
        loop {
            let sent_at = self.clock.now();
            let result = self.rows.commit(txn.clone()).await;
            match result {
                Ok(Commit::Committed(version)) => {
                    self.last = version;
                    self.good();
                    return Ok(sent_at);
                }
                Ok(Commit::Conflict(current)) => {
                    self.last = self.stands(&current)?.ok_or(Lost)?;
                    return Ok(sent_at);
                }
                Err(Error::Unknown(detail)) => {
                    self.failed(&detail);
                    if let Some(version) = self.look().await? {
                        self.last = version;
                        return Ok(sent_at);
                    }
                }
                Err(error) => {
                    self.failed(&error);
                    self.retry.sleep().await;
                }
            }
        }
    }

    fn txn(&self, puts: &[(JobId, Bytes)], notes: Notes<'_>) -> Txn {
        let batch = CommitRecord {
            owner: self.token,
            number: self.number,
            queued: notes.queued.clone(),
        };
        let value = serde_json::to_vec(&batch).expect("a batch has text keys");
        let progress = puts
            .iter()
            .map(|(id, value)| (row::progress(&self.pool, id), value.clone()));
        let mut writes: Vec<(Place, Bytes)> = progress.collect();
        writes.push((row::commit_record(&self.pool), value.into()));
        if let Some(wanted) = notes.wanted {
            let value = serde_json::to_vec(&wanted).expect("numbers serialize");
            writes.push((row::desired_workers(&self.pool), value.into()));
        }
        Txn {
            conditions: vec![
                (row::owner(&self.pool), self.token),
                (row::commit_record(&self.pool), self.last),
            ],
            puts: writes,
            deletes: Vec::new(),
        }
    }

    /// The version of the newest commit, if it stands by the rows of the owner and of the batch as they are.
    ///
    /// The owner's row counts as well: a successor that has committed nothing yet leaves the batch row as it was. An owner
    /// that finds its commit there would start tasks with deadlines and leases that count from after the takeover.
    fn stands(&self, rows: &[Row]) -> Result<Option<Version>, Lost> {
        let place = row::owner(&self.pool);
        let owner = rows.iter().find(|row| row.place == place);
        if owner.is_none_or(|row| row.version != self.token) {
            return Err(Lost);
        }
        Ok(self.own_batch(rows))
    }

    /// The version of the batch row among `rows`, if this owner's newest commit wrote it.
    fn own_batch(&self, rows: &[Row]) -> Option<Version> {
        let place = row::commit_record(&self.pool);
        let found = rows.iter().find(|row| row.place == place)?;
        let batch: CommitRecord = parsed(found)?;
        let own = batch.owner == self.token && batch.number == self.number;
        own.then_some(found.version)
    }

    /// Looks whether the newest commit stands; `None` where it doesn't, or can't be told.
    async fn look(&mut self) -> Result<Option<Version>, Lost> {
        let owner = read_row(&*self.rows, row::owner(&self.pool));
        let batch = read_row(&*self.rows, row::commit_record(&self.pool));
        match tokio::try_join!(owner, batch) {
            Ok((owner, batch)) => {
                let rows: Vec<Row> = owner.into_iter().chain(batch).collect();
                self.stands(&rows)
            }
            Err(error) => {
                self.failed(&error);
                self.retry.sleep().await;
                Ok(None)
            }
        }
    }

    /// Asks the store whether this owner still owns the pool; the time at which it was asked.
    pub(crate) async fn confirm(&mut self) -> Result<Option<Millis>, Lost> {
        let sent_at = self.clock.now();
        match read_row(&*self.rows, row::owner(&self.pool)).await {
            Ok(found) => {
                self.good();
                let own = found.is_some_and(|row| row.version == self.token);
                if own { Ok(Some(sent_at)) } else { Err(Lost) }
            }
            Err(error) => {
                self.failed(&error);
                Ok(None)
            }
        }
    }

    /// One line when commits begin to fail, and one when they work again.
    fn failed(&mut self, error: &dyn std::fmt::Display) {
        if !std::mem::replace(&mut self.failing, true) {
            warn!(pool = &*self.pool, error:% = error; "commits fail");
        }
    }

    fn good(&mut self) {
        self.retry.reset();
        if std::mem::take(&mut self.failing) {
            info!(pool = &*self.pool; "commits work again");
        }
    }
}

/// How many of `puts` fit into one transaction; at least one, if there are any.
fn fitting(puts: &[(JobId, Bytes)]) -> usize {
    let mut bytes = 0;
    let over = puts.iter().take(MOST_ROWS).position(|(_id, value)| {
        bytes += value.len();
        bytes > MOST_BYTES
    });
    over.unwrap_or(puts.len().min(MOST_ROWS))
        .max(usize::from(!puts.is_empty()))
}
