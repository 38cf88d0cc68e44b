//! What the owner of a pool publishes for gateways.

use primroseroute_domain::work::{Demand, Name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The load of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolLoad {
    /// Version of the format; rows of another one are ignored.
    pub format: u32,
    /// Fencing token of the owner that wrote it.
    pub owner: u64,
    /// Thousandths of a core at which the pool works off its backlog.
    pub rate_cpu: u64,
    /// Expected wait of a job within its account's entitlement, in milliseconds.
    pub within_wait_ms: u64,
    /// Expected wait of a job beyond it, in milliseconds.
    pub beyond_wait_ms: u64,
    /// Thousandths of an account's submissions that are within its entitlement, for accounts that
    /// submit more than that.
    pub within_permille: BTreeMap<Name, u16>,
    /// Largest capacity of a worker of any pool, for each resource; zero if none is known.
    pub largest_worker: Demand,
}

impl PoolLoad {
    /// Version of the format that this program writes.
    pub const FORMAT: u32 = 1;
}
