//! What waits in a pool, as its owner knows it.

use primroseroute_domain::work::{Demand, Name};
use std::collections::BTreeMap;

/// What waits in a pool, and what its workers can do about it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Thousandths of a core that batch tasks can use on the workers that accept runs.
    pub capacity_cpu: u64,
    /// Largest capacity of an instance of the fleet, for each resource; zero if none is known.
    pub largest_worker: Demand,
    /// Unfinished work by account; jobs of public queues count for no account.
    pub accounts: BTreeMap<Option<Name>, Waiting>,
}

/// The unfinished jobs of one account in a pool, without their running tasks. Long-running, scheduled and long overdue jobs don't
/// count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// Remaining work of jobs within the account's entitlement, in core-milliseconds.
    pub within_core_ms: u64,
    /// The same of jobs beyond it.
    pub beyond_core_ms: u64,
    /// Jobs within the entitlement that were accepted since this owner took over.
    pub accepted_within: u64,
    /// Jobs beyond the entitlement that were accepted since this owner took over.
    pub accepted_beyond: u64,
}
