//! Size of a deployment.

use primroseroute_domain::instance::SLOTS;
use serde::Serialize;

/// Workers of the reference deployment: the size that the users expect in two years.
const REFERENCE_WORKERS: usize = 1200;

/// Pools of the reference deployment.
const REFERENCE_POOLS: usize = 270;

/// Accounts of the reference deployment, one per team.
const REFERENCE_ACCOUNTS: usize = 140;

/// Numbers of entries and workers; pools and accounts are in the reference deployment's proportion to the
/// workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Size {
    /// Number of entries.
    pub entries: usize,
    /// Number of workers.
    pub workers: usize,
}

impl Size {
    /// Number of pools, at least one.
    pub fn pools(self) -> usize {
        (self.workers * REFERENCE_POOLS / REFERENCE_WORKERS).max(1)
    }

    /// Number of accounts, at least one.
    pub fn accounts(self) -> usize {
        (self.workers * REFERENCE_ACCOUNTS / REFERENCE_WORKERS).max(1)
    }

    /// Number of workers on which one entry has a request in flight if all slots are evenly used.
    pub fn loaded_workers(self) -> usize {
        let slots = usize::try_from(SLOTS).unwrap_or(usize::MAX);
        self.workers.min(self.workers * slots / self.entries)
    }
}
