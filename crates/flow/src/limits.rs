//! Limits of one pool at one entry.

use std::time::Duration;

/// Limits; measurements of the defaults are in `docs/design/request-path.md`.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum queued requests of one account for one service.
    pub max_queued: usize,
    /// Maximum attempts per request, including the first.
    pub max_attempts: u32,
    /// Retry tokens that each first attempt deposits; 20% as in Envoy's retry budget.
    pub retry_ratio: f64,
    /// Maximum accumulated retry tokens, so that a pool with little traffic can retry too.
    pub retry_burst: f64,
    /// Upper bound of the backoff before the first retry; doubled for each further retry.
    pub base_backoff: Duration,
    /// Maximum of the doubled upper bound.
    pub max_backoff: Duration,
    /// Consecutive failures that eject a worker; Envoy's default.
    pub consecutive_failures: u32,
    /// How far a worker's failure ratio may exceed the pool's before it is ejected.
    pub failure_ratio_excess: f64,
    /// Multiple of the pool's mean latency above which a worker counts as slow.
    pub slow_factor: f64,
    /// Duration of the first ejection; doubled for each further ejection.
    pub base_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Maximum fraction of the pool that may be ejected; half, as Envoy's panic threshold.
    pub max_ejected_fraction: f64,
    /// Minimum retry-after of a refusal.
    pub min_retry_after: Duration,
    /// Minimum retry-after when no instance is serving: a view takes about this long to change.
    pub min_retry_after_no_instance: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_queued: 256,
            max_attempts: 3,
            retry_ratio: 0.2,
            retry_burst: 10.0,
            base_backoff: Duration::from_millis(10),
            max_backoff: Duration::from_millis(250),
            consecutive_failures: 5,
            failure_ratio_excess: 0.3,
            slow_factor: 3.0,
            base_ejection: Duration::from_secs(2),
            max_ejection: Duration::from_secs(30),
            max_ejected_fraction: 0.5,
            min_retry_after: Duration::from_millis(100),
            min_retry_after_no_instance: Duration::from_secs(1),
        }
    }
}
