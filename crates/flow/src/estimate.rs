//! Service time estimates: moving averages and deviations per service and for the whole pool.

use primroseroute_domain::id;
use std::{collections::BTreeMap, time::Duration};

/// Smoothing factor: the average follows a change within about 20 samples.
const SMOOTHING: f64 = 0.05;

/// Exponentially weighted moving average in seconds; `None` before the first sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MovingAverage(Option<f64>);

impl MovingAverage {
    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        let seconds = sample.as_secs_f64();
        let mean = self.0.get_or_insert(seconds);
        *mean += SMOOTHING * (seconds - *mean);
    }

    /// The average in seconds, or zero before the first sample.
    pub fn seconds(self) -> f64 {
        self.0.unwrap_or(0.0)
    }

    /// Whether there is at least one sample.
    pub fn is_known(self) -> bool {
        self.0.is_some()
    }
}

/// Moving average of a service time and of its deviation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTime {
    mean: MovingAverage,
    deviation: MovingAverage,
}

impl ServiceTime {
    fn add(&mut self, sample: Duration) {
        let previous = self.mean;
        self.mean.add(sample);
        if previous.is_known() {
            let difference = (sample.as_secs_f64() - previous.seconds()).abs();
            self.deviation.add(Duration::from_secs_f64(difference));
        }
    }

    /// Time in seconds within which nearly all requests complete.
    ///
    /// Mean plus four deviations, as in TCP's retransmission timer (Jacobson, "Congestion Avoidance
    /// and Control", 1988): 2% of exponentially distributed service times are longer.
    pub fn upper_bound(self) -> f64 {
        self.mean.seconds() + 4.0 * self.deviation.seconds()
    }

    /// Average in seconds.
    pub fn mean(self) -> f64 {
        self.mean.seconds()
    }
}

/// Measured service times of one pool.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    services: BTreeMap<id::Service, ServiceTime>,
    pool: ServiceTime,
}

impl ServiceTimes {
    /// Records the latency of a successful response.
    pub fn add(&mut self, service: &id::Service, latency: Duration) {
        self.pool.add(latency);
        if let Some(spread) = self.services.get_mut(service) {
            spread.add(latency);
            return;
        }
        let mut spread = ServiceTime::default();
        spread.add(latency);
        self.services.insert(service.clone(), spread);
    }

    /// Records that a response took longer than `elapsed`.
    ///
    /// Ignored unless `elapsed` exceeds the average. Without these samples, a pool that has become
    /// slower than all deadlines would keep its earlier, lower estimate.
    pub fn add_lower_bound(&mut self, service: &id::Service, elapsed: Duration) {
        if elapsed.as_secs_f64() > self.service(service).mean() {
            self.add(service, elapsed);
        }
    }

    /// The service time of a service, or of the whole pool if the service has no samples.
    pub fn service(&self, service: &id::Service) -> ServiceTime {
        self.services.get(service).copied().unwrap_or(self.pool)
    }
}
