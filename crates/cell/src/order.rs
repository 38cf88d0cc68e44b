//! Outputs of a cell and the results of its orders.

use crate::{
    crash::PoisonTask, limits::Millis, row::overflow::Change, scaling::ScalingEstimate,
    straggler::Stragglers,
};
use bytes::Bytes;
use primroseroute_domain::work::{Demand, JobId, Name, State, StepId, TaskId};
use primroseroute_platform::worker::Refusal;
use std::collections::BTreeMap;

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
    /// Run at a share of full speed.
    Throttle {
        /// The worker's id.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
        /// The share in percent.
        percent: u32,
    },
}

/// A request to the advice service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepId,
    /// The workers that might run it.
    pub workers: Vec<Name>,
}

/// Outcome of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The run is active, or has been.
    Started,
    /// The run isn't active and never will be.
    Refused(Refusal),
    /// Never sent: the worker can't be reached.
    Unsent,
    /// Never sent: the job has ended meanwhile, or the start window has passed.
    Withdrawn,
    /// The run may be active, or may become so later.
    Unknown,
}

/// Position up to which the ended runs of a worker are recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndsCursor {
    /// The incarnation that listed them, by its start time on the worker's clock: another one
    /// numbers its ended runs anew.
    pub incarnation: u64,
    /// The highest number.
    pub number: u64,
}

/// Why runs were lost without an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Their worker terminated after announcing it.
    Planned,
    /// Their worker terminated for no known reason.
    Crash,
    /// The lease of an unresponsive worker has expired; it may only have been partitioned.
    Lapse,
}

/// Runs that were lost without an end; none if they were lost before, by an expired lease, and it
/// is known only now that their worker has crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// Their worker.
    pub worker: Name,
    /// Why.
    pub cause: Cause,
    /// Their tasks and run numbers.
    pub runs: Vec<(TaskId, u32)>,
    /// The tasks that the crash is attributed to.
    pub attributed_to: Vec<TaskId>,
    /// Longest time from the start of its newest run until its end, if any of its runs were new.
    pub span_ms: Option<Millis>,
    /// Whether the platform listed it after a gap in which its incarnation could have ended.
    pub relisted: bool,
}

/// A waiting step that no instance of the fleet can run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnplaceableStep {
    /// The job.
    pub job: JobId,
    /// Number of the step.
    pub step: u16,
    /// Its number of tasks.
    pub count: u16,
    /// What each of them reserves.
    pub demand: Demand,
    /// Label that its workers must have.
    pub label: Option<Name>,
}

/// Result of a round: what to commit, and what to do after that.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoundOutput {
    /// Progress rows to write.
    pub puts: Vec<(JobId, Bytes)>,
    /// Writes to the rows of jobs whose progress is longer than their own row may be.
    pub overflow: BTreeMap<JobId, Change>,
    /// Jobs that have reached a final state.
    pub ended: Vec<(JobId, State)>,
    /// Jobs whose progress rows are no longer needed.
    pub forget: Vec<JobId>,
    /// Stops of runs whose jobs have ended. They need no commit: a job that has ended never goes
    /// on, so a commit that waits for a slow store must not delay them.
    pub immediate_stops: Vec<Order>,
    /// Orders that may be sent only once the rows are committed.
    pub orders: Vec<Order>,
    /// Workers to poll at once, in addition to the regular polls that wait for a run to end.
    pub immediate_polls: Vec<Name>,
    /// Runs that were lost since the last round.
    pub losses: Vec<Loss>,
    /// Tasks that are abandoned because they crash their workers.
    pub poison_tasks: Vec<PoisonTask>,
    /// Tasks whose crash records were cleared because their workers survived them.
    pub crashes_cleared: Vec<TaskId>,
    /// Waiting steps that no instance of the fleet can run, and that weren't known as such.
    pub unplaceable: Vec<UnplaceableStep>,
    /// Steps that an instance can run now, or that don't wait any more.
    pub placeable_again: Vec<(JobId, u16)>,
    /// Requests to the advice service; they need no commit.
    pub advice_requests: Vec<AdviceRequest>,
    /// For each worker, the position up to which its ended runs are in the rows.
    pub ends_committed: Vec<(Name, EndsCursor)>,
    /// How many workers the pool can use.
    pub scaling: ScalingEstimate,
    /// Slow workers, and the runs that are moved off them.
    pub stragglers: Stragglers,
}
