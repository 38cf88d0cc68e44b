//! What entries tell each other about one pool.
//!
//! A report does not grow with the number of workers: demand is one number per account, and lending
//! is by [`STRIPES`](crate::rights::owner::STRIPES) stripes of a lender's slots.

use primroseroute_domain::id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One entry's report on one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Report {
    /// The entry that reports.
    pub entry: id::Entry,
    /// Number of the entry's start, larger for a later one; a restarted entry has lent nothing.
    pub incarnation: u64,
    /// Orders the reports of one incarnation; an older one is ignored.
    pub seq: u64,
    /// Slots that each account's callers at this entry would keep busy.
    pub demand: BTreeMap<id::Account, f64>,
    /// Stripes that the entry lends, to whom.
    pub lent: BTreeMap<u8, id::Entry>,
    /// What the entry has seen of each peer as a borrower.
    pub seen: BTreeMap<id::Entry, Seen>,
}

/// The newest report that a borrower has acted on, and what it has not given back yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Seen {
    /// Incarnation of the lender.
    pub incarnation: u64,
    /// Newest report of the lender that was acted on.
    pub seq: u64,
    /// Stripes that were called back and still have requests in flight.
    pub returning: Vec<u8>,
}
