//! Queries of the simulated site's state and event journal.

use super::Fixture;
use eyre::{Result, eyre};
use primroseroute_domain::work::{Name, TaskId};
use primroseroute_standin::site::Event;
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which a test checks a condition that it waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Fixture {
    /// Waits until `seen` returns a value, for at most `seconds`.
    pub(crate) async fn wait_for<T>(
        &self,
        what: &str,
        seconds: u64,
        seen: impl Fn(&Self) -> Option<T>,
    ) -> Result<T> {
        for _attempt in 0..seconds * 100 {
            if let Some(found) = seen(self) {
                return Ok(found);
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(eyre!("{what} did not happen within {seconds} s"))
    }

    /// The workers of a pool's instances.
    pub(crate) fn workers_of(&self, pool: &str) -> Vec<Name> {
        let all = self.world.instances().into_iter();
        let own = all.filter(|known| &*known.pool == pool);
        own.filter_map(|known| known.worker).collect()
    }

    /// The instance that a worker runs on.
    pub(crate) fn instance_of(&self, worker: &Name) -> Option<Name> {
        let all = self.world.instances().into_iter();
        let mut of = all.filter(|known| known.worker.as_ref() == Some(worker));
        of.next().map(|known| known.name)
    }

    /// Number of journal events that satisfy `holds`.
    pub(crate) fn count(&self, holds: impl Fn(&Event) -> bool) -> usize {
        let events = self.world.journal().events;
        events.iter().filter(|event| holds(event)).count()
    }

    /// Workers that currently run a task, according to the journal.
    pub(crate) fn running(&self, task: &TaskId) -> Vec<Name> {
        let mut on: Vec<Name> = Vec::new();
        for event in self.world.journal().events {
            match event {
                Event::Started {
                    worker, task: of, ..
                } if of == *task => on.push(worker),
                Event::Ended {
                    worker, task: of, ..
                } if of == *task => on.retain(|known| *known != worker),
                _ => {}
            }
        }
        on
    }
}
