//! Observations of the lifecycle's cycle, for use by the job driver.

use crate::roster::RegisteredEntry;
use parking_lot::Mutex;
use primroseroute_domain::{id, instance::SLOTS};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// Maximum age of an observation by which an instance may be taken out of service; tolerates some
/// missed cycles.
const MAX_AGE: Duration = Duration::from_secs(10);

/// What one cycle of the lifecycle has observed.
#[derive(Debug)]
pub(crate) struct Observation {
    in_flight: BTreeMap<id::Instance, u32>,
    /// Instances that are known to be unavailable although their rows say serving.
    pub(super) absent: BTreeSet<id::Instance>,
    observed_at: Instant,
}

impl Observation {
    /// Sums the loads that the entries in `registered_entries` report; `absent` are the unavailable
    /// instances.
    pub(crate) fn new(
        registered_entries: &[RegisteredEntry],
        absent: BTreeSet<id::Instance>,
    ) -> Self {
        let mut in_flight: BTreeMap<id::Instance, u32> = BTreeMap::new();
        for report in registered_entries
            .iter()
            .filter_map(|registered| registered.report.as_ref())
        {
            for (name, load) in &report.loads {
                *in_flight.entry(name.clone()).or_default() += u32::from(load.in_flight);
            }
        }
        Self {
            in_flight,
            absent,
            observed_at: Instant::now(),
        }
    }

    /// The fraction of the slots of `instance` that are used by requests.
    pub(super) fn pressure(&self, instance: &id::Instance) -> f64 {
        let in_use = self.in_flight.get(instance).copied().unwrap_or(0);
        f64::from(in_use) / f64::from(SLOTS)
    }

    pub(super) fn is_fresh(&self) -> bool {
        self.observed_at.elapsed() < MAX_AGE
    }
}

/// The newest observation, shared between the lifecycle's cycle and the job driver.
#[derive(Debug, Default)]
pub(crate) struct LatestObservation(Mutex<Option<Arc<Observation>>>);

impl LatestObservation {
    pub(crate) fn put(&self, observation: Observation) {
        *self.0.lock() = Some(Arc::new(observation));
    }

    pub(super) fn latest(&self) -> Option<Arc<Observation>> {
        self.0.lock().clone()
    }
}
