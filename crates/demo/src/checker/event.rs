//! Events that the runner records.

use primroseroute_domain::{
    account::Budget, change::Seq, id, instance::Row, outcome::Verdict, time::Instant,
};
use primroseroute_fleet::wave;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// A recorded event. Durations count from the start of the event log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller's request ended.
    RequestEnded(RequestEnded),
    /// The number of executions of a key, counted after the last request.
    KeyExecuted(KeyExecutions),
    /// An operator's command was accepted.
    CommandAccepted(AcceptedCommand),
    /// An entry started.
    EntryStarted(EntryEvent),
    /// An entry was told to stop, or was killed.
    EntryRetired(EntryEvent),
    /// An entry's version in effect was observed.
    VersionObserved(ObservedVersion),
    /// A change in the table, in sequence order.
    Changed(Change),
}

/// The end of one request, after all of the caller's attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestEnded {
    /// The request id, chosen by the caller and shared by all attempts.
    pub request: Arc<str>,
    /// The idempotency key, if the request is a hold.
    pub key: Option<Arc<str>>,
    /// The final outcome as the caller knows it.
    pub verdict: Verdict,
    /// Whether the response has a success status; an error response of the worker has not.
    pub success: bool,
    /// Whether the response to an attempt came after the request timeout plus the allowance for transit.
    pub late: bool,
    /// Request ids in the headers and bodies of the responses.
    pub named: Vec<Arc<str>>,
    /// Attempts that reached an entry.
    pub attempts: u64,
    /// Attempts whose connection was refused, after which the caller tried another entry.
    pub refused: u64,
}

/// Executions of one key, summed over all workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyExecutions {
    /// The idempotency key.
    pub key: Arc<str>,
    /// Number of executions.
    pub times: u64,
}

/// An accepted command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedCommand {
    /// Sequence number of the resulting change.
    pub seq: Seq,
    /// When the command was sent.
    pub sent: Duration,
}

/// The start or retirement of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryEvent {
    /// The entry; names aren't reused.
    pub entry: id::Entry,
    /// Time of the event.
    pub at: Duration,
}

/// An observation of an entry's version in effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedVersion {
    /// The entry.
    pub entry: id::Entry,
    /// The newest change in effect there.
    pub seq: Seq,
    /// When it was observed.
    pub at: Duration,
}

/// The instances, budgets and waves that one change wrote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Its sequence number.
    pub seq: Seq,
    /// When it was made, on the writer's clock.
    pub at: Instant,
    /// Instance rows after the change; `None` if it deleted the row.
    pub rows: BTreeMap<id::Instance, Option<Row>>,
    /// Budgets after the change.
    pub budgets: BTreeMap<id::Pool, Budget>,
    /// Wave rows after the change.
    pub waves: BTreeMap<id::Wave, wave::Row>,
}
