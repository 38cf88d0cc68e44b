//! Events of a pool's loop.

use crate::{budgets::Written, load::JobRows, reassigned};
use primroseroute_cell::{AdviceRequest, EvacuationReason, Millis, Outcome};
use primroseroute_domain::work::{JobId, Name, TaskId};
use primroseroute_platform::{
    rows::{Row, Version},
    worker::WorkerStatus,
};
use std::collections::BTreeMap;

/// An event of a pool's loop.
#[derive(Debug)]
pub(crate) enum Event {
    /// Jobs and cancels, and when they arrived.
    Jobs(JobRows, Millis),
    /// All jobs and cancels that were stored by then have been received.
    FeedWatermark(Millis),
    /// Rows of budgets.
    Budgets(Vec<Row>),
    /// The outcome of a write of budgets.
    BudgetsWritten(Written),
    LeaseRenewalSent {
        worker: Name,
        lease_expires_at: Millis,
    },
    PollResponse {
        worker: Name,
        status: WorkerStatus,
        sent_at: Millis,
        at: Millis,
    },
    /// The incarnation of a worker that started at `incarnation`, by its own clock, was over when the list
    /// was requested.
    Terminated {
        worker: Name,
        incarnation: u64,
        asked_at: Millis,
    },
    /// The list of instances still names an unresponsive worker, whose incarnation started at
    /// `incarnation`.
    Listed {
        worker: Name,
        incarnation: u64,
        asked_at: Millis,
    },
    /// Another worker answers in the place of this one.
    Replaced(Name),
    /// The rows of a finished job are deleted.
    RowsDeleted(JobId),
    /// These tombstones are deleted, or replaced since the given version.
    TombstonesDeleted(Vec<(JobId, Version)>),
    /// A row of reassigned queues was written, or not.
    ReassignedWritten(reassigned::Write, bool),
    StartOutcome {
        worker: Name,
        task: TaskId,
        run: u32,
        outcome: Outcome,
    },
    StopAccepted {
        worker: Name,
        task: TaskId,
        run: u32,
    },
    Advice {
        request: AdviceRequest,
        /// Tickets by worker, and how long they are valid; `None` if there was no answer.
        answer: Option<(BTreeMap<Name, Name>, Millis)>,
        sent_at: Millis,
    },
    SetEvacuating {
        worker: Name,
        reason: Option<EvacuationReason>,
    },
    StopBatchTasks(Name),
}
