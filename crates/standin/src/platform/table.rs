//! The transactional table.

use super::{
    Platform,
    call::{Cost, Effect},
    tally::Kind,
};
use async_trait::async_trait;
use bytes::Bytes;
use primroseroute_platform::{
    error::Error,
    table::{Commit, Condition, Key, Page, Revision, Row, Scan, Table, Txn, Write},
};
use std::{collections::BTreeMap, ops::Bound};
use tokio::time::Instant;

#[derive(Debug, Default)]
pub(super) struct Rows {
    newest: Revision,
    stored: BTreeMap<Key, (Bytes, Revision)>,
    journal: Option<Vec<Entry>>,
}

/// A committed transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// When it took effect, regardless of when or whether its response arrived.
    pub at: Instant,
    /// Its writes.
    pub writes: Vec<Write>,
}

fn row_bytes(key: &Key, value: &Bytes) -> u64 {
    (key.len() + value.len()) as u64
}

impl Rows {
    fn row(&self, key: &Key) -> Option<Row> {
        let (value, revision) = self.stored.get(key)?;
        Some(Row {
            key: Key::clone(key),
            value: value.clone(),
            revision: *revision,
        })
    }

    fn scan(&self, scan: &Scan) -> Page {
        let from = match &scan.after {
            Some(after) if after.as_ref() >= scan.prefix.as_ref() => Bound::Excluded(after),
            _ => Bound::Included(&scan.prefix),
        };
        let mut found = self
            .stored
            .range::<Key, _>((from, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(scan.prefix.as_ref()))
            .map(|(key, (value, revision))| Row {
                key: Key::clone(key),
                value: value.clone(),
                revision: *revision,
            });
        let rows = found.by_ref().take(scan.limit as usize).collect();
        let more = found.next().is_some();
        Page { rows, more }
    }

    fn holds(&self, condition: &Condition) -> bool {
        match condition {
            Condition::Absent(key) => !self.stored.contains_key(key),
            Condition::At(key, revision) => {
                self.stored.get(key).is_some_and(|(_, at)| at == revision)
            }
        }
    }

    fn commit(&mut self, txn: Txn) -> Commit {
        if let Some(failed) = txn.conditions.iter().find(|c| !self.holds(c)) {
            let (Condition::Absent(key) | Condition::At(key, _)) = failed;
            return Commit::Conflict(Key::clone(key));
        }
        let revision = Revision(self.newest.0 + 1);
        self.newest = revision;
        if let Some(journal) = &mut self.journal {
            let at = Instant::now();
            journal.push(Entry {
                at,
                writes: txn.writes.clone(),
            });
        }
        for write in txn.writes {
            match write {
                Write::Put(key, value) => {
                    self.stored.insert(key, (value, revision));
                }
                Write::Delete(key) => {
                    self.stored.remove(&key);
                }
            }
        }
        Commit::Committed(revision)
    }
}

impl Platform {
    /// Records every transaction from now on, for tests that check the order of effects.
    pub fn keep_journal(&self) {
        self.shared.rows.lock().journal = Some(Vec::new());
    }

    /// The transactions that took effect since [`Self::keep_journal`], in order.
    pub fn journal(&self) -> Vec<Entry> {
        self.shared.rows.lock().journal.clone().unwrap_or_default()
    }
}

fn txn_bytes(txn: &Txn) -> u64 {
    let each = txn.writes.iter().map(|write| match write {
        Write::Put(key, value) => row_bytes(key, value),
        Write::Delete(key) => key.len() as u64,
    });
    each.sum()
}

#[async_trait]
impl Table for Platform {
    async fn read(&self, key: &Key) -> Result<Option<Row>, Error> {
        let key = Key::clone(key);
        self.call(Kind::Read, Cost::Reads, move |shared| {
            let row = shared.rows.lock().row(&key);
            Ok(Effect {
                rows: u64::from(row.is_some()),
                bytes: row
                    .as_ref()
                    .map_or(0, |row| row_bytes(&row.key, &row.value)),
                answer: row,
            })
        })
        .await
    }

    async fn scan(&self, scan: Scan) -> Result<Page, Error> {
        self.call(Kind::Scan, Cost::Reads, move |shared| {
            let page = shared.rows.lock().scan(&scan);
            Ok(Effect {
                rows: page.rows.len() as u64,
                bytes: page
                    .rows
                    .iter()
                    .map(|row| row_bytes(&row.key, &row.value))
                    .sum(),
                answer: page,
            })
        })
        .await
    }

    async fn commit(&self, txn: Txn) -> Result<Commit, Error> {
        let rows = txn.writes.len() as u64;
        let bytes = txn_bytes(&txn);
        self.call(Kind::Commit, Cost::Writes(rows.max(1)), move |shared| {
            let answer = shared.rows.lock().commit(txn);
            let wrote = matches!(answer, Commit::Committed(_));
            Ok(Effect {
                answer,
                rows: if wrote { rows } else { 0 },
                bytes: if wrote { bytes } else { 0 },
            })
        })
        .await
    }
}
