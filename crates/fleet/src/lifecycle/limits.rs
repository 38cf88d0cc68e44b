//! How long and how often before a step is taken.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Good checks in a row before an instance serves: with a check a second, a backend server that
/// accepts connections before it can answer is found out.
const GOOD_CHECKS: u32 = 3;

/// Bad checks in a row before an instance is quarantined: one lost packet is not a failure.
const BAD_CHECKS: u32 = 3;

/// Longest probation with bad checks, in seconds: five minutes is a slow start, more is a fault.
const PROBATION: u64 = 300;

/// Longest maintenance, in seconds: twice a slow reboot of ten minutes.
const MAINTENANCE: u64 = 1_200;

/// Limits of the lifecycle, from the deployment's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Limits {
    /// Good checks in a row before an instance leaves probation or quarantine.
    pub good_checks: u32,
    /// Bad checks in a row before an instance is quarantined.
    pub bad_checks: u32,
    /// Seconds in probation after which an instance with bad checks is quarantined.
    pub probation_seconds: u64,
    /// Seconds in maintenance after which an instance that has not come back is quarantined.
    pub maintenance_seconds: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            good_checks: GOOD_CHECKS,
            bad_checks: BAD_CHECKS,
            probation_seconds: PROBATION,
            maintenance_seconds: MAINTENANCE,
        }
    }
}

impl Limits {
    pub(crate) fn probation(&self) -> Duration {
        Duration::from_secs(self.probation_seconds)
    }

    pub(crate) fn maintenance(&self) -> Duration {
        Duration::from_secs(self.maintenance_seconds)
    }
}
