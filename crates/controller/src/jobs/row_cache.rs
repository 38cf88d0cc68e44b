//! Cache of the table's decoded job rows.

use primroseroute_domain::{
    change::Seq,
    id,
    outcome::{Code, Refusal},
};
use primroseroute_jobs::{Row, State};
use primroseroute_ledger::{Versioned, key};
use primroseroute_view::Snapshot;
use std::{collections::BTreeMap, ops::Bound, sync::Arc};

/// Number of ended jobs, the newest ones, whose rows are retained for operators.
const MAX_ENDED_ROWS: usize = 1000;

/// Rows of ended jobs that one change deletes at most.
const MAX_DELETED_ROWS: usize = 100;

#[derive(Debug)]
struct CachedRow {
    json: Arc<str>,
    row: Versioned<Row>,
}

/// Differences found by a refresh.
#[derive(Debug, Default)]
pub(super) struct RowChanges {
    /// Rows that were created or written since.
    pub(super) written: Vec<Row>,
    /// Jobs whose rows were deleted since.
    pub(super) deleted: Vec<id::Job>,
}

/// The job rows as of the last refresh; clones share the rows.
#[derive(Clone, Debug, Default)]
pub(super) struct JobRowCache(BTreeMap<Arc<str>, Arc<CachedRow>>);

/// Whether the job has ended and needs no further action.
pub(super) fn has_ended(state: &State) -> bool {
    matches!(state, State::Done | State::Cancelled)
}

impl JobRowCache {
    /// Updates the cache from `snapshot`; only rows that have changed are decoded.
    ///
    /// # Errors
    /// [`Code::ViewStale`] if a row cannot be decoded.
    pub(super) fn refresh(&mut self, snapshot: &Snapshot) -> Result<RowChanges, Refusal> {
        let mut changes = RowChanges::default();
        let from = (Bound::Included(key::JOBS), Bound::Unbounded);
        let rows = snapshot.rows().range::<str, _>(from);
        let mut next = BTreeMap::new();
        for (key, json) in rows.take_while(|(key, _)| key.starts_with(key::JOBS)) {
            let cached = match self.0.remove(key) {
                Some(cached) if cached.json == *json => cached,
                _ => {
                    let cached = Arc::new(decode(key, json)?);
                    changes.written.push(cached.row.value.clone());
                    cached
                }
            };
            next.insert(Arc::clone(key), cached);
        }
        let deleted = self.0.values().map(|cached| cached.row.value.id.clone());
        changes.deleted = deleted.collect();
        self.0 = next;
        Ok(changes)
    }

    fn get(&self, job: &id::Job) -> Option<&Versioned<Row>> {
        self.0.get(&key::job(job)).map(|cached| &cached.row)
    }

    /// Version of a job's row.
    pub(super) fn version(&self, job: &id::Job) -> Option<Seq> {
        self.get(job).map(|row| row.version)
    }

    /// Whether the table contains exactly this row.
    pub(super) fn contains(&self, row: &Row) -> bool {
        self.get(&row.id).is_some_and(|cached| cached.value == *row)
    }

    /// All rows.
    pub(super) fn rows(&self) -> impl Iterator<Item = &Row> {
        self.0.values().map(|cached| &cached.row.value)
    }

    /// The oldest ended jobs beyond those that are retained, as many as one change deletes.
    pub(super) fn rows_to_delete(&self) -> Vec<(id::Job, Seq)> {
        let is_ended = |cached: &&Arc<CachedRow>| has_ended(&cached.row.value.state);
        let mut ended: Vec<(Seq, &id::Job)> = self
            .0
            .values()
            .filter(is_ended)
            .map(|cached| (cached.row.version, &cached.row.value.id))
            .collect();
        ended.sort_unstable();
        let excess = ended
            .len()
            .saturating_sub(MAX_ENDED_ROWS)
            .min(MAX_DELETED_ROWS);
        let oldest = ended.into_iter().take(excess);
        oldest.map(|(seq, job)| (job.clone(), seq)).collect()
    }
}

fn decode(key: &Arc<str>, json: &Arc<str>) -> Result<CachedRow, Refusal> {
    let row = serde_json::from_str(json)
        .map_err(|error| Refusal::new(Code::ViewStale, format!("row `{key}`: {error}")))?;
    Ok(CachedRow {
        json: Arc::clone(json),
        row,
    })
}
