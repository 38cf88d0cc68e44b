//! Details of a job: its objective and the state of each of its tasks.

use crate::parsed;
use primroseroute_cell::row::{
    self, Accepted, Claim, Phase, Progress,
    overflow::{self, Overflow, WorkKey},
};
use primroseroute_domain::work::{JobId, Name, State, TaskId};
use primroseroute_platform::{
    Error,
    rows::{Rows, read_all, read_row},
};
use serde::Serialize;

/// Details of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct JobDetails {
    /// Job id.
    pub id: JobId,
    /// Queue that it was submitted to.
    pub queue: Name,
    /// Pool that runs it.
    pub pool: Name,
    /// Account that submitted it; none on a public queue.
    pub account: Option<Name>,
    /// Time of its acceptance, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Time from acceptance within which it should complete, in milliseconds.
    pub objective_ms: u64,
    /// Number of failed runs after which a task counts as failed.
    pub max_attempts: u32,
    /// Whether a cancellation of it is stored.
    pub cancelled: bool,
    /// State; pending while its owner has not stored any progress.
    pub state: State,
    /// Time of its end, in milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
    /// Its tasks; empty before its first start and after its end.
    pub tasks: Vec<Task>,
}

/// State of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Task {
    /// Task id as used by workers and in log lines.
    pub name: String,
    /// Phase: waiting, placed, leaving its worker, or done.
    pub phase: &'static str,
    /// Worker that it is placed on.
    pub worker: Option<Name>,
    /// Number of its latest run; 0 if it was never started.
    pub run: u32,
    /// Number of its runs that have failed.
    pub failed: usize,
}

/// Returns the details of a job; `None` if no such job was accepted, or its rows have been deleted.
///
/// # Errors
/// Errors of the calls, and [`Error::Unavailable`] for a row that cannot be parsed.
pub async fn job(rows: &dyn Rows, id: &JobId) -> Result<Option<JobDetails>, Error> {
    let Some(claim) = read_row(rows, row::claim(id)).await? else {
        return Ok(None);
    };
    let Claim {
        pool,
        queue,
        account,
    } = parsed(&claim)?;
    let Some(accepted) = read_row(rows, row::accepted(&pool, id)).await? else {
        return Ok(None);
    };
    let accepted: Accepted = parsed(&accepted)?;
    let cancel = read_row(rows, row::cancel(&pool, id)).await?;
    let progress = progress(rows, &pool, id, &accepted).await?;
    Ok(Some(JobDetails {
        id: id.clone(),
        queue,
        pool,
        account,
        accepted_ms: accepted.at_ms,
        objective_ms: accepted.objective_ms,
        max_attempts: accepted.max_attempts,
        cancelled: cancel.is_some(),
        state: progress
            .as_ref()
            .map_or(State::Pending, |progress| progress.state),
        ended_ms: progress.as_ref().and_then(|progress| progress.ended_ms),
        tasks: progress.map_or_else(Vec::new, |progress| tasks(id, &progress)),
    }))
}

/// The progress of a job, from its own row and those besides.
async fn progress(
    rows: &dyn Rows,
    pool: &Name,
    id: &JobId,
    accepted: &Accepted,
) -> Result<Option<Progress>, Error> {
    let mut own: Option<Progress> = None;
    let mut stored = Overflow::default();
    for row in read_all(rows, overflow::range(pool, id)).await?.rows {
        match WorkKey::parse(&row.place.key) {
            Some(WorkKey::Progress(_)) => own = Some(parsed(&row)?),
            Some(WorkKey::Index(_)) => stored.index = row.value,
            Some(WorkKey::Segment(_, segment)) => {
                stored
                    .segments
                    .extend(row.value.map(|value| (segment, value)));
            }
            None => {}
        }
    }
    let whole = own.map(|own| overflow::decode(accepted, own, &stored));
    whole
        .transpose()
        .map_err(|error| Error::Unavailable(error.to_string()))
}

fn tasks(id: &JobId, progress: &Progress) -> Vec<Task> {
    let mut tasks = Vec::new();
    for (&occurrence, steps) in &progress.steps {
        for (step, states) in (0..).zip(steps) {
            for (index, task) in (0..).zip(states) {
                let name = TaskId {
                    job: id.clone(),
                    occurrence,
                    step,
                    index,
                };
                let (phase, worker) = match &task.phase {
                    Phase::Waiting => ("waiting", None),
                    Phase::Placed(worker) => ("placed", Some(Name::clone(worker))),
                    Phase::Leaving(worker) => ("leaving", Some(Name::clone(worker))),
                    Phase::Done => ("done", None),
                };
                tasks.push(Task {
                    name: name.to_string(),
                    phase,
                    worker,
                    run: task.run,
                    failed: task.failed.len(),
                });
            }
        }
    }
    tasks
}
