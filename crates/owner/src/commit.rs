//! An owner's commits, in sequence.
//!
//! Each commit is conditional on the owner's row, so that an owner that was replaced commits
//! nothing, and on the row of the previous commit, so that none can take effect twice or late.

use crate::{clock::Clock, control::parse};
use bytes::Bytes;
use log::{info, warn};
use primroseroute_admission::PoolLoad;
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

/// Maximum progress rows per transaction; the store accepts 100 entries, conditions included.
const MAX_ROWS: usize = 90;

/// Maximum bytes of values per transaction; the store accepts 1 MB, in base64.
const MAX_BYTES: usize = 500_000;

/// First and longest delay before a commit is retried.
const RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(200)];

/// This owner has been replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OwnershipLost;

/// What a commit carries besides progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CommitFigures<'a> {
    /// For each queue, its jobs of which no task has started.
    pub queued: &'a BTreeMap<Name, u64>,
    /// How many workers the pool needs, if it is to be published.
    pub wanted: Option<DesiredWorkers>,
    /// The load of the pool, if it is to be published.
    pub load: Option<&'a PoolLoad>,
}

/// The sequence of commits of one owner.
#[derive(Debug)]
pub(crate) struct CommitSequence {
    rows: Arc<dyn Rows>,
    clock: Clock,
    pool: Name,
    /// Version of the owner's row: its fencing token.
    token: Version,
    /// Version of the row of the last commit.
    last_commit: Version,
    number: u64,
    failing: bool,
    retry: Retry,
}

impl CommitSequence {
    pub(crate) fn new(
        rows: Arc<dyn Rows>,
        clock: Clock,
        pool: Name,
        token: Version,
        last_commit: Version,
    ) -> Self {
        let [first, longest] = RETRY_DELAYS;
        let retry = Retry::new(first, longest, (&pool, token));
        Self {
            rows,
            clock,
            pool,
            token,
            last_commit,
            number: 0,
            failing: false,
            retry,
        }
    }

    /// Commits progress rows and the figures that go with them; returns the time at which the last
    /// transaction was sent.
    ///
    /// Retries until it is committed: without an answer nothing may be concluded, and nothing later
    /// may be committed before the outcome is known.
    pub(crate) async fn commit(
        &mut self,
        puts: &[(JobId, Bytes)],
        figures: CommitFigures<'_>,
    ) -> Result<Millis, OwnershipLost> {
        let mut remaining = puts;
        loop {
            let (now, later) = remaining.split_at(batch_len(remaining));
            let sent_at = self.commit_one(now, figures).await?;
            if later.is_empty() {
                return Ok(sent_at);
            }
            remaining = later;
        }
    }

    async fn commit_one(
        &mut self,
        puts: &[(JobId, Bytes)],
        figures: CommitFigures<'_>,
    ) -> Result<Millis, OwnershipLost> {
        self.number += 1;
        let txn = self.txn(puts, figures);
        loop {
            let sent_at = self.clock.now();
            let result = self.rows.commit(txn.clone()).await;
            match result {
                Ok(Commit::Committed(version)) => {
                    self.last_commit = version;
                    self.record_success();
                    return Ok(sent_at);
                }
                Ok(Commit::Conflict(current)) => {
                    self.last_commit = self.committed_version(&current)?.ok_or(OwnershipLost)?;
                    return Ok(sent_at);
                }
                Err(Error::Unknown(detail)) => {
                    self.record_failure(&detail);
                    if let Some(version) = self.read_outcome().await? {
                        self.last_commit = version;
                        return Ok(sent_at);
                    }
                }
                Err(error) => {
                    self.record_failure(&error);
                    self.retry.sleep().await;
                }
            }
        }
    }

