//! Publishes snapshots; the published sequence number only increases.

use crate::{ApplyError, Snapshot};
use arc_swap::ArcSwap;
use primroseroute_domain::change::{Record, Seq};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
};
use tokio::sync::watch;

/// Records retained for peers that lag slightly: more than an hour of changes at 4,700 a day. A
/// peer further behind gets the snapshot.
const MAX_RECENT_RECORDS: usize = 256;

/// The published snapshot.
///
/// Lock order: `recent` is the only lock. It is held while a snapshot is swapped in, so that
/// comparing and publishing are one atomic step.
#[derive(Debug)]
pub struct SnapshotCell {
    current: ArcSwap<Snapshot>,
    recent: Mutex<VecDeque<Record>>,
    newest: watch::Sender<Seq>,
}

impl Default for SnapshotCell {
    fn default() -> Self {
        Self {
            current: ArcSwap::default(),
            recent: Mutex::default(),
            newest: watch::Sender::new(Seq(0)),
        }
    }
}

impl SnapshotCell {
    /// The published snapshot.
    pub fn current(&self) -> Arc<Snapshot> {
        self.current.load_full()
    }

    /// A receiver that is notified when a newer snapshot is published.
    pub fn subscribe(&self) -> watch::Receiver<Seq> {
        self.newest.subscribe()
    }

    /// Publishes `next` if it is newer than the current snapshot; returns whether it was.
    pub fn publish_if_newer(&self, next: Snapshot) -> bool {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if next.seq() <= self.current.load().seq() {
            return false;
        }
        // The records between the retained ones and this snapshot are missing, so the retained ones
        // cannot be offered as a contiguous list.
        recent.clear();
        self.publish(next);
        true
    }

    /// Applies records in order and publishes the result; returns whether the snapshot changed.
    ///
    /// # Errors
    /// [`ApplyError`] for the first record that cannot be applied; the records before it are
    /// published.
    pub fn apply(&self, records: &[Record]) -> Result<bool, ApplyError> {
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
            if recent.len() > MAX_RECENT_RECORDS {
                recent.pop_front();
            }
        }
        let advanced = next.seq() > start;
        if advanced {
            self.publish(next);
        }
        failure.map_or(Ok(advanced), Err)
    }

    fn publish(&self, next: Snapshot) {
        let seq = next.seq();
        self.current.store(Arc::new(next));
        self.newest.send_replace(seq);
    }

    /// The records after `seq`, or `None` if some of them are no longer retained.
    pub fn records_after(&self, seq: Seq) -> Option<Vec<Record>> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if seq >= self.current.load().seq() {
            return Some(Vec::new());
        }
        let first = recent.front()?.seq;
        (first <= seq.next()).then(|| recent.iter().filter(|r| r.seq > seq).cloned().collect())
    }
}
