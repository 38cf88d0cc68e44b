//! Housekeeping by the lease holder: deletes old claims and archives old change records.

use crate::{lease::HeldLease, role::Components};
use primroseroute_audit::archive_batch;
use primroseroute_claims::Sweeper;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Interval between steps. A step deletes at most 100 claims and 100 records; at 10 steps a minute
/// that is 33 rows/s, under a tenth of the store's write rate.
const STEP_INTERVAL: Duration = Duration::from_secs(6);

/// Housekeeping state. It is not persisted; a successor starts from the beginning.
#[derive(Debug)]
pub(crate) struct Housekeeping {
    sweep: Sweeper,
    due: Instant,
}

impl Housekeeping {
    pub(crate) fn open(components: &Components) -> Self {
        let table = Arc::clone(components.ledger.table());
        Self {
            sweep: Sweeper::new(table, Arc::clone(&components.clock)),
            due: Instant::now(),
        }
    }

    /// Runs one step of each kind if due. A failed step is retried at the next one.
    pub(crate) async fn step(&mut self, components: &Components, held: &HeldLease) {
        if Instant::now() < self.due {
            return;
        }
        self.due = Instant::now() + STEP_INTERVAL;
        if let Err(error) = self.sweep.step().await {
            log::warn!("could not delete old claims: {error}");
        }
        let objects = components.objects.as_ref();
        if let Err(error) =
            archive_batch(&components.ledger, objects, held.guard(), components.keep).await
        {
            log::warn!("could not archive old change records: {error}");
        }
    }
}
