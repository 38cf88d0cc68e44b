//! A cache of final states: they never change, so they need no second read.

use parking_lot::Mutex;
use primroseroute_domain::work::{JobId, Name, State};
use std::collections::{BTreeMap, VecDeque};

/// Maximum states that are kept; at 100 bytes each they take 200 KB.
const MAX_STATES: usize = 2_000;

/// A bounded cache of final states; the oldest are evicted first.
#[derive(Debug, Default)]
pub(crate) struct FinalStates {
    cache: Mutex<Cache>,
}

#[derive(Debug, Default)]
struct Cache {
    states: BTreeMap<JobId, (State, Option<Name>)>,
    order: VecDeque<JobId>,
}

impl FinalStates {
    /// The final state of a job, and the account that it belongs to.
    pub(crate) fn get(&self, id: &JobId) -> Option<(State, Option<Name>)> {
        self.cache.lock().states.get(id).cloned()
    }

    pub(crate) fn insert(&self, id: &JobId, state: State, account: Option<Name>) {
        if !state.is_final() {
            return;
        }
        let mut cache = self.cache.lock();
        if cache.states.insert(id.clone(), (state, account)).is_none() {
            cache.order.push_back(id.clone());
        }
        if cache.order.len() > MAX_STATES
            && let Some(oldest) = cache.order.pop_front()
        {
            cache.states.remove(&oldest);
        }
    }
}
