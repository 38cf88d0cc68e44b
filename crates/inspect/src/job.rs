//! A job's story: what was promised, and where each of its tasks stands.

use crate::parsed;
use primroseroute_cell::row::{self, Accepted, Claim, Phase, Progress};
use primroseroute_domain::work::{JobId, Name, State, TaskId};
use primroseroute_platform::{
    Error,
    rows::{Rows, read_row},
};
use serde::Serialize;

/// What is known of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Story {
    /// Its id.
    pub id: JobId,
    /// Its queue.
    pub queue: Name,
    /// The pool that runs it.
    pub pool: Name,
    /// Time of day of its acceptance, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Time from then in which it should be done, in milliseconds.
    pub objective_ms: u64,
    /// Failed runs after which a task has failed.
    pub max_attempts: u32,
    /// Whether a cancel of it is stored.
    pub cancelled: bool,
    /// Its state; pending where its owner has stored nothing yet.
    pub state: State,
    /// Time of day of its end, in milliseconds since 1970.
    pub ended_ms: Option<u64>,
    /// Its tasks; none before its first start, nor after its end.
    pub tasks: Vec<Task>,
}

/// Where one task stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Task {
    /// Its name, as workers and log lines have it.
    pub name: String,
    /// Whether it waits, is placed, leaves its worker, or is done.
    pub phase: &'static str,
    /// Where it is placed.
    pub worker: Option<Name>,
    /// Its highest run; 0 where it was never started.
    pub run: u32,
    /// Number of its runs that have failed.
    pub failed: usize,
}

/// The story of a job; `None` where no such job was accepted, or its rows were deleted since.
///
/// # Errors
/// Those of the calls, and [`Error::Unavailable`] for a row that can't be read.
pub async fn job(rows: &dyn Rows, id: &JobId) -> Result<Option<Story>, Error> {
    let Some(claim) = read_row(rows, row::claim(id)).await? else {
        return Ok(None);
    };
    let Claim { pool, queue } = parsed(&claim)?;
    let Some(accepted) = read_row(rows, row::accepted(&pool, id)).await? else {
        return Ok(None);
    };
    let accepted: Accepted = parsed(&accepted)?;
    let cancel = read_row(rows, row::cancel(&pool, id)).await?;
    let progress = read_row(rows, row::progress(&pool, id)).await?;
    let progress: Option<Progress> = progress.as_ref().map(parsed).transpose()?;
    Ok(Some(Story {
        id: id.clone(),
        queue,
        pool,
        accepted_ms: accepted.at_ms,
        objective_ms: accepted.objective_ms,
        max_attempts: accepted.max_attempts,
        cancelled: cancel.is_some(),
        state: progress
            .as_ref()
            .map_or(State::Pending, |known| known.state),
        ended_ms: progress.as_ref().and_then(|known| known.ended_ms),
        tasks: progress.map_or_else(Vec::new, |known| tasks(id, &known)),
    }))
}

fn tasks(id: &JobId, progress: &Progress) -> Vec<Task> {
    let mut tasks = Vec::new();
    for (&occurrence, steps) in &progress.steps {
        for (step, known) in (0..).zip(steps) {
            for (index, task) in (0..).zip(known) {
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
