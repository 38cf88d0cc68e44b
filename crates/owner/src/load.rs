//! What a new owner of a pool reads before it does anything.

use crate::{
    cancels::Cancels,
    clock::Clock,
    control::{parsed, read_parts},
};
use primroseroute_cell::{
    Cell,
    row::{self, Accepted, JobKey, Progress},
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
    pub last: Version,
    /// Where the feed of the jobs' table goes on.
    pub next: Version,
    /// Cancelled jobs of which something may run.
    pub cancels: Cancels,
}

/// Reads the pool's jobs into `cell`.
///
/// Progress is read after the ownership was taken, so that no predecessor can change it any more;
/// jobs are read after that, and the feed goes on from there.
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
    let last = work
        .iter()
        .find(|row| &*row.place.key == row::COMMIT_RECORD);
    let last = last.map_or(0, |row| row.version);
    let mut progress: BTreeMap<JobId, Progress> = BTreeMap::new();
    for row in &work {
        if let Some(id) = JobId::parse(&row.place.key)
            && let Some(read) = parsed(row)
        {
            progress.insert(id, read);
        }
    }
    for (id, accepted) in jobs.accepted {
        match progress.remove(&id) {
            Some(progress) => cell.restore(id, accepted, progress),
            None => cell.accept(id, accepted),
        }
    }
    let mut cancels = Cancels::new(pool);
    cancels.found(cell, &jobs.cancelled, clock.wall_ms());
    Ok(Loaded {
        last,
        next,
        cancels,
    })
}

/// A pool's jobs, as gateways have written them.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    pub accepted: BTreeMap<JobId, Accepted>,
    pub cancelled: BTreeSet<JobId>,
}

/// Reads all jobs of a pool; a feed from the version that comes with them misses nothing.
async fn jobs(rows: &dyn Rows, pool: &Name) -> Result<(Jobs, Version), Error> {
    let parts: Vec<Name> = row::id_parts().map(Name::from).collect();
    let table = row::jobs_table(pool);
    let (found, version) = read_parts(rows, &table, &parts).await?;
    Ok((sorted(pool, &found), version))
}

/// Sorts rows of accepted jobs and of cancels; those of other pools in the same table are left out.
pub(crate) fn sorted(pool: &Name, rows: &[Row]) -> Jobs {
    let mut jobs = Jobs::default();
    for row in rows {
        match JobKey::parse(&row.place.key) {
            Some(JobKey::Accepted(id)) => {
                if let Some(accepted) = parsed::<Accepted>(row)
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
            None => log::warn!(key = &*row.place.key; "an unknown row of jobs"),
        }
    }
    jobs
}
