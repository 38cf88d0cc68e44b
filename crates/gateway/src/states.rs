//! Final states that were read before: they never change, so they need no second read.

use parking_lot::Mutex;
use primroseroute_domain::work::{JobId, State};
use std::collections::{BTreeMap, VecDeque};

/// Most states that are kept; at 100 bytes each they take 200 KB.
const MOST: usize = 2_000;

/// A bounded memory of final states; the oldest go first.
#[derive(Debug, Default)]
pub(crate) struct States {
    known: Mutex<Known>,
}

#[derive(Debug, Default)]
struct Known {
    states: BTreeMap<JobId, State>,
    order: VecDeque<JobId>,
}

impl States {
    pub(crate) fn get(&self, id: &JobId) -> Option<State> {
        self.known.lock().states.get(id).copied()
    }

    pub(crate) fn keep(&self, id: &JobId, state: State) {
        if !state.is_final() {
            return;
        }
        let mut known = self.known.lock();
        if known.states.insert(id.clone(), state).is_none() {
            known.order.push_back(id.clone());
        }
        if known.order.len() > MOST
            && let Some(oldest) = known.order.pop_front()
        {
            known.states.remove(&oldest);
        }
    }
}
