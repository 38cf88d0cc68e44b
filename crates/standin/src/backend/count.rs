//! Counters of a backend server.

use parking_lot::Mutex;
use std::{collections::BTreeMap, sync::Arc};

/// Counters of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests executed.
    pub executions: u64,
    /// Repeated executions under an idempotency key that was executed before.
    pub doubled: u64,
    /// Requests rejected without execution.
    pub refused: u64,
    /// Requests executing now.
    pub running: u32,
    /// Highest number of requests that ever executed at the same time.
    pub max_running: u32,
    /// Executions that began while every slot was in use.
    pub overruns: u64,
    /// Open connections.
    pub connections: u32,
    /// Connections closed at once because the limit was reached.
    pub rejected_connections: u64,
}

#[derive(Debug, Default)]
struct State {
    count: Count,
    keys: BTreeMap<Arc<str>, u64>,
}

/// Shared counters and the limits they are checked against.
#[derive(Debug)]
pub(super) struct Counters {
    slots: u32,
    max_connections: u32,
    state: Mutex<State>,
}

/// Guard of one execution; dropping it ends the execution.
#[derive(Debug)]
pub(super) struct Slot(Arc<Counters>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.state.lock().count.running -= 1;
    }
}

/// Guard of one open connection.
#[derive(Debug)]
pub(super) struct Connection(Arc<Counters>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.state.lock().count.connections -= 1;
    }
}

impl Counters {
    pub(super) fn new(slots: u32, max_connections: u32) -> Self {
        Self {
            slots,
            max_connections,
            state: Mutex::default(),
        }
    }

    pub(super) fn count(&self) -> Count {
        self.state.lock().count
    }

    pub(super) fn executions(&self, key: &str) -> u64 {
        self.state.lock().keys.get(key).copied().unwrap_or(0)
    }

    pub(super) fn count_refusal(&self) {
        self.state.lock().count.refused += 1;
    }

    /// Counts a new connection; none if the limit is reached.
    pub(super) fn open_connection(self: &Arc<Self>) -> Option<Connection> {
        let count = &mut self.state.lock().count;
        if count.connections >= self.max_connections {
            count.rejected_connections += 1;
            return None;
        }
        count.connections += 1;
        Some(Connection(Arc::clone(self)))
    }

    /// Counts the begin of an execution under an idempotency key, if it has one.
    pub(super) fn begin_execution(self: &Arc<Self>, key: Option<&str>) -> Slot {
        let mut state = self.state.lock();
        let State { count, keys } = &mut *state;
        count.executions += 1;
        count.running += 1;
        count.max_running = count.max_running.max(count.running);
        if count.running > self.slots {
            count.overruns += 1;
        }
        if let Some(key) = key {
            let times = keys.entry(key.into()).or_default();
            *times += 1;
            count.doubled += u64::from(*times > 1);
        }
        Slot(Arc::clone(self))
    }
}
