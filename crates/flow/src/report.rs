//! Reports that entries exchange about one pool.
//!
//! The size of a report does not depend on the number of workers: demand is one number per account,
//! and slots are lent in [`STRIPES`](crate::quota::ownership::STRIPES) stripes per lender.

use primroseroute_domain::id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One entry's report on one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Report {
    /// The reporting entry.
    pub entry: id::Entry,
    /// Increases with each start of the entry; a restarted entry has lent nothing.
    pub incarnation: u64,
    /// Sequence number within the incarnation; older reports are ignored.
    pub seq: u64,
    /// Slots that each account's callers at this entry would keep busy.
    pub demand: BTreeMap<id::Account, f64>,
    /// Stripes that the entry lends, with the borrower.
    pub lent: BTreeMap<u8, id::Entry>,
    /// Acknowledgement of each peer's reports, as a borrower of its stripes.
    pub seen: BTreeMap<id::Entry, Seen>,
}

/// Acknowledges the newest applied report of a lender, and lists stripes not yet returned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Seen {
    /// Incarnation of the lender.
    pub incarnation: u64,
    /// Sequence number of the lender's newest report that was applied.
    pub seq: u64,
    /// Recalled stripes that still have requests in flight.
    pub returning: Vec<u8>,
}
