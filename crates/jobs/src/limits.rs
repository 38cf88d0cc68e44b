//! The numbers that the decisions go by.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The numbers that the decisions go by.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Limits {
    /// Lease of each start and renewal.
    pub lease: Duration,
    /// Added to a lease before it counts as lapsed: the time that a call to the platform may take,
    /// and the drift between this clock and the instance's over one lease.
    pub margin: Duration,
    /// A run of which nothing was heard for so long is renewed no further, so that it lapses.
    pub silent: Duration,
    /// Distinct failures that park a job or quarantine an instance.
    pub faults: u32,
    /// Failures after which a job is parked whatever the evidence.
    pub tries: u32,
    /// A run of this length counts as proof that its instance and its kind can work.
    pub proof: Duration,
    /// Wait after which the oldest job of a pool has an instance kept free for it.
    pub aged: Duration,
    /// Part of an instance's slots in use by requests above which jobs are throttled.
    pub pressure_high: f64,
    /// Part below which they are let go again.
    pub pressure_low: f64,
    /// Fraction of processor time that a throttled job keeps; above zero, so that it finishes.
    pub throttled: f64,
    /// Most starts of one plan, so that its rows stay within what the store takes in one change.
    pub starts: usize,
    /// How long before the end of a drain a job is stopped, with or without a checkpoint.
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
