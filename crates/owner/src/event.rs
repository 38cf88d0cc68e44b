//! What a pool's loop is told.

use crate::load::Jobs;
use primroseroute_cell::{AdviceRequest, EvacuationReason, Millis, Outcome};
use primroseroute_domain::work::{JobId, Name, TaskId};
use primroseroute_platform::worker::WorkerStatus;
use std::collections::BTreeMap;

/// What a pool's loop is told.
#[derive(Debug)]
pub(crate) enum Event {
    /// Jobs and cancels, and when they came.
    Jobs(Jobs, Millis),
    /// All jobs and cancels that were stored by then have been told.
    Heard(Millis),
    Renewing {
        worker: Name,
        lapses_at: Millis,
    },
    Look {
        worker: Name,
        look: WorkerStatus,
        sent_at: Millis,
        at: Millis,
    },
    /// The life of a worker is over that began at `born`, by its own clock; it was when somebody asked.
    Gone {
        worker: Name,
        born: u64,
        asked_at: Millis,
    },
    /// The list of instances still names a silent worker, whose life began at `born`.
    Named {
        worker: Name,
        born: u64,
        asked_at: Millis,
    },
    /// Another worker answers in the place of this one.
    Replaced(Name),
    /// The rows of a finished job are deleted.
    Forgotten(JobId),
    Answered {
        worker: Name,
        task: TaskId,
        run: u32,
        outcome: Outcome,
    },
    Stopped {
        worker: Name,
        task: TaskId,
        run: u32,
    },
    Advised {
        question: AdviceRequest,
        /// Tickets by worker, and how long they are valid; none where there was no answer.
        answer: Option<(BTreeMap<Name, Name>, Millis)>,
        sent_at: Millis,
    },
    Empty {
        worker: Name,
        wanted: Option<EvacuationReason>,
    },
    Clear(Name),
}
