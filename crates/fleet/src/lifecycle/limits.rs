//! Health check thresholds and time-outs of the lifecycle.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Consecutive good checks before an instance serves. With one check per second, three detect a
/// backend server that accepts connections before it can answer.
const GOOD_CHECKS: u32 = 3;

/// Consecutive bad checks before an instance is quarantined; a single lost packet is not a failure.
const BAD_CHECKS: u32 = 3;

/// Longest probation with bad checks: a slow start can take five minutes, more indicates a fault.
const PROBATION_SECONDS: u64 = 300;

/// Longest maintenance: twice a slow reboot of ten minutes.
const MAINTENANCE_SECONDS: u64 = 1_200;

/// Limits of the lifecycle, from the deployment's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Limits {
    /// Consecutive good checks before an instance leaves probation or quarantine.
    pub good_checks: u32,
    /// Consecutive bad checks before an instance is quarantined.
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
            probation_seconds: PROBATION_SECONDS,
            maintenance_seconds: MAINTENANCE_SECONDS,
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
