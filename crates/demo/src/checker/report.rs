//! The report of a run.

use primroseroute_domain::{change::Seq, id};
use serde::Serialize;
use std::sync::Arc;

/// Counts, measured times and violated invariants of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// Outcomes of callers' requests.
    pub requests: Requests,
    /// Distribution of configuration changes to the entries.
    pub views: Views,
    /// Changes of the fleet.
    pub fleet: Fleet,
    /// Every violated invariant; empty if all held.
    pub breaches: Vec<Breach>,
}

/// Counts of requests; a request and its repeats count once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Requests {
    /// Requests sent by callers.
    pub sent: u64,
    /// Holds (requests with an idempotency key) among these.
    pub holds: u64,
    /// Attempts that reached an entry, including repeats.
    pub attempts: u64,
    /// Connections refused by an entry that had ended before the balancer noticed.
    pub refused: u64,
    /// Requests with a complete response from a worker.
    pub completed: u64,
    /// Completed requests whose response has an error status of the worker.
    pub errors: u64,
    /// Requests proven not to have run.
    pub not_run: u64,
    /// Requests that may have run; still unknown when the caller stopped retrying.
    pub unknown: u64,
    /// Requests with a response after the request timeout plus the allowance for transit.
    pub late: u64,
    /// Keys executed more than once.
    pub doubled: u64,
    /// Holds that completed with success but were never executed.
    pub lost: u64,
    /// Holds reported as not run that did run.
    pub ran: u64,
    /// Requests that received another request's response.
    pub foreign: u64,
}

/// How configuration changes took effect at the entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Views {
    /// Accepted commands that were observed to take effect at every entry that ran throughout.
    pub orders: u64,
    /// Accepted commands that never took effect at some entry that kept running.
    pub never: u64,
    /// Time from sending a command until it was in effect at every entry that ran throughout.
    pub in_force: Quantiles,
    /// Number of times that an entry's version went backwards.
    pub reverted: u64,
}

/// Quantiles of a distribution of times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Quantiles {
    /// Median.
    pub p50_ms: u64,
    /// 99th percentile.
    pub p99_ms: u64,
    /// Maximum.
    pub max_ms: u64,
}

/// Counts and measurements of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Fleet {
    /// Changes committed to the table.
    pub changes: u64,
    /// Instances that arrived and went on to serve.
    pub arrivals: u64,
    /// Instances that left.
    pub departures: u64,
    /// Instances that moved from one pool to another.
    pub moves: u64,
    /// Instances that were quarantined.
    pub quarantines: u64,
    /// Waves that were started.
    pub waves: u64,
    /// Waves that completed their roll-out.
    pub waves_done: u64,
    /// Roll-out time of the slowest completed wave, in milliseconds.
    pub rollout_ms: u64,
    /// Instances that were rebooted by waves and returned.
    pub maintained: u64,
    /// Slot-hours of instances that serve beyond the promised capacity or have no pool.
    pub buffer_slot_hours: f64,
    /// Violations of an availability budget by planned work.
    pub budget_breaches: u64,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "breach")]
pub enum Breach {
    /// A key was executed more than once.
    Doubled {
        /// The key.
        key: Arc<str>,
        /// Number of executions.
        times: u64,
    },
    /// A hold that completed with success was never executed.
    Lost {
        /// The key.
        key: Arc<str>,
    },
    /// A hold reported as not run did run.
    Ran {
        /// The key.
        key: Arc<str>,
    },
    /// A response named another request.
    Foreign {
        /// Id of the request.
        request: Arc<str>,
        /// Request id in the response.
        named: Arc<str>,
    },
    /// An entry's version in effect went backwards.
    Reverted {
        /// The entry.
        entry: id::Entry,
        /// The version before.
        from: Seq,
        /// The version after.
        to: Seq,
    },
    /// Planned work violated an availability budget or put an instance into two pools.
    Budget {
        /// The change that did so.
        seq: Seq,
        /// The violation that the budget check reported.
        what: String,
    },
}
