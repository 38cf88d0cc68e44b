//! Calls to the workers, which run tasks under leases.

use crate::Error;
use async_trait::async_trait;
use primroseroute_domain::work::{End, Name, TaskId};
use std::{fmt, net::SocketAddr, time::Duration};

/// The worker that a call is meant for. A worker with another id at the same address rejects the call; a later incarnation with
/// the same id accepts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Worker id.
    pub id: Name,
    /// Listen address.
    pub address: SocketAddr,
}

/// Order to start a run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Task.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
    /// Payload of the job.
    pub payload: Name,
    /// Time on the worker's clock, in milliseconds, after which it rejects the order.
    pub deadline_ms: u64,
    /// Fencing token of the sender.
    pub token: u64,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Name>,
    /// Ticket of the advice service: proof that the queue's policy allows the worker.
    pub ticket: Option<Name>,
}

/// Lease renewal for everything that runs on a worker, combined with a status poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRenewal {
    /// New expiry of the lease on the worker's clock, in milliseconds; `None` to poll without a renewal.
    pub deadline_ms: Option<u64>,
    /// Fencing token of the sender.
    pub token: u64,
    /// Ended runs up to this number are acknowledged: they are durable here and the worker may discard them.
    pub acknowledged: u64,
    /// How long the worker may delay its response until a run ends.
    pub wait: Duration,
}

/// A run in progress, as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// Task.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
    /// Newest checkpoint.
    pub checkpoint: Option<Name>,
    /// Progress in percent; 100 for a long-running task that is ready.
    pub percent: u32,
    /// Tail latency in milliseconds for a task that serves requests, otherwise CPU usage in thousandths of a
    /// core; approximate.
    pub load: u64,
}

/// The end of a run, as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Sequence number of the end within this incarnation of the worker.
    pub number: u64,
    /// Task.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
    /// How the run ended.
    pub how: End,
    /// Last checkpoint.
    pub checkpoint: Option<Name>,
}

/// Status of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerStatus {
    /// Start time of this incarnation in Unix milliseconds by the worker's own clock; 0 if it reports none.
    pub born: u64,
    /// The worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Runs in progress.
    pub running: Vec<Running>,
    /// Ended runs that are not yet acknowledged, oldest first.
    pub ended: Vec<Ended>,
    /// Numbers of further ended runs, which aren't of tasks of this system. They are to be acknowledged
    /// as well: a worker doesn't delay its response while an end isn't.
    pub foreign_ends: Vec<u64>,
}

impl WorkerStatus {
    /// The highest number of an ended run that it lists.
    pub fn newest_end(&self) -> Option<u64> {
        let ended = self.ended.iter().map(|ended| ended.number);
        ended.chain(self.foreign_ends.iter().copied()).max()
    }
}

/// Reason for which a worker rejected an order without carrying it out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// This run or a higher one has already been stopped or has ended.
    Old,
    /// The order's deadline had passed.
    Late,
    /// The worker lacks the capacity for the task.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// The worker is unhealthy or overloaded.
    Unhealthy,
    /// The order is malformed.
    Malformed,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The order was carried out.
    Done,
    /// The worker rejected the order.
    Refused(Refusal),
    /// Another incarnation answers at this address: the target no longer exists.
    Gone,
}

/// Outcome of a lease renewal and status poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// The worker's status.
    Status(WorkerStatus),
    /// The worker rejected the call.
    Refused(Refusal),
    /// Another incarnation answers at this address: the target no longer exists.
    Gone,
}

/// Calls to workers.
#[async_trait]
pub trait Workers: Send + Sync + fmt::Debug {
    /// Starts a run.
    ///
    /// # Errors
    /// [`Error::Unknown`] if the call may have been carried out, or may be later.
    async fn start(&self, target: &Target, start: &Start) -> Result<Answer, Error>;

    /// Stops a run; the worker rejects that run and lower ones from then on.
    ///
    /// # Errors
    /// [`Error::Unknown`] if the call may have been carried out, or may be later.
    async fn stop(
        &self,
        target: &Target,
        task: &TaskId,
        run: u32,
        token: u64,
    ) -> Result<Answer, Error>;

    /// Renews the worker's lease and polls its status.
    ///
    /// # Errors
    /// [`Error::Unknown`] if the call may have been carried out, or may be later.
    async fn renew(&self, target: &Target, renewal: LeaseRenewal) -> Result<PollOutcome, Error>;

    /// Limits a run to `percent` of its full speed.
    ///
    /// # Errors
    /// [`Error::Unknown`] if the call may have been carried out, or may be later.
    async fn throttle(
        &self,
        target: &Target,
        task: &TaskId,
        run: u32,
        percent: u32,
        token: u64,
    ) -> Result<Answer, Error>;
}
