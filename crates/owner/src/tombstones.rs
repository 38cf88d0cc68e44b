//! Tombstones of cancelled ids, and their deletion.
//!
//! A tombstone keeps a submission out that is carried out late, or that its caller sends again. Both
//! happen seconds after the cancel. It is kept as long as the rows of a finished job.

use crate::{control::parse, event::Event};
use log::{debug, info};
use primroseroute_cell::{
    Millis,
    row::{self, tombstone::Marker},
};
use primroseroute_domain::work::{JobId, Name};
use primroseroute_platform::{
    Error,
    rows::{Commit, Place, Row, Rows, Txn, Version},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::{sync::mpsc::UnboundedSender, time::Instant};

/// Minimum time in milliseconds for which a tombstone is kept, on a site whose finished jobs are
/// readable for a shorter time.
const MIN_RETENTION_MS: u64 = 120_000;

/// Time between two deletions. Tombstones of one partition that expire within it cost one
/// transaction.
const DELETE_INTERVAL_MS: Millis = 10_000;

/// Maximum number of tombstones per transaction; the store accepts 100 entries, and each has a
/// condition and two rows.
const MAX_PER_TXN: usize = 33;

/// Maximum number of transactions per deletion. Full ones keep up with a store that takes 600 cancels
/// of unknown ids a second.
const MAX_TXNS: usize = 200;

/// A tombstone, as its marker describes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Tombstone {
    /// Version of its rows.
    version: Version,
    /// Wall-clock time of the cancel in milliseconds since 1970.
    at_ms: u64,
}

impl Tombstone {
    /// The pool whose owner deletes the tombstone, and the tombstone; `None` for a deleted marker.
    pub(crate) fn of(marker: &Row) -> Option<(Name, Self)> {
        marker.value.as_ref()?;
        let Marker { pool, at_ms } = parse(marker)?;
        let version = marker.version;
        Some((pool, Self { version, at_ms }))
    }
}

/// The tombstones of a pool.
#[derive(Debug, Default)]
pub(crate) struct Tombstones {
    stored: BTreeMap<JobId, Tombstone>,
    next_deletion_at: Millis,
}

impl Tombstones {
    /// Applies what was read; `None` for a tombstone that is deleted.
    pub(crate) fn apply(&mut self, read: BTreeMap<JobId, Option<Tombstone>>) {
        for (id, tombstone) in read {
            match tombstone {
                Some(tombstone) => {
                    self.stored.insert(id, tombstone);
                }
                None => {
                    self.stored.remove(&id);
                }
            }
        }
    }

    /// Removes tombstones that the store no longer has in these versions.
    pub(crate) fn remove(&mut self, gone: Vec<(JobId, Version)>) {
        for (id, version) in gone {
            let known = self.stored.get(&id);
            if known.is_some_and(|known| known.version == version) {
                self.stored.remove(&id);
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.stored.len()
    }

    /// Tombstones that are to be deleted now, by transactions.
    pub(crate) fn due(
        &mut self,
        row_retention: Millis,
        (now, wall_ms): (Millis, u64),
    ) -> Vec<Vec<(JobId, Version)>> {
        if now < self.next_deletion_at {
            return Vec::new();
        }
        self.next_deletion_at = now + DELETE_INTERVAL_MS;
        let retention = row_retention.max(MIN_RETENTION_MS);
        let stored = self.stored.iter();
        let expired =
            stored.filter(|(_id, known)| wall_ms >= known.at_ms.saturating_add(retention));
        let mut parts: BTreeMap<String, Vec<(JobId, Version)>> = BTreeMap::new();
        for (id, known) in expired {
            let part = parts.entry(row::id_part(id)).or_default();
            part.push((id.clone(), known.version));
        }
        let txns = parts.values().flat_map(|part| part.chunks(MAX_PER_TXN));
        txns.take(MAX_TXNS).map(<[_]>::to_vec).collect()
    }
}

/// Deletes tombstones, one transaction after the other, until the next deletion is due.
pub(crate) async fn delete(
    rows: Arc<dyn Rows>,
    pool: Name,
    due: Vec<Vec<(JobId, Version)>>,
    events: UnboundedSender<Event>,
) {
    let begin = Instant::now();
    let mut deleted = 0;
    for batch in due {
        if begin.elapsed() >= Duration::from_millis(DELETE_INTERVAL_MS) {
            break;
        }
        match delete_batch(&*rows, &pool, &batch).await {
            Ok(gone) => {
                deleted += gone.len();
                if events.send(Event::TombstonesDeleted(gone)).is_err() {
                    debug!("the pool's loop has ended");
                }
            }
            Err(error) => {
                // They are due again at the next deletion, of a successor as well.
                info!(pool = &*pool, error:% = error; "deleting expired tombstones failed");
                break;
            }
        }
    }
    info!(pool = &*pool, deleted; "expired tombstones deleted");
}

/// Deletes those of one transaction that are stored in the given version. Returns which are gone, or
/// are replaced.
async fn delete_batch(
    rows: &dyn Rows,
    pool: &Name,
    batch: &[(JobId, Version)],
) -> Result<Vec<(JobId, Version)>, Error> {
    let found = match rows.commit(deletion(pool, batch)).await? {
        Commit::Committed(_) => return Ok(batch.to_vec()),
        Commit::Conflict(found) => found,
    };
    let found: BTreeSet<(&Place, Version)> =
        found.iter().map(|row| (&row.place, row.version)).collect();
    let (kept, changed): (Vec<_>, Vec<_>) = batch
        .iter()
        .cloned()
        .partition(|(id, version)| found.contains(&(&row::claim(id), *version)));
    if kept.is_empty() {
        return Ok(changed);
    }
    match rows.commit(deletion(pool, &kept)).await? {
        Commit::Committed(_) => Ok(batch.to_vec()),
        Commit::Conflict(_) => Ok(changed),
    }
}

fn deletion(pool: &Name, batch: &[(JobId, Version)]) -> Txn {
    let conditions = batch.iter().map(|(id, version)| (row::claim(id), *version));
    let markers = batch
        .iter()
        .map(|(id, _version)| row::tombstone::marker(pool, id));
    let claims = batch.iter().map(|(id, _version)| row::claim(id));
    Txn {
        conditions: conditions.collect(),
        puts: Vec::new(),
        deletes: claims.chain(markers).collect(),
    }
}
