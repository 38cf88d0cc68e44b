//! The keys that this entry granted lately, for truthful answers while the store is down.

use crate::request::Fingerprint;
use parking_lot::Mutex;
use primroseroute_platform::table::Key;
use std::collections::{BTreeMap, VecDeque};

/// A bounded memory of granted keys.
///
/// It never grants: it only turns "not run" into "unknown" for a repeat that arrives here while
/// the store cannot be asked.
#[derive(Debug)]
pub(crate) struct Recent {
    limit: usize,
    granted: Mutex<Granted>,
}

#[derive(Debug, Default)]
struct Granted {
    keys: BTreeMap<Key, Fingerprint>,
    order: VecDeque<Key>,
}

impl Recent {
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
