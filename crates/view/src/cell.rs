//! The one place that publishes snapshots, forward only.

use crate::{Apply, Snapshot};
use arc_swap::ArcSwap;
use primroseroute_domain::change::{Record, Seq};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
};
use tokio::sync::watch;

/// Records kept for peers that are a little behind: an hour of changes at 4,700 a day, and then
/// some; a peer further behind takes the snapshot.
const RECENT: usize = 256;

/// The published snapshot.
///
/// Lock order: `recent` is the only lock and is held while a snapshot is swapped in, so that
/// comparing and publishing are one step.
#[derive(Debug)]
pub struct Cell {
    current: ArcSwap<Snapshot>,
    recent: Mutex<VecDeque<Record>>,
    newest: watch::Sender<Seq>,
}

impl Default for Cell {
    fn default() -> Self {
        Self {
            current: ArcSwap::default(),
            recent: Mutex::default(),
            newest: watch::Sender::new(Seq(0)),
        }
    }
}

impl Cell {
    /// The snapshot in force.
    pub fn current(&self) -> Arc<Snapshot> {
        self.current.load_full()
    }

    /// A receiver that wakes when a newer snapshot is in force.
    pub fn subscribe(&self) -> watch::Receiver<Seq> {
        self.newest.subscribe()
    }

    /// Publishes `next` if it is newer; says whether it was.
    pub fn advance(&self, next: Snapshot) -> bool {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if next.seq() <= self.current.load().seq() {
            return false;
        }
        // A snapshot that jumps leaves a hole after the kept records, so they would mislead.
        recent.clear();
        self.publish(next);
        true
    }

    /// Applies records in order and publishes the result; says whether anything was new.
    ///
    /// # Errors
    /// [`Apply`] as of the first record that cannot be applied; those before it are in force.
    pub fn apply(&self, records: &[Record]) -> Result<bool, Apply> {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let start = self.current.load().seq();
        let mut next = Snapshot::clone(&self.current.load());
        let mut failure = None;
        for record in records.iter().filter(|record| record.seq > start) {
            match next.apply(record) {
                Ok(applied) => next = applied,
                Err(error) => {
                    failure = Some(error);
                    break;
                }
            }
            recent.push_back(record.clone());
            if recent.len() > RECENT {
                recent.pop_front();
            }
        }
        let moved = next.seq() > start;
        if moved {
            self.publish(next);
        }
        failure.map_or(Ok(moved), Err)
    }

    fn publish(&self, next: Snapshot) {
        let seq = next.seq();
        self.current.store(Arc::new(next));
        self.newest.send_replace(seq);
    }

    /// The records after `seq`, or none where some of them are no longer kept.
    pub fn records_after(&self, seq: Seq) -> Option<Vec<Record>> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if seq >= self.current.load().seq() {
            return Some(Vec::new());
        }
        let first = recent.front()?.seq;
        (first <= seq.next()).then(|| recent.iter().filter(|r| r.seq > seq).cloned().collect())
    }
}
