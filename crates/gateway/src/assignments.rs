//! The pools that queues were assigned to by earlier configurations.
//!
//! A job stays in the pool for which it was accepted. The owner of that pool tells the queue's present
//! pool of such jobs, a moment after the configuration is in force. Until then, the gateway itself
//! remembers the former pool.

use primroseroute_domain::work::Name;
use primroseroute_platform::site::Configuration;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// How long a former pool is remembered. Its owner learns of the configuration and writes its row
/// within that time.
const RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of queues outside the configuration whose last pool is remembered.
const MAX_REMOVED: usize = 1_024;

/// The assignments of queues, as the configurations that this gateway has seen had them.
#[derive(Debug, Default)]
pub(crate) struct Assignments {
    /// The last pool of each queue, also of removed ones.
    last: BTreeMap<Name, Name>,
    /// Former pools by queue, and when the queue was assigned to another one.
    former: BTreeMap<Name, BTreeMap<Name, Instant>>,
}

impl Assignments {
    /// Records a configuration.
    pub(crate) fn apply(&mut self, configuration: &Configuration) {
        let now = Instant::now();
        self.former.retain(|_queue, pools| {
            pools.retain(|_pool, since| since.elapsed() < RETENTION);
            !pools.is_empty()
        });
        for queue in &configuration.queues {
            let (name, pool) = (Name::clone(&queue.name), Name::clone(&queue.pool));
            let last = self.last.insert(Name::clone(&name), Name::clone(&pool));
            if let Some(last) = last.filter(|last| *last != pool) {
                self.former.entry(name).or_default().insert(last, now);
            }
        }
        if self.last.len() > configuration.queues.len() + MAX_REMOVED {
            let names = configuration.queues.iter().map(|queue| &queue.name);
            let names: BTreeSet<&Name> = names.collect();
            self.last.retain(|queue, _pool| names.contains(queue));
        }
    }

    /// Pools that a queue was assigned to a moment ago.
    pub(crate) fn former(&self, queue: &Name) -> impl Iterator<Item = &Name> {
        let former = self.former.get(queue).into_iter().flatten();
        let recent = former.filter(|(_pool, since)| since.elapsed() < RETENTION);
        recent.map(|(pool, _since)| pool)
    }
}
