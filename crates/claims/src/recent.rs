//! The keys that this entry granted recently, for correct answers while the store is down.

use crate::request::Fingerprint;
use parking_lot::Mutex;
use primroseroute_platform::table::Key;
use std::collections::{BTreeMap, VecDeque};

/// A bounded cache of granted keys.
///
/// It is never used to grant a key: it only turns "not run" into "unknown" for a repeat that
/// arrives at this entry while the store is unavailable.
#[derive(Debug)]
pub(crate) struct RecentGrants {
    limit: usize,
    granted: Mutex<Granted>,
}

#[derive(Debug, Default)]
struct Granted {
    keys: BTreeMap<Key, Fingerprint>,
    order: VecDeque<Key>,
}

impl RecentGrants {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            granted: Mutex::default(),
        }
    }

    pub(crate) fn insert(&self, key: Key, fingerprint: Fingerprint) {
        let mut granted = self.granted.lock();
        if granted.keys.insert(Key::clone(&key), fingerprint).is_none() {
            granted.order.push_back(key);
        }
        while granted.order.len() > self.limit {
            let oldest = granted.order.pop_front();
            oldest.and_then(|key| granted.keys.remove(&key));
        }
    }

    pub(crate) fn remove(&self, key: &Key) {
        let mut granted = self.granted.lock();
        granted.keys.remove(key);
        granted.order.retain(|other| other != key);
    }

    pub(crate) fn get(&self, key: &Key) -> Option<Fingerprint> {
        self.granted.lock().keys.get(key).cloned()
    }
}
