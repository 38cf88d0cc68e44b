//! What a new owner of a pool reads before it does anything.

use crate::{
    cancels::CancelTracker,
    clock::Clock,
    control::{parse, read_parts},
    tombstones::{Tombstone, Tombstones},
};
use primroseroute_cell::{
    Cell,
    row::{
        self, Accepted, JobKey, Progress,
        overflow::{self, Overflow, WorkKey},
    },
};
use primroseroute_domain::work::{JobId, Name};
use primroseroute_platform::{
    Error,
    rows::{Row, Rows, Version},
};
use std::collections::{BTreeMap, BTreeSet};

/// What was read besides the jobs.
#[derive(Debug)]
pub(crate) struct Loaded {
    /// Version of the row of the predecessor's last commit; 0 if there is none.
    pub last_commit: Version,
    /// Where the change feed of the jobs' table continues.
    pub next: Version,
    /// Cancelled jobs of which something may run.
    pub cancels: CancelTracker,
    /// Tombstones that are to be deleted.
    pub tombstones: Tombstones,
}

/// Reads the pool's jobs into `cell`.
///
/// Progress is read after the ownership was taken, so that no predecessor can change it any more;
/// jobs are read after that, and the change feed continues from there.
pub(crate) async fn load(
    rows: &dyn Rows,
    pool: &Name,
    cell: &mut Cell,
    clock: Clock,
) -> Result<Loaded, Error> {
    let (work, _version) = read_parts(rows, row::WORK, &[Name::clone(pool)]).await?;
    let begin = clock.now();
    let (jobs, next) = jobs(rows, pool).await?;
    cell.advance_feed_watermark(begin);
    let last_commit = work
        .iter()
        .find(|row| &*row.place.key == row::COMMIT_RECORD);
    let last_commit = last_commit.map_or(0, |row| row.version);
    let WorkRows {
        mut progress,
        mut overflow,
    } = sort_work(work);
    for (id, accepted) in jobs.accepted {
        let stored = overflow.remove(&id);
        match progress.remove(&id) {
            Some(own) => {
                let progress = whole_progress(&id, &accepted, own, stored.as_ref());
                cell.restore(id.clone(), accepted, progress);
            }
            None => cell.accept(id.clone(), accepted),
        }
        if let Some(stored) = stored {
            cell.set_stored_overflow(id, stored);
        }
    }
    for (id, stored) in overflow {
        cell.set_stored_overflow(id, stored);
    }
    let mut cancels = CancelTracker::new(pool);
    cancels.apply_found(cell, &jobs.cancelled, clock.wall_ms());
    let mut tombstones = Tombstones::default();
    tombstones.apply(jobs.tombstones);
    Ok(Loaded {
        last_commit,
        next,
        cancels,
        tombstones,
    })
}

/// A pool's progress, as its owners have written it.
#[derive(Debug, Default)]
struct WorkRows {
    progress: BTreeMap<JobId, Progress>,
    overflow: BTreeMap<JobId, Overflow>,
}

fn sort_work(rows: Vec<Row>) -> WorkRows {
    let mut work = WorkRows::default();
    for row in rows {
        let Some(value) = &row.value else {
            continue;
        };
        match WorkKey::parse(&row.place.key) {
            Some(WorkKey::Progress(id)) => {
                if let Some(read) = parse(&row) {
                    work.progress.insert(id, read);
                }
            }
            Some(WorkKey::Index(id)) => {
                work.overflow.entry(id).or_default().index = Some(value.clone());
            }
            Some(WorkKey::Segment(id, segment)) => {
                let stored = work.overflow.entry(id).or_default();
                stored.segments.insert(segment, value.clone());
            }
            None => {}
        }
    }
    work
}

/// The progress of a job; rows besides its own that can't be parsed are logged and left out.
fn whole_progress(
    id: &JobId,
    accepted: &Accepted,
    own: Progress,
    stored: Option<&Overflow>,
) -> Progress {
    let Some(stored) = stored else {
        return own;
    };
    match overflow::decode(accepted, own.clone(), stored) {
        Ok(whole) => whole,
        Err(error) => {
            log::error!(job:% = id, error:% = error; "ignoring rows of a job that can't be parsed");
            own
        }
    }
}

/// A pool's jobs, as gateways have written them.
#[derive(Debug, Default)]
pub(crate) struct JobRows {
    pub accepted: BTreeMap<JobId, Accepted>,
    pub cancelled: BTreeSet<JobId>,
    /// Tombstones; `None` for one that is deleted.
    pub tombstones: BTreeMap<JobId, Option<Tombstone>>,
}

/// Reads all jobs of a pool; a change feed from the returned version misses nothing.
async fn jobs(rows: &dyn Rows, pool: &Name) -> Result<(JobRows, Version), Error> {
    let parts: Vec<Name> = row::id_parts().map(Name::from).collect();
    let table = row::jobs_table(pool);
    let (found, version) = read_parts(rows, &table, &parts).await?;
    Ok((sort_rows(pool, &found), version))
}

/// Sorts rows into accepted jobs, cancels and tombstones; those of other pools in the same table are
/// left out.
pub(crate) fn sort_rows(pool: &Name, rows: &[Row]) -> JobRows {
    let mut jobs = JobRows::default();
    for row in rows {
        match JobKey::parse(&row.place.key) {
            Some(JobKey::Accepted(id)) => {
                if let Some(accepted) = parse::<Accepted>(row)
                    && accepted.pool == *pool
                {
                    jobs.accepted.insert(id, accepted);
                }
            }
            Some(JobKey::Cancel(id)) => {
                if row.value.is_some() {
                    jobs.cancelled.insert(id);
                }
            }
            Some(JobKey::Tombstone(id)) => match Tombstone::of(row) {
                Some((owner, tombstone)) if owner == *pool => {
                    jobs.tombstones.insert(id, Some(tombstone));
                }
                Some(_other_pool) => {}
                None => {
                    jobs.tombstones.insert(id, None);
                }
            },
            None => log::warn!(key = &*row.place.key; "ignoring unknown row in the jobs table"),
        }
    }
    jobs
}
