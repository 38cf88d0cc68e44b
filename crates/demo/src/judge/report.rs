//! What the judge says.

use primroseroute_domain::{change::Seq, id};
use serde::Serialize;
use std::sync::Arc;

/// The verdict with its figures.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// What became of callers' requests.
    pub requests: Requests,
    /// How changes came into force.
    pub views: Views,
    /// What the fleet did.
    pub fleet: Fleet,
    /// Every broken invariant; empty where all held.
    pub breaches: Vec<Breach>,
}

/// Counts of requests; a request with all of its repeats counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Requests {
    /// Requests that callers sent.
    pub sent: u64,
    /// Of these, holds with a key.
    pub holds: u64,
    /// Attempts that reached an entry, repeats among them.
    pub attempts: u64,
    /// Connections refused by an entry that was gone before the balancer noticed.
    pub refused: u64,
    /// Answered whole by a worker.
    pub completed: u64,
    /// Of these, answered with the worker's own error status.
    pub errors: u64,
    /// Proven not run.
    pub not_run: u64,
    /// May have run, still not known when the caller stopped asking.
    pub unknown: u64,
    /// An answer came after the timeout that the caller had named and its transit.
    pub late: u64,
    /// Keys executed more than once.
    pub doubled: u64,
    /// Holds that completed with success and were never executed.
    pub lost: u64,
    /// Holds that were said not to have run and did.
    pub ran: u64,
    /// Requests that were answered with another's answer.
    pub foreign: u64,
}

/// How changes came into force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Views {
    /// Accepted orders whose way into force was seen whole.
    pub orders: u64,
    /// Accepted orders that some entry that stayed never had in force.
    pub never: u64,
    /// From sending an order to its being in force at every entry that ran throughout.
    pub in_force: Quantiles,
    /// Times that an entry's version went backwards.
    pub reverted: u64,
}

/// A distribution of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Quantiles {
    /// The median.
    pub p50_ms: u64,
    /// The 99th percentile.
    pub p99_ms: u64,
    /// The largest.
    pub max_ms: u64,
}

/// What the fleet did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Fleet {
    /// Changes in the table.
    pub changes: u64,
    /// Instances that arrived and came to serve.
    pub arrivals: u64,
    /// Instances that left.
    pub departures: u64,
    /// Instances that went from one pool to another.
    pub moves: u64,
    /// Instances put into quarantine.
    pub quarantines: u64,
    /// Waves started.
    pub waves: u64,
    /// Of these, rolled out to the end.
    pub waves_done: u64,
    /// Roll-out time of the slowest wave that was rolled out, in milliseconds.
    pub rollout_ms: u64,
    /// Instances that waves rebooted and that came back.
    pub maintained: u64,
    /// Slot-hours of instances that serve beyond what is promised, or wait for a pool.
    pub buffer_slot_hours: f64,
    /// Breaches of an availability budget by planned work.
    pub budget_breaches: u64,
}

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "breach")]
pub enum Breach {
    /// A key was executed more than once.
    Doubled {
        /// The key.
        key: Arc<str>,
        /// How often.
        times: u64,
    },
    /// A hold that completed with success was never executed.
    Lost {
        /// The key.
        key: Arc<str>,
    },
    /// A hold was said not to have run and did.
    Ran {
        /// The key.
        key: Arc<str>,
    },
    /// An answer named another request.
    Foreign {
        /// The request.
        request: Arc<str>,
        /// What the answer named.
        named: Arc<str>,
    },
    /// An entry's version in force went backwards.
    Reverted {
        /// The entry.
        entry: id::Entry,
        /// The version it had.
        from: Seq,
        /// The version it went back to.
        to: Seq,
    },
    /// Planned work broke an availability budget or put an instance into two pools.
    Budget {
        /// The change that did it.
        seq: Seq,
        /// What the checker says.
        what: String,
    },
}
