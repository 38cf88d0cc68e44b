//! An owner's commits, in sequence.
//!
//! Each commit is conditional on the owner's row, so that an owner that was replaced commits
//! nothing, and on the row of the previous commit, so that none can take effect twice or late.
//!
//! A transaction that the store rejects as invalid stays so however often it is sent. It is divided
//! until the jobs are known whose rows the store refuses; those of the others are committed.

use crate::{clock::Clock, control::parse};
use bytes::Bytes;
use log::{error, info, warn};
use primroseroute_admission::PoolLoad;
use primroseroute_backoff::Retry;
use primroseroute_cell::{
    Millis,
    row::{
        self, CommitRecord, DesiredWorkers,
        overflow::{self, Change},
    },
};
use primroseroute_domain::work::{JobId, Name};
use primroseroute_platform::{
    Error,
    rows::{Commit, Place, Row, Rows, Txn, Version, read_row},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// Maximum writes of jobs per transaction; the store accepts 100 entries, conditions included.
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

/// Rows of jobs that have changed in a round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobRows<'a> {
    /// Their own rows.
    pub puts: &'a [(JobId, Bytes)],
    /// Changes of those besides.
    pub overflow: &'a BTreeMap<JobId, Change>,
}

/// What has become of the rows of a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Committed {
    /// When the last transaction was sent.
    pub sent_at: Millis,
    /// Jobs whose rows the store refuses: of their progress nothing that depends on these rows is
    /// committed.
    pub refused: BTreeSet<JobId>,
}

