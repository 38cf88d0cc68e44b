//! Queues that were assigned to another pool while jobs of theirs wait in this one.
//!
//! A job stays in the pool for which it was accepted. Whoever counts the jobs of a queue looks at the
//! queue's present pool, where a row names the former pools that have jobs of it.

use crate::event::Event;
use log::{debug, info};
use primroseroute_cell::{
    Millis,
    row::{self, FormerPool},
};
use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Rows, Txn},
    site::Configuration,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use tokio::sync::mpsc::UnboundedSender;

/// Delay before a write that has failed is tried again.
const RETRY_DELAY: Millis = 500;

/// What the row of one present pool is to say; it is deleted if there are no queues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Write {
    /// The present pool of the queues.
    pub present: Name,
    /// The queues that have jobs in the former pool.
    pub queues: BTreeSet<Name>,
}

/// The rows that a pool's owner writes for the present pools of queues.
#[derive(Debug, Default)]
pub(crate) struct Reassigned {
    /// Pool by queue, by the newest configuration.
    assignments: BTreeMap<Name, Name>,
    /// Queues by present pool, as this owner has written them.
    stored: BTreeMap<Name, BTreeSet<Name>>,
    is_writing: bool,
    retry_at: Millis,
}

impl Reassigned {
    pub(crate) fn set_configuration(&mut self, configuration: &Configuration) {
        let queues = configuration.queues.iter();
        let assignments = queues.map(|queue| (Name::clone(&queue.name), Name::clone(&queue.pool)));
        self.assignments = assignments.collect();
    }

    /// The next write, if one is due; `counts` are those of the queues that have jobs in `pool`.
    pub(crate) fn due(
        &mut self,
        pool: &Name,
        counts: &BTreeMap<Name, u64>,
        now: Millis,
    ) -> Option<Write> {
        if self.is_writing || now < self.retry_at {
            return None;
        }
        let mut wanted: BTreeMap<&Name, BTreeSet<Name>> = BTreeMap::new();
        for queue in counts.keys() {
            let present = self.assignments.get(queue);
            if let Some(present) = present.filter(|present| *present != pool) {
                wanted
                    .entry(present)
                    .or_default()
                    .insert(Name::clone(queue));
            }
        }
        let pools = self.stored.keys().chain(wanted.keys().copied());
        let changed = pools
            .map(|present| (present, wanted.get(present).cloned().unwrap_or_default()))
            .find(|(present, queues)| self.stored.get(*present) != Some(queues));
        let (present, queues) = changed?;
        let present = Name::clone(present);
        self.is_writing = true;
        Some(Write { present, queues })
    }

    /// Records that a write has ended.
    pub(crate) fn record(&mut self, write: Write, is_stored: bool, now: Millis) {
        self.is_writing = false;
        if !is_stored {
            self.retry_at = now + RETRY_DELAY;
        } else if write.queues.is_empty() {
            self.stored.remove(&write.present);
        } else {
            self.stored.insert(write.present, write.queues);
        }
    }
}

/// Writes a row, and reports the result.
pub(crate) async fn write(
    rows: Arc<dyn Rows>,
    pool: Name,
    write: Write,
    events: UnboundedSender<Event>,
) {
    let queues = write.queues.len();
    let present = Name::clone(&write.present);
    let result = store(&*rows, &pool, &write).await;
    match &result {
        Ok(()) => {
            info!(pool = &*pool, present = &*present, queues; "row of reassigned queues written");
        }
        Err(error) => {
            info!(pool = &*pool, present = &*present, error:% = error; "row of reassigned queues can't be written");
        }
    }
    let event = Event::ReassignedWritten(write, result.is_ok());
    if events.send(event).is_err() {
        debug!("the pool's loop has ended");
    }
}

async fn store(rows: &dyn Rows, pool: &Name, write: &Write) -> Result<(), Error> {
    let place = row::former_pool(&write.present, pool);
    let mut txn = Txn::default();
    if write.queues.is_empty() {
        txn.deletes.push(place);
    } else {
        let value = FormerPool {
            queues: write.queues.clone(),
        };
        let value =
            serde_json::to_vec(&value).map_err(|error| Error::Invalid(error.to_string()))?;
        txn.puts.push((place, value.into()));
    }
    rows.commit(txn).await.map(drop)
}
