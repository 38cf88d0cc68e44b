//! Limits of one pool at one entry.

use std::time::Duration;

/// Limits; the defaults suit the brief's workers and are measured in `docs/design/request-path.md`.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Requests that one account may have waiting for one service.
    pub queue: usize,
    /// Attempts for one request, the first included.
    pub attempts: u32,
    /// Retries that each first attempt pays for; Envoy's retry budget has the same 20%.
    pub retry_ratio: f64,
    /// Retries that may be saved up, so that a quiet pool can retry too.
    pub retry_burst: f64,
    /// Longest back-off before the first retry; it doubles with each further one.
    pub backoff: Duration,
    /// Longest back-off of all.
    pub backoff_cap: Duration,
    /// Failures in a row that eject a worker; Envoy's default.
    pub consecutive: u32,
    /// How far a worker's failure ratio may be above the pool's.
    pub excess: f64,
    /// Times the pool's mean latency that make a worker slow.
    pub slow: f64,
    /// How long a first ejection lasts; it doubles with each further one.
    pub ejection: Duration,
    /// Longest ejection.
    pub ejection_cap: Duration,
    /// Largest part of the pool that may be ejected, as Envoy's panic threshold of half.
    pub ejected: f64,
    /// Shortest retry-after of a refusal.
    pub retry_after: Duration,
    /// Shortest retry-after where no instance serves: a view takes about so long to change.
    pub absence: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue: 256,
            attempts: 3,
            retry_ratio: 0.2,
            retry_burst: 10.0,
            backoff: Duration::from_millis(10),
            backoff_cap: Duration::from_millis(250),
            consecutive: 5,
            excess: 0.3,
            slow: 3.0,
            ejection: Duration::from_secs(2),
            ejection_cap: Duration::from_secs(30),
            ejected: 0.5,
            retry_after: Duration::from_millis(100),
            absence: Duration::from_secs(1),
        }
    }
}
