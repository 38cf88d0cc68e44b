//! The job rows of the table as they were last taken in.

use primroseroute_domain::{
    change::Seq,
    id,
    outcome::{Code, Refusal},
};
use primroseroute_jobs::{Row, State};
use primroseroute_ledger::{Versioned, key};
use primroseroute_view::Snapshot;
use std::{collections::BTreeMap, ops::Bound, sync::Arc};

/// Rows of ended jobs that are kept for operators, the newest ones.
const KEPT: usize = 1000;

/// Rows of ended jobs that one change deletes.
const DELETED: usize = 100;

#[derive(Debug)]
struct Known {
    json: Arc<str>,
    row: Versioned<Row>,
}

/// What one look has found.
#[derive(Debug, Default)]
pub(super) struct Found {
    /// Rows that are new or were written since.
    pub(super) written: Vec<Row>,
    /// Jobs whose rows are gone.
    pub(super) gone: Vec<id::Job>,
}

/// The job rows of the table as they were last taken in; clones share the rows.
#[derive(Clone, Debug, Default)]
pub(super) struct Mirror(BTreeMap<Arc<str>, Arc<Known>>);

/// Whether the job waits for nobody any more.
pub(super) fn is_over(state: &State) -> bool {
    matches!(state, State::Done | State::Cancelled)
}

impl Mirror {
    /// Takes in the rows of `snapshot`; only those that changed are read.
    ///
    /// # Errors
    /// [`Code::ViewStale`] where a row cannot be read.
    pub(super) fn look(&mut self, snapshot: &Snapshot) -> Result<Found, Refusal> {
        let mut found = Found::default();
        let from = (Bound::Included(key::JOBS), Bound::Unbounded);
        let rows = snapshot.rows().range::<str, _>(from);
        let mut next = BTreeMap::new();
        for (key, json) in rows.take_while(|(key, _)| key.starts_with(key::JOBS)) {
            let known = match self.0.remove(key) {
                Some(known) if known.json == *json => known,
                _ => {
                    let known = Arc::new(read(key, json)?);
                    found.written.push(known.row.value.clone());
                    known
                }
            };
            next.insert(Arc::clone(key), known);
        }
        let gone = self.0.values().map(|known| known.row.value.id.clone());
        found.gone = gone.collect();
        self.0 = next;
        Ok(found)
    }

    fn get(&self, job: &id::Job) -> Option<&Versioned<Row>> {
        self.0.get(&key::job(job)).map(|known| &known.row)
    }

    /// The version of a row.
    pub(super) fn version(&self, job: &id::Job) -> Option<Seq> {
        self.get(job).map(|row| row.version)
    }

    /// Whether the table has just this row.
    pub(super) fn has(&self, row: &Row) -> bool {
        self.get(&row.id).is_some_and(|known| known.value == *row)
    }

    /// The rows as they are.
    pub(super) fn rows(&self) -> impl Iterator<Item = &Row> {
        self.0.values().map(|known| &known.row.value)
    }

    /// Jobs that ended the longest ago, beyond those that are kept; as many as one change deletes.
    pub(super) fn outdated(&self) -> Vec<(id::Job, Seq)> {
        let over = |known: &&Arc<Known>| is_over(&known.row.value.state);
        let mut ended: Vec<(Seq, &id::Job)> = self
            .0
            .values()
            .filter(over)
            .map(|known| (known.row.version, &known.row.value.id))
            .collect();
        ended.sort_unstable();
        let excess = ended.len().saturating_sub(KEPT).min(DELETED);
        let oldest = ended.into_iter().take(excess);
        oldest.map(|(seq, job)| (job.clone(), seq)).collect()
    }
}

fn read(key: &Arc<str>, json: &Arc<str>) -> Result<Known, Refusal> {
    let row = serde_json::from_str(json)
        .map_err(|error| Refusal::new(Code::ViewStale, format!("row `{key}`: {error}")))?;
    Ok(Known {
        json: Arc::clone(json),
        row,
    })
}
