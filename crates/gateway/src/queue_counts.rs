//! Counts of queued jobs.
//!
//! A pool's owner publishes its counts with each commit. They say nothing about jobs that were
//! accepted since, and nobody may own the pool. Such jobs haven't begun, because an owner commits
//! before it starts anything: they are counted from the change feed of accepted jobs.
//!
//! A queue that was assigned to another pool may have jobs in its former pools too. Their owners name
//! them beside the commit record of the present pool, so that they cost further reads only while
//! there are such jobs.

use crate::{assignments::Assignments, parse::parse};
use log::{debug, info, warn};
use parking_lot::Mutex;
use primroseroute_cell::row::{self, Accepted, CommitRecord, FormerPool, JobKey};
use primroseroute_domain::work::{JobId, Name};
use primroseroute_platform::{
    Error,
    rows::{Feed, Page, Range, Row, Rows, Version},
    site::{Configuration, Queue},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
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
    assignments: Mutex<Assignments>,
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
    /// For each former pool of queues of this one, those of which it has jobs.
    former: BTreeMap<Name, BTreeSet<Name>>,
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
    /// Records a configuration.
    pub(crate) fn apply(&self, configuration: &Configuration) {
        self.assignments.lock().apply(configuration);
    }

    /// The count of a queue, if it was read a moment ago.
    pub(crate) fn recent(&self, queue: &Queue) -> Option<u64> {
        let mut count = self.recent_in(&queue.pool, &queue.name)?;
        for pool in self.former_pools(queue) {
            count += self.recent_in(&pool, &queue.name)?;
        }
        Some(count)
    }

    /// Reads the count of a queue, as far as it wasn't read a moment ago.
    pub(crate) async fn read(&self, rows: &dyn Rows, queue: &Queue) -> Result<u64, Error> {
        let mut count = self.count_in(rows, &queue.pool, &queue.name).await?;
        for pool in self.former_pools(queue) {
            count += self.count_in(rows, &pool, &queue.name).await?;
        }
        Ok(count)
    }

    /// The former pools of a queue that may have jobs of it.
    fn former_pools(&self, queue: &Queue) -> BTreeSet<Name> {
        let assignments = self.assignments.lock();
        let mut former: BTreeSet<Name> = assignments.former(&queue.name).cloned().collect();
        drop(assignments);
        let pools = self.pools.lock();
        let named = pools.get(&queue.pool).into_iter();
        let named = named.flat_map(|counts| &counts.former);
        let named = named.filter(|(_pool, queues)| queues.contains(&queue.name));
        former.extend(named.map(|(pool, _queues)| Name::clone(pool)));
        former.remove(&queue.pool);
        former
    }

    /// The number of jobs of `queue` in `pool`, if it was read a moment ago.
    fn recent_in(&self, pool: &Name, queue: &Name) -> Option<u64> {
        let pools = self.pools.lock();
        let counts = pools.get(pool)?;
        (counts.read_at.elapsed() <= MAX_AGE).then(|| counts.of(queue))
    }

    async fn count_in(&self, rows: &dyn Rows, pool: &Name, queue: &Name) -> Result<u64, Error> {
        match self.recent_in(pool, queue) {
            Some(count) => Ok(count),
            None => self.read_in(rows, pool, queue).await,
        }
    }

    /// Reads the number of jobs of `queue` in `pool`.
    async fn read_in(&self, rows: &dyn Rows, pool: &Name, queue: &Name) -> Result<u64, Error> {
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

    /// Reads the newest commit of a pool, and what former pools of its queues tell. Returns its
    /// counts, with the jobs that are already known to be accepted since, and the newest version of
    /// the store.
    async fn read_commit(
        &self,
        rows: &dyn Rows,
        pool: &Name,
    ) -> Result<(PoolCounts, Version), Error> {
        let place = row::commit_record(pool);
        let range = Range {
            table: Name::clone(&place.table),
            partition: Name::clone(&place.partition),
            from: Some(Name::clone(&place.key)),
            to: Some(row::COMMIT_RECORD_END.into()),
        };
        let read_at = Instant::now();
        let page = rows.read(range).await?;
        let found = page.rows.iter().find(|row| row.place == place);
        let former = former(&page);
        let commit = found.map_or(0, |row| row.version);
        let known = self.pools.lock().get(pool).cloned();
        if let Some(mut known) = known.clone().filter(|known| known.commit == commit) {
            known.read_at = read_at;
            known.former = former;
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
            former,
            accepted: BTreeMap::new(),
            next: commit,
            is_overdue: false,
        };
        Ok((counts, page.version))
    }
}

/// What former pools of queues tell beside the commit record of their present pool.
fn former(page: &Page) -> BTreeMap<Name, BTreeSet<Name>> {
    let mut former = BTreeMap::new();
    for row in &page.rows {
        let Some(pool) = row::former_pool_name(&row.place.key) else {
            continue;
        };
        match parse::<FormerPool>(row) {
            Ok(told) => {
                former.insert(pool, told.queues);
            }
            Err(error) => debug!("former pool not counted: {error}"),
        }
    }
    former
}
