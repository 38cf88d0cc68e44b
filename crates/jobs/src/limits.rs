//! Limits and thresholds of the scheduler.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Limits and thresholds of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Limits {
    /// Lease that each start and renewal grants.
    pub lease: Duration,
    /// Added to a lease before it counts as expired: the time that a call to the platform may take,
    /// and the drift between this clock and the instance's over one lease.
    pub margin: Duration,
    /// Time without a newer report after which a run is no longer renewed, so that its lease expires.
    pub silent: Duration,
    /// Number of distinct failures that park a job or quarantine an instance.
    pub faults: u32,
    /// Number of failures after which a job is parked whatever the evidence.
    pub tries: u32,
    /// Duration of a run that proves that its instance and its kind work.
    pub proof: Duration,
    /// Waiting time after which an instance is reserved for the oldest job of a pool.
    pub aged: Duration,
    /// Fraction of an instance's slots in use by requests above which jobs are throttled.
    pub pressure_high: f64,
    /// Fraction below which throttling ends.
    pub pressure_low: f64,
    /// Fraction of processor time that a throttled job keeps; above zero, so that it can finish.
    pub throttled: f64,
    /// Maximum number of starts per plan, which keeps its rows within what the store accepts in one
    /// transaction.
    pub starts: usize,
    /// Time before the end of a drain at which a job is stopped, with or without a checkpoint.
    pub stop_before: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(30),
            margin: Duration::from_secs(15),
            silent: Duration::from_secs(60),
            faults: 3,
            tries: 6,
            proof: Duration::from_secs(60),
            aged: Duration::from_secs(600),
            pressure_high: 0.75,
            pressure_low: 0.5,
            throttled: 0.1,
            starts: usize::MAX,
            stop_before: Duration::from_secs(10),
        }
    }
}
