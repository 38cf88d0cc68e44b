//! Limits of one pool at one entry.

use std::time::Duration;

/// Limits; measurements of the defaults are in `docs/design/request-path.md`.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum queued requests of one account for one service.
    pub queue: usize,
    /// Maximum attempts per request, including the first.
    pub attempts: u32,
    /// Retry tokens that each first attempt deposits; 20% as in Envoy's retry budget.
    pub retry_ratio: f64,
    /// Maximum accumulated retry tokens, so that a pool with little traffic can retry too.
    pub retry_burst: f64,
    /// Upper bound of the backoff before the first retry; doubled for each further retry.
    pub backoff: Duration,
    /// Maximum of the doubled upper bound.
    pub backoff_cap: Duration,
    /// Consecutive failures that eject a worker; Envoy's default.
    pub consecutive: u32,
    /// How far a worker's failure ratio may exceed the pool's before it is ejected.
    pub excess: f64,
    /// Multiple of the pool's mean latency above which a worker counts as slow.
    pub slow: f64,
    /// Duration of the first ejection; doubled for each further ejection.
    pub ejection: Duration,
    /// Maximum duration of an ejection.
    pub ejection_cap: Duration,
    /// Maximum fraction of the pool that may be ejected; half, as Envoy's panic threshold.
    pub ejected: f64,
    /// Minimum retry-after of a refusal.
    pub retry_after: Duration,
    /// Minimum retry-after when no instance is serving: a view takes about this long to change.
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
