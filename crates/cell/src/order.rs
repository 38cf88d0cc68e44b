//! What a cell wants done, and what came of it.

use crate::{crash::Culprit, need::Need};
use bytes::Bytes;
use primroseroute_domain::work::{JobId, Name, State, StepId, TaskId};
use primroseroute_platform::worker::Refusal;

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start a run.
    Start {
        /// The worker's id.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
        /// The job's payload.
        payload: Name,
        /// Where to resume from.
        checkpoint: Option<Name>,
        /// Proof that the queue's policy allows the worker, where it asks for one.
        ticket: Option<Name>,
    },
    /// Stop a run.
    Stop {
        /// The worker's id.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
    },
    /// Let a run work at a share of its speed.
    Pace {
        /// The worker's id.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
        /// The share.
        percent: u32,
    },
}

/// A question to the advice service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The step.
    pub step: StepId,
    /// The workers that might run it.
    pub workers: Vec<Name>,
}

/// What came of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It runs, or has run.
    Started,
    /// It doesn't run and never will.
    Refused(Refusal),
    /// It was never sent: its worker can't be reached.
    Unsent,
    /// It was never sent: its job has ended meanwhile, or its time was over.
    Withdrawn,
    /// It may run, or may later.
    Unknown,
}

/// Up to where the ends of a worker are taken in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TakenIn {
    /// When the life that has listed them began, by the worker's clock: in another one the numbers mean other ends.
    pub born: u64,
    /// The highest number.
    pub number: u64,
}

/// Why runs were lost without an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Their worker's life is over after it said that it leaves.
    Planned,
    /// Their worker's life is over for no known reason.
    Crash,
    /// The lease of a silent worker has lapsed; it may only have been cut off.
    Lapse,
}

/// Runs that were lost without an end; none where they lapsed before, and it shows only now that their worker has crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// Their worker.
    pub worker: Name,
    /// Why.
    pub cause: Cause,
    /// Their tasks and numbers.
    pub runs: Vec<(TaskId, u32)>,
    /// The tasks that may be what has crashed it.
    pub blamed: Vec<TaskId>,
}

/// What a cell wants committed, and done after that.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tick {
    /// Progress rows to write.
    pub puts: Vec<(JobId, Bytes)>,
    /// Jobs that have reached a final state.
    pub ended: Vec<(JobId, State)>,
    /// Jobs whose progress rows are no longer needed.
    pub forget: Vec<JobId>,
    /// Stops of runs whose jobs have ended. They need no commit: a job that has ended never goes on,
    /// so a commit that waits for a slow store must not hold them up.
    pub urgent: Vec<Order>,
    /// Orders that may be sent only once the rows are committed.
    pub orders: Vec<Order>,
    /// Workers to be looked at at once, besides the looks that wait for an end.
    pub glances: Vec<Name>,
    /// Runs that were lost since the last round.
    pub losses: Vec<Loss>,
    /// Tasks that are given up since they crash their workers.
    pub culprits: Vec<Culprit>,
    /// Tasks that are held for innocent of the crashes of their workers.
    pub acquitted: Vec<TaskId>,
    /// Questions to the advice service; they need no commit.
    pub questions: Vec<Question>,
    /// For each worker, up to where its ends are in the rows.
    pub seen: Vec<(Name, TakenIn)>,
    /// What the pool needs.
    pub need: Need,
}
