//! Counts of queued jobs.
//!
//! A pool's owner publishes its counts with each commit. They say nothing about jobs that were
//! accepted since, and nobody may own the pool. Such jobs haven't begun, because an owner commits
//! before it starts anything: they are counted from the change feed of accepted jobs.

use crate::parse::parse;
use log::{debug, info, warn};
use parking_lot::Mutex;
use primroseroute_cell::row::{self, Accepted, CommitRecord, JobKey};
use primroseroute_domain::work::{JobId, Name};
use primroseroute_platform::{
    Error,
    rows::{Feed, Range, Row, Rows, Version},
};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Maximum age of counts that are returned without a new read.
const MAX_AGE: Duration = Duration::from_millis(400);

/// Maximum calls for changes in one read. Each returns hundreds of jobs; the next read continues
/// from there.
const MAX_FEED_CALLS: usize = 8;

/// How long no commit must have been seen, while jobs are accepted, to be logged. An owner that
/// works commits much sooner.
const COMMIT_OVERDUE: Duration = Duration::from_secs(2);

/// The counts of all pools that were asked for.
#[derive(Debug, Default)]
pub(crate) struct QueueCounts {
    pools: Mutex<BTreeMap<Name, PoolCounts>>,
}

/// The counts of one pool.
#[derive(Clone, Debug)]
struct PoolCounts {
    read_at: Instant,
    /// Version of the newest commit, and when it was first read.
    commit: Version,
    commit_read_at: Instant,
    /// By queue, the jobs that this commit counts.
    committed: BTreeMap<Name, u64>,
    /// Jobs that were accepted later, with their queues.
    accepted: BTreeMap<JobId, Name>,
    /// Version up to which `accepted` is complete.
    next: Version,
    /// Whether it was logged that no commits are seen.
    is_overdue: bool,
}

impl PoolCounts {
    fn of(&self, queue: &Name) -> u64 {
        let committed = self.committed.get(queue).copied().unwrap_or(0);
        let accepted = self.accepted.values().filter(|of| *of == queue).count();
        committed + accepted as u64
    }

    /// Applies a change of the table of accepted jobs, which pools share.
    fn apply(&mut self, pool: &Name, row: &Row) {
        match (JobKey::parse(&row.place.key), &row.value) {
            (Some(JobKey::Accepted(id)), Some(_)) => match parse::<Accepted>(row) {
                Ok(accepted) if accepted.pool == *pool => {
                    self.accepted.insert(id, accepted.queue);
                }
                Ok(_other_pool) => {}
                Err(error) => debug!("job not counted: {error}"),
            },
            (Some(JobKey::Accepted(id)), None) | (Some(JobKey::Cancel(id)), Some(_)) => {
                self.accepted.remove(&id);
            }
            _ => {}
        }
    }

    /// Logs once that no commits are seen.
    fn log_overdue(&mut self, pool: &Name) {
        let accepted = self.accepted.len();
        let overdue = accepted > 0 && self.commit_read_at.elapsed() >= COMMIT_OVERDUE;
        if overdue && !std::mem::replace(&mut self.is_overdue, true) {
            warn!(pool = &**pool, commit = self.commit, accepted; "pool without commits; counting jobs accepted since the last one");
        }
    }
}

impl QueueCounts {
    /// The count of `queue`, a queue of `pool`, if it was read a moment ago.
    pub(crate) fn recent(&self, pool: &Name, queue: &Name) -> Option<u64> {
        let pools = self.pools.lock();
        let counts = pools.get(pool)?;
        (counts.read_at.elapsed() <= MAX_AGE).then(|| counts.of(queue))
    }

    /// Reads the count of `queue`, a queue of `pool`.
    pub(crate) async fn read(
        &self,
        rows: &dyn Rows,
        pool: &Name,
        queue: &Name,
    ) -> Result<u64, Error> {
        let (mut counts, newest) = self.read_commit(rows, pool).await?;
        let table = row::jobs_table(pool);
        for _call in 0..MAX_FEED_CALLS {
            match rows.feed(&table, counts.next, Duration::ZERO).await? {
                Feed::Changes {
                    items,
                    next,
                    complete,
                } => {
                    for row in &items {
                        counts.apply(pool, row);
                    }
                    counts.next = next;
                    if complete {
                        break;
                    }
                }
                // The last commit is older than the history: jobs are counted from here on.
                Feed::Compacted => counts.next = newest,
            }
        }
        counts.log_overdue(pool);
        let count = counts.of(queue);
        self.pools.lock().insert(Name::clone(pool), counts);
        Ok(count)
    }

    /// Reads the newest commit of a pool. Returns its counts, with the jobs that are already known
    /// to be accepted since, and the newest version of the store.
    async fn read_commit(
        &self,
        rows: &dyn Rows,
        pool: &Name,
    ) -> Result<(PoolCounts, Version), Error> {
        let place = row::commit_record(pool);
        let end = format!("{}\u{0}", place.key);
        let range = Range {
            table: place.table,
            partition: place.partition,
            from: Some(place.key),
            to: Some(end.into()),
        };
        let read_at = Instant::now();
        let page = rows.read(range).await?;
        let found = page.rows.first();
        let commit = found.map_or(0, |row| row.version);
        let known = self.pools.lock().get(pool).cloned();
        if let Some(mut known) = known.clone().filter(|known| known.commit == commit) {
            known.read_at = read_at;
            return Ok((known, page.version));
        }
        if known.is_some_and(|known| known.is_overdue) {
            info!(pool = &**pool, commit; "pool has commits again");
        }
        let record: CommitRecord = found.map(parse).transpose()?.unwrap_or_default();
        let counts = PoolCounts {
            read_at,
            commit,
            commit_read_at: read_at,
            committed: record.queued,
            accepted: BTreeMap::new(),
            next: commit,
            is_overdue: false,
        };
        Ok((counts, page.version))
    }
}
