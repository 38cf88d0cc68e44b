//! How long service takes: a moving mean for each service and for the pool.

use primroseroute_domain::id;
use std::{collections::BTreeMap, time::Duration};

/// Weight of a new sample: the mean follows a change within about 20 requests.
const WEIGHT: f64 = 0.05;

/// A moving mean in seconds; none before the first sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean(Option<f64>);

impl Mean {
    /// Takes a sample in.
    pub fn add(&mut self, sample: Duration) {
        let seconds = sample.as_secs_f64();
        let mean = self.0.get_or_insert(seconds);
        *mean += WEIGHT * (seconds - *mean);
    }

    /// The mean in seconds, or zero before the first sample.
    pub fn seconds(self) -> f64 {
        self.0.unwrap_or(0.0)
    }

    /// Whether there was a sample.
    pub fn is_known(self) -> bool {
        self.0.is_some()
    }
}

/// Measured service times of one pool.
#[derive(Clone, Debug, Default)]
pub struct Times {
    services: BTreeMap<id::Service, Mean>,
    pool: Mean,
}

impl Times {
    /// Takes the latency of a good answer in.
    pub fn add(&mut self, service: &id::Service, latency: Duration) {
        self.pool.add(latency);
        if let Some(mean) = self.services.get_mut(service) {
            mean.add(latency);
            return;
        }
        let mut mean = Mean::default();
        mean.add(latency);
        self.services.insert(service.clone(), mean);
    }

    /// Mean service time in seconds; the pool's for a service without samples.
    pub fn service(&self, service: &id::Service) -> f64 {
        self.services
            .get(service)
            .copied()
            .unwrap_or(self.pool)
            .seconds()
    }

    /// The mean over the pool.
    pub fn pool(&self) -> Mean {
        self.pool
    }
}
