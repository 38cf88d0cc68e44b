//! An in-memory table whose commits can be lost, late, slow or refused.

use async_trait::async_trait;
use parking_lot::Mutex;
use primroseroute_claims::ClaimRow;
use primroseroute_platform::{
    error::Error,
    table::{self, Commit, Condition, Key, Page, Revision, Scan, Table, Txn, Write},
};
use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};
use tokio::time::sleep;

/// Fault injected into one commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Refused; not applied.
    Refused,
    /// The result is lost and the commit is not applied.
    LostBefore,
    /// The result is lost after the commit is applied.
    LostAfter,
    /// The result is lost, and the commit is attempted this much later.
    Late(Duration),
}

/// Counts of the table's operations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    pub commits: usize,
    pub rows_written: usize,
    pub rows_read: usize,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Key, table::Row>,
    revision: u64,
    script: VecDeque<Fault>,
    random: Option<ChaCha12Rng>,
    down: bool,
    reads_down: bool,
    latency: Duration,
    load: Load,
}

#[derive(Clone, Debug, Default)]
pub struct FakeTable {
    state: Arc<Mutex<State>>,
}

impl FakeTable {
    /// Sets the faults of the next commits, one each.
    pub fn inject(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state.lock().script.extend(faults);
    }

    /// Enables random faults and latencies, or disables them.
    pub fn set_random_faults(&self, random: Option<ChaCha12Rng>) {
        self.state.lock().random = random;
    }

    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Sets whether reads fail while commits succeed.
    pub fn set_reads_down(&self, down: bool) {
        self.state.lock().reads_down = down;
    }

    pub fn set_latency(&self, latency: Duration) {
        self.state.lock().latency = latency;
    }

    pub fn load(&self) -> Load {
        self.state.lock().load
    }

    /// All claim rows, decoded.
    pub fn rows(&self) -> Vec<ClaimRow> {
        let state = self.state.lock();
        let decode = |row: &table::Row| serde_json::from_slice(&row.value).expect("a claim row");
        state.rows.values().map(decode).collect()
    }

    fn fault(&self) -> (Fault, Duration) {
        let mut state = self.state.lock();
        state.load.commits += 1;
        if state.down {
            return (Fault::Refused, state.latency);
        }
        if let Some(fault) = state.script.pop_front() {
            return (fault, state.latency);
        }
        let Some(random) = &mut state.random else {
            return (Fault::None, state.latency);
        };
        let latency = Duration::from_millis(random.random_range(0..40));
        let late = Duration::from_millis(random.random_range(0..5000));
        let fault = match random.random_range(0..100) {
            0..50 => Fault::None,
            50..60 => Fault::Refused,
            60..72 => Fault::LostBefore,
            72..85 => Fault::LostAfter,
            _ => Fault::Late(late),
        };
        (fault, latency)
    }
}

impl State {
    fn apply(&mut self, txn: &Txn) -> Commit {
        for condition in &txn.conditions {
            let (key, holds) = match condition {
                Condition::Absent(key) => (key, !self.rows.contains_key(key)),
                Condition::At(key, at) => (
                    key,
                    self.rows.get(key).is_some_and(|row| row.revision == *at),
                ),
            };
            if !holds {
                return Commit::Conflict(Key::clone(key));
            }
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        for write in &txn.writes {
            self.load.rows_written += 1;
            match write {
                Write::Put(key, value) => {
                    let row = table::Row {
                        key: Key::clone(key),
                        value: value.clone(),
                        revision,
                    };
                    self.rows.insert(Key::clone(key), row);
                }
                Write::Delete(key) => drop(self.rows.remove(key)),
            }
        }
        Commit::Committed(revision)
    }
}

fn lost() -> Error {
    Error::Unknown("lost".to_owned())
}

#[async_trait]
impl Table for FakeTable {
    async fn read(&self, key: &Key) -> Result<Option<table::Row>, Error> {
        let latency = self.state.lock().latency;
        sleep(latency).await;
        let mut state = self.state.lock();
        state.load.rows_read += 1;
        if state.down || state.reads_down {
            return Err(Error::Unavailable("down".to_owned()));
        }
        Ok(state.rows.get(key).cloned())
    }

    async fn scan(&self, scan: Scan) -> Result<Page, Error> {
        let mut state = self.state.lock();
        let limit = usize::try_from(scan.limit).expect("fits");
        let wanted = |key: &Key| {
            key.starts_with(&*scan.prefix) && scan.after.as_ref().is_none_or(|after| key > after)
        };
        let mut rows: Vec<table::Row> = state
            .rows
            .values()
            .filter(|row| wanted(&row.key))
            .cloned()
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        state.load.rows_read += rows.len();
        Ok(Page { rows, more })
    }

    async fn commit(&self, txn: Txn) -> Result<Commit, Error> {
        let (fault, latency) = self.fault();
        sleep(latency).await;
        match fault {
            Fault::None => Ok(self.state.lock().apply(&txn)),
            Fault::Refused => Err(Error::Unavailable("down".to_owned())),
            Fault::LostBefore => Err(lost()),
            Fault::LostAfter => {
                self.state.lock().apply(&txn);
                Err(lost())
            }
            Fault::Late(later) => {
                let state = Arc::clone(&self.state);
                tokio::spawn(async move {
                    sleep(later).await;
                    state.lock().apply(&txn);
                });
                Err(lost())
            }
        }
    }
}