/// The store rejects a transaction as invalid.
#[derive(Clone, Debug)]
struct Refused(Error);

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

    /// Commits rows of jobs and the figures that go with them.
    ///
    /// Retries until they are committed or refused: without an answer nothing may be concluded, and
    /// nothing later may be committed before the outcome is known.
    pub(crate) async fn commit(
        &mut self,
        rows: JobRows<'_>,
        figures: CommitFigures<'_>,
    ) -> Result<Committed, OwnershipLost> {
        let units = units(&self.pool, rows);
        let mut batches: Vec<&[Unit<'_>]> = batches(&units);
        batches.reverse();
        let mut figures = figures;
        let mut refused = BTreeSet::new();
        let mut sent_at = self.clock.now();
        while let Some(batch) = batches.pop() {
            let accepted = batch.iter().filter(|unit| !refused.contains(unit.job));
            let accepted: Vec<&Unit<'_>> = accepted.collect();
            match self.commit_one(&accepted, figures).await? {
                Ok(at) => sent_at = at,
                Err(_) if batch.len() > 1 => {
                    let (first, second) = batch.split_at(batch.len() / 2);
                    batches.extend([second, first]);
                }
                Err(Refused(reason)) => {
                    // Only what the store accepts without the job's rows is refused because of them.
                    let alone = self.commit_one(&[], figures).await?;
                    match (alone, accepted.first()) {
                        (Ok(at), Some(unit)) => {
                            sent_at = at;
                            self.log_refused(unit, &reason);
                            refused.insert(unit.job.clone());
                        }
                        (Ok(at), None) => sent_at = at,
                        (Err(_), _) if figures.wanted.is_some() || figures.load.is_some() => {
                            error!(pool = &*self.pool, error:% = reason; "store refuses the published figures of the pool");
                            (figures.wanted, figures.load) = (None, None);
                            batches.push(batch);
                        }
                        (Err(_), _) => {
                            self.record_failure(&reason);
                            self.retry.sleep().await;
                            batches.push(batch);
                        }
                    }
                }
            }
        }
        Ok(Committed { sent_at, refused })
    }

    fn log_refused(&self, unit: &Unit<'_>, reason: &Error) {
        let values = unit
            .writes
            .iter()
            .filter_map(|(_place, value)| value.as_ref());
        let bytes = values.map(Bytes::len).max().unwrap_or(0);
        error!(pool = &*self.pool, job:% = unit.job, bytes, error:% = reason; "store refuses the progress of a job");
    }

    async fn commit_one(
        &mut self,
        units: &[&Unit<'_>],
        figures: CommitFigures<'_>,
    ) -> Result<Result<Millis, Refused>, OwnershipLost> {
        self.number += 1;
        let txn = self.txn(units, figures);
        loop {
            let sent_at = self.clock.now();
            let result = self.rows.commit(txn.clone()).await;
            match result {
                Ok(Commit::Committed(version)) => {
                    self.last_commit = version;
                    self.record_success();
                    return Ok(Ok(sent_at));
                }
                Ok(Commit::Conflict(current)) => {
                    self.last_commit = self.committed_version(&current)?.ok_or(OwnershipLost)?;
                    return Ok(Ok(sent_at));
                }
                Err(Error::Unknown(detail)) => {
                    self.record_failure(&detail);
                    if let Some(version) = self.read_outcome().await? {
                        self.last_commit = version;
                        return Ok(Ok(sent_at));
                    }
                }
                Err(error @ Error::Invalid(_)) => return Ok(Err(Refused(error))),
                Err(error) => {
                    self.record_failure(&error);
                    self.retry.sleep().await;
                }
            }
        }
    }

    fn txn(&self, units: &[&Unit<'_>], figures: CommitFigures<'_>) -> Txn {
        let record = CommitRecord {
            owner: self.token,
            number: self.number,
            queued: figures.queued.clone(),
        };
        let value = serde_json::to_vec(&record).expect("a commit record has text keys");
        let mut writes: Vec<(Place, Bytes)> = Vec::new();
        let mut deletes = Vec::new();
        for (place, value) in units.iter().flat_map(|unit| &unit.writes) {
            match value {
                Some(value) => writes.push((place.clone(), value.clone())),
                None => deletes.push(place.clone()),
            }
        }
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
            deletes,
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

/// Writes of one job that belong into one transaction; a deletion has no value.
struct Unit<'a> {
    job: &'a JobId,
    writes: Vec<(Place, Option<Bytes>)>,
}

impl Unit<'_> {
    fn bytes(&self) -> usize {
        let values = self
            .writes
            .iter()
            .filter_map(|(_place, value)| value.as_ref());
        values.map(Bytes::len).sum()
    }
}

/// The writes for `rows`, in the order in which a part of them may be committed without the rest.
fn units<'a>(pool: &Name, rows: JobRows<'a>) -> Vec<Unit<'a>> {
    let JobRows { puts, overflow } = rows;
    let mut units = Vec::with_capacity(puts.len());
    for (job, change) in overflow {
        units.extend(change.segments.iter().map(|(id, value)| Unit {
            job,
            writes: vec![(overflow::segment(pool, job, *id), Some(value.clone()))],
        }));
    }
    for (job, value) in puts {
        let mut writes = vec![(row::progress(pool, job), Some(value.clone()))];
        let index = overflow.get(job).and_then(|change| change.index.clone());
        writes.extend(index.map(|index| (overflow::index(pool, job), Some(index))));
        units.push(Unit { job, writes });
    }
    for (job, change) in overflow {
        let unneeded = change.unneeded.iter();
        let mut unneeded: Vec<Place> = unneeded
            .map(|id| overflow::segment(pool, job, *id))
            .collect();
        unneeded.extend(change.drop_index.then(|| overflow::index(pool, job)));
        units.extend(unneeded.into_iter().map(|place| Unit {
            job,
            writes: vec![(place, None)],
        }));
    }
    units
}

/// Divides units among transactions; at least one, which then has the figures alone.
fn batches<'a, 'b>(units: &'a [Unit<'b>]) -> Vec<&'a [Unit<'b>]> {
    let mut batches = Vec::new();
    let mut remaining = units;
    loop {
        let (batch, later) = remaining.split_at(batch_len(remaining));
        batches.push(batch);
        if later.is_empty() {
            return batches;
        }
        remaining = later;
    }
}

/// How many of `units` fit into one transaction; at least one, if there are any.
fn batch_len(units: &[Unit<'_>]) -> usize {
    let (mut rows, mut bytes) = (0, 0);
    let over = units.iter().position(|unit| {
        rows += unit.writes.len();
        bytes += unit.bytes();
        rows > MAX_ROWS || bytes > MAX_BYTES
    });
    over.unwrap_or(units.len())
        .max(usize::from(!units.is_empty()))
}
