//! What the runner records.

use primroseroute_domain::{
    account::Budget, change::Seq, id, instance::Row, outcome::Verdict, time::Instant,
};
use primroseroute_fleet::wave;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// One thing that happened. Durations count from the start of the demo.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller's request came to its end.
    Ended(Ended),
    /// How often the workers executed a key, counted after the last request.
    Executed(Executed),
    /// An operator's order was accepted.
    Ordered(Ordered),
    /// An entry started.
    Started(Presence),
    /// An entry was told to stop, or was killed.
    Retired(Presence),
    /// An entry was seen with this change as the newest in force.
    InForce(InForce),
    /// A change in the table, in the order of changes.
    Changed(Change),
}

/// The end of one request, after all of the caller's attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The id that the caller gave the request; attempts share it.
    pub request: Arc<str>,
    /// The key, where the request is a hold.
    pub key: Option<Arc<str>>,
    /// What the caller knows in the end.
    pub verdict: Verdict,
    /// Whether the answer has a success status; a worker's own refusal has not.
    pub success: bool,
    /// Whether an attempt's answer came after the timeout that the caller had named and its transit.
    pub late: bool,
    /// Ids that the answers named, in their header and in their body.
    pub named: Vec<Arc<str>>,
    /// Attempts that reached an entry.
    pub attempts: u64,
    /// Attempts whose connection was refused, so that the caller went to another entry.
    pub refused: u64,
}

/// Executions of one key over all workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Executed {
    /// The key.
    pub key: Arc<str>,
    /// How often it was executed.
    pub times: u64,
}

/// An accepted order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ordered {
    /// The change that it became.
    pub seq: Seq,
    /// When the order was sent.
    pub sent: Duration,
}

/// An entry that comes or goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Presence {
    /// The entry; a name is never used for a second run.
    pub entry: id::Entry,
    /// When.
    pub at: Duration,
}

/// A look at one entry's newest change in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// The entry.
    pub entry: id::Entry,
    /// The newest change in force there.
    pub seq: Seq,
    /// When it was seen.
    pub at: Duration,
}

/// What one change wrote of instances and budgets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Its place in the order.
    pub seq: Seq,
    /// When it was made, by the writer's clock.
    pub at: Instant,
    /// Instances' rows after the change; none where it deleted the row.
    pub rows: BTreeMap<id::Instance, Option<Row>>,
    /// Budgets after the change.
    pub budgets: BTreeMap<id::Pool, Budget>,
    /// Waves' rows after the change.
    pub waves: BTreeMap<id::Wave, wave::Row>,
}
