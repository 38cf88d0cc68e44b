//! What a backend server counts.

use parking_lot::Mutex;
use std::{collections::BTreeMap, sync::Arc};

/// Counts of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests executed.
    pub executions: u64,
    /// Requests executed more than once under one idempotency key, beyond the first time.
    pub doubled: u64,
    /// Requests refused without execution.
    pub refused: u64,
    /// Requests under execution now.
    pub running: u32,
    /// Most requests ever under execution at the same time.
    pub highest: u32,
    /// Executions that began while every slot was taken.
    pub overruns: u64,
    /// Connections open now.
    pub connections: u32,
    /// Connections closed at once, because there were too many.
    pub turned_away: u64,
}

#[derive(Debug, Default)]
struct State {
    count: Count,
    keys: BTreeMap<Arc<str>, u64>,
}

/// The counts under a lock.
#[derive(Debug)]
pub(super) struct Ledger {
    slots: u32,
    connections: u32,
    state: Mutex<State>,
}

/// One execution under way.
#[derive(Debug)]
pub(super) struct Slot(Arc<Ledger>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.state.lock().count.running -= 1;
    }
}

/// One open connection.
#[derive(Debug)]
pub(super) struct Connection(Arc<Ledger>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.state.lock().count.connections -= 1;
    }
}

impl Ledger {
    pub(super) fn new(slots: u32, connections: u32) -> Self {
        Self {
            slots,
            connections,
            state: Mutex::default(),
        }
    }

    pub(super) fn count(&self) -> Count {
        self.state.lock().count
    }

    pub(super) fn executions(&self, key: &str) -> u64 {
        self.state.lock().keys.get(key).copied().unwrap_or(0)
    }

    pub(super) fn refuse(&self) {
        self.state.lock().count.refused += 1;
    }

    /// Opens a connection, if there is room for one more.
    pub(super) fn connect(self: &Arc<Self>) -> Option<Connection> {
        let count = &mut self.state.lock().count;
        if count.connections >= self.connections {
            count.turned_away += 1;
            return None;
        }
        count.connections += 1;
        Some(Connection(Arc::clone(self)))
    }

    /// Begins one execution.
    pub(super) fn execute(self: &Arc<Self>, key: Option<&str>) -> Slot {
        let mut state = self.state.lock();
        let State { count, keys } = &mut *state;
        count.executions += 1;
        count.running += 1;
        count.highest = count.highest.max(count.running);
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
