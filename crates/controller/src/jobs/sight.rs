//! What the lifecycle's cycle has seen, for the jobs.

use crate::roster::Voice;
use parking_lot::Mutex;
use primroseroute_domain::{id, instance::SLOTS};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// How long a sight is fit for taking an instance out of service: some missed cycles.
const FRESH: Duration = Duration::from_secs(10);

/// What one cycle of the lifecycle has seen.
#[derive(Debug)]
pub(crate) struct Sight {
    in_flight: BTreeMap<id::Instance, u32>,
    /// Instances that are known not to serve although their rows say so.
    pub(super) absent: BTreeSet<id::Instance>,
    at: Instant,
}

impl Sight {
    /// The loads that `voices` report, and who is `absent`.
    pub(crate) fn new(voices: &[Voice], absent: BTreeSet<id::Instance>) -> Self {
        let mut in_flight: BTreeMap<id::Instance, u32> = BTreeMap::new();
        for report in voices.iter().filter_map(|voice| voice.report.as_ref()) {
            for (name, load) in &report.loads {
                *in_flight.entry(name.clone()).or_default() += u32::from(load.in_flight);
            }
        }
        Self {
            in_flight,
            absent,
            at: Instant::now(),
        }
    }

    /// The part of the slots of `instance` that requests use.
    pub(super) fn pressure(&self, instance: &id::Instance) -> f64 {
        let used = self.in_flight.get(instance).copied().unwrap_or(0);
        f64::from(used) / f64::from(SLOTS)
    }

    pub(super) fn is_fresh(&self) -> bool {
        self.at.elapsed() < FRESH
    }
}

/// Where the lifecycle's cycle leaves its newest sight.
#[derive(Debug, Default)]
pub(crate) struct Desk(Mutex<Option<Arc<Sight>>>);

impl Desk {
    pub(crate) fn put(&self, sight: Sight) {
        *self.0.lock() = Some(Arc::new(sight));
    }

    pub(super) fn newest(&self) -> Option<Arc<Sight>> {
        self.0.lock().clone()
    }
}
