//! How long service takes: moving means and deviations for each service and for the pool.

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

/// A moving mean and the mean deviation from it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    mean: Mean,
    deviation: Mean,
}

impl Spread {
    fn add(&mut self, sample: Duration) {
        let before = self.mean;
        self.mean.add(sample);
        if before.is_known() {
            let off = (sample.as_secs_f64() - before.seconds()).abs();
            self.deviation.add(Duration::from_secs_f64(off));
        }
    }

    /// Seconds in which nearly every request is served.
    ///
    /// Mean plus four deviations, as TCP sets its retransmission timer (Jacobson, "Congestion
    /// Avoidance and Control", 1988): 2% of exponential service times are longer.
    pub fn most(self) -> f64 {
        self.mean.seconds() + 4.0 * self.deviation.seconds()
    }

    /// Mean in seconds.
    pub fn mean(self) -> f64 {
        self.mean.seconds()
    }
}

/// Measured service times of one pool.
#[derive(Clone, Debug, Default)]
pub struct Times {
    services: BTreeMap<id::Service, Spread>,
    pool: Spread,
}

impl Times {
    /// Takes the latency of a good answer in.
    pub fn add(&mut self, service: &id::Service, latency: Duration) {
        self.pool.add(latency);
        if let Some(spread) = self.services.get_mut(service) {
            spread.add(latency);
            return;
        }
        let mut spread = Spread::default();
        spread.add(latency);
        self.services.insert(service.clone(), spread);
    }

    /// Takes in that an answer took longer than `elapsed`.
    ///
    /// Says something only where that is more than expected. If such answers did not count, a pool
    /// that has become slower than all deadlines would be taken for as fast as it was.
    pub fn add_longer(&mut self, service: &id::Service, elapsed: Duration) {
        if elapsed.as_secs_f64() > self.service(service).mean() {
            self.add(service, elapsed);
        }
    }

    /// Service time of a service; the pool's for one without samples.
    pub fn service(&self, service: &id::Service) -> Spread {
        self.services.get(service).copied().unwrap_or(self.pool)
    }
}