    fn txn(&self, puts: &[(JobId, Bytes)], figures: CommitFigures<'_>) -> Txn {
        let record = CommitRecord {
            owner: self.token,
            number: self.number,
            queued: figures.queued.clone(),
        };
        let value = serde_json::to_vec(&record).expect("a commit record has text keys");
        let progress = puts
            .iter()
            .map(|(id, value)| (row::progress(&self.pool, id), value.clone()));
        let mut writes: Vec<(Place, Bytes)> = progress.collect();
        writes.push((row::commit_record(&self.pool), value.into()));
        if let Some(wanted) = figures.wanted {
            let value = serde_json::to_vec(&wanted).expect("numbers serialize");
            writes.push((row::desired_workers(&self.pool), value.into()));
        }
        if let Some(load) = figures.load {
            let value = serde_json::to_vec(load).expect("a load has text keys");
            writes.push((row::pool_load(&self.pool), value.into()));
        }
        Txn {
            conditions: vec![
                (row::owner(&self.pool), self.token),
                (row::commit_record(&self.pool), self.last_commit),
            ],
            puts: writes,
            deletes: Vec::new(),
        }
    }

    /// The version of the newest commit, if the current rows of the owner and of the commit record
    /// show that it took effect.
    ///
    /// The owner's row counts as well: a successor that has committed nothing yet leaves the commit
    /// record unchanged. An owner that finds its own commit there would start tasks with deadlines
    /// and leases that count from after the takeover.
    fn committed_version(&self, rows: &[Row]) -> Result<Option<Version>, OwnershipLost> {
        let place = row::owner(&self.pool);
        let owner = rows.iter().find(|row| row.place == place);
        if owner.is_none_or(|row| row.version != self.token) {
            return Err(OwnershipLost);
        }
        Ok(self.own_record(rows))
    }

    /// The version of the commit record among `rows`, if this owner's newest commit wrote it.
    fn own_record(&self, rows: &[Row]) -> Option<Version> {
        let place = row::commit_record(&self.pool);
        let found = rows.iter().find(|row| row.place == place)?;
        let record: CommitRecord = parse(found)?;
        let own = record.owner == self.token && record.number == self.number;
        own.then_some(found.version)
    }

    /// Reads whether the newest commit took effect; `None` if it didn't, or the reads failed.
    async fn read_outcome(&mut self) -> Result<Option<Version>, OwnershipLost> {
        let owner = read_row(&*self.rows, row::owner(&self.pool));
        let record = read_row(&*self.rows, row::commit_record(&self.pool));
        match tokio::try_join!(owner, record) {
            Ok((owner, record)) => {
                let rows: Vec<Row> = owner.into_iter().chain(record).collect();
                self.committed_version(&rows)
            }
            Err(error) => {
                self.record_failure(&error);
                self.retry.sleep().await;
                Ok(None)
            }
        }
    }

    /// Asks the store whether this owner still owns the pool; returns the time at which it was
    /// asked.
    pub(crate) async fn confirm(&mut self) -> Result<Option<Millis>, OwnershipLost> {
        let sent_at = self.clock.now();
        match read_row(&*self.rows, row::owner(&self.pool)).await {
            Ok(found) => {
                self.record_success();
                let own = found.is_some_and(|row| row.version == self.token);
                if own {
                    Ok(Some(sent_at))
                } else {
                    Err(OwnershipLost)
                }
            }
            Err(error) => {
                self.record_failure(&error);
                Ok(None)
            }
        }
    }

    /// Logs once when commits begin to fail, and once when they succeed again.
    fn record_failure(&mut self, error: &dyn std::fmt::Display) {
        if !std::mem::replace(&mut self.failing, true) {
            warn!(pool = &*self.pool, error:% = error; "commits fail");
        }
    }

    fn record_success(&mut self) {
        self.retry.reset();
        if std::mem::take(&mut self.failing) {
            info!(pool = &*self.pool; "commits work again");
        }
    }
}

/// How many of `puts` fit into one transaction; at least one, if there are any.
fn batch_len(puts: &[(JobId, Bytes)]) -> usize {
    let mut bytes = 0;
    let over = puts.iter().take(MAX_ROWS).position(|(_id, value)| {
        bytes += value.len();
        bytes > MAX_BYTES
    });
    over.unwrap_or(puts.len().min(MAX_ROWS))
        .max(usize::from(!puts.is_empty()))
}
