//! Housekeeping of the holder: old claims are deleted, old records archived.

use crate::{lease::Held, role::Parts};
use primroseroute_audit::step;
use primroseroute_claims::Sweeper;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Between two steps. A step deletes at most 100 claims and 100 records; at 10 a minute that is
/// 33 rows a second, under a tenth of what the store writes.
const STEP: Duration = Duration::from_secs(6);

/// What housekeeping remembers; a successor starts anew and loses nothing.
#[derive(Debug)]
pub(crate) struct House {
    sweep: Sweeper,
    due: Instant,
}

impl House {
    pub(crate) fn open(parts: &Parts) -> Self {
        let table = Arc::clone(parts.ledger.table());
        Self {
            sweep: Sweeper::new(table, Arc::clone(&parts.clock)),
            due: Instant::now(),
        }
    }

    /// Takes one step of each kind when it is due. Failures are left to the next step.
    pub(crate) async fn step(&mut self, parts: &Parts, held: &Held) {
        if Instant::now() < self.due {
            return;
        }
        self.due = Instant::now() + STEP;
        if let Err(error) = self.sweep.step().await {
            log::warn!("old claims were not swept: {error}");
        }
        let objects = parts.objects.as_ref();
        if let Err(error) = step(&parts.ledger, objects, held.guard(), parts.keep).await {
            log::warn!("old records were not archived: {error}");
        }
    }
}
