//! Calls to the platform's tasks, with a timeout each and limited concurrency.

use primroseroute_domain::id;
use primroseroute_jobs::Action;
use primroseroute_platform::{
    error::Error,
    task::{Start, Tasks, Token},
};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::Semaphore,
    time::{Instant, timeout},
};

/// How long after the decision a call may still be sent.
///
/// Otherwise a controller that is suspended after the decision, or whose calls are queued for long,
/// could start or renew a run whose lease has expired for its successor, and the job would run
/// twice. The successor assumes that runs were renewed until a whole lease of 30 s after its
/// takeover; this and [`CALL_TIMEOUT`] together stay below that.
pub(super) const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of a call, well below the 15 s that are allowed for late effects when a lease expires.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum concurrent calls: 9,600 runs need 960 renewals/s of up to 60 ms each.
pub(super) const MAX_CONCURRENT_CALLS: usize = 64;

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// A start or renewal returned or timed out; it may have taken effect.
    Returned,
    /// A start is known to have had no effect.
    StartNotApplied,
    /// The platform rejected a start because it was unavailable or throttling; it had no effect.
    StartRejected,
    /// A stop may not have taken effect.
    StopUnconfirmed,
    /// Not relevant to the scheduler.
    Ignored,
}

/// A completed call.
#[derive(Clone, Debug)]
pub(super) struct CompletedCall {
    pub(super) job: id::Job,
    pub(super) token: Token,
    pub(super) outcome: Outcome,
    /// When the call completed.
    pub(super) at: Instant,
}

/// Executes calls with limited concurrency.
#[derive(Clone, Debug)]
pub(super) struct TaskCaller {
    pub(super) tasks: Arc<dyn Tasks>,
    pub(super) permits: Arc<Semaphore>,
}

impl TaskCaller {
    /// Executes `action`, unless it was decided too long ago.
    pub(super) async fn execute(
        self,
        action: Action,
        decided_at: Instant,
    ) -> Option<CompletedCall> {
        let (job, token) = run_of(&action)?;
        let permit = self.permits.acquire().await;
        let outcome = if decided_at.elapsed() < SEND_TIMEOUT {
            call(self.tasks.as_ref(), action).await
        } else {
            outcome_if_unsent(&action)
        };
        drop(permit);
        Some(CompletedCall {
            job,
            token,
            outcome,
            at: Instant::now(),
        })
    }
}

/// The run that an action refers to; `None` if it refers to no run.
fn run_of(action: &Action) -> Option<(id::Job, Token)> {
    match action {
        Action::Start(Start { job, token, .. })
        | Action::Renew { job, token, .. }
        | Action::Checkpoint { job, token }
        | Action::Throttle { job, token, .. }
        | Action::Stop { job, token } => Some((job.clone(), *token)),
        Action::Quarantine { .. } => None,
    }
}

fn outcome_if_unsent(action: &Action) -> Outcome {
    match action {
        Action::Start(_) => Outcome::StartNotApplied,
        Action::Renew { .. } => Outcome::Returned,
        Action::Stop { .. } => Outcome::StopUnconfirmed,
        Action::Checkpoint { .. } | Action::Throttle { .. } | Action::Quarantine { .. } => {
            Outcome::Ignored
        }
    }
}

async fn with_timeout(call: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    match timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(elapsed) => Err(Error::Unknown(elapsed.to_string())),
    }
}

async fn call(tasks: &dyn Tasks, action: Action) -> Outcome {
    match action {
        Action::Start(start) => {
            let (job, at) = (start.job.clone(), start.instance.clone());
            start_outcome(&job, &at, with_timeout(tasks.start(start)).await)
        }
        Action::Renew { job, token, lease } => {
            log_failure(
                "renewal",
                &job,
                &with_timeout(tasks.renew(&job, token, lease)).await,
            );
            Outcome::Returned
        }
        Action::Checkpoint { job, token } => {
            log_failure(
                "checkpoint",
                &job,
                &with_timeout(tasks.checkpoint(&job, token)).await,
            );
            Outcome::Ignored
        }
        Action::Throttle {
            job,
            token,
            fraction,
        } => {
            let result = with_timeout(tasks.throttle(&job, token, fraction)).await;
            log_failure("throttling", &job, &result);
            Outcome::Ignored
        }
        Action::Stop { job, token } => {
            if log_failure("stop", &job, &with_timeout(tasks.stop(&job, token)).await) {
                Outcome::Ignored
            } else {
                Outcome::StopUnconfirmed
            }
        }
        Action::Quarantine { .. } => Outcome::Ignored,
    }
}

fn start_outcome(job: &id::Job, at: &id::Instance, result: Result<(), Error>) -> Outcome {
    match result {
        Ok(()) => Outcome::Returned,
        Err(error) => {
            log::warn!("start of {job} on {at} was not confirmed: {error}");
            match error {
                Error::Unknown(_) => Outcome::Returned,
                Error::Invalid(_) => Outcome::StartNotApplied,
                Error::Unavailable(_) | Error::Throttled => Outcome::StartRejected,
            }
        }
    }
}

/// Logs a failure; returns whether the call succeeded.
fn log_failure(what: &str, job: &id::Job, result: &Result<(), Error>) -> bool {
    if let Err(error) = result {
        log::debug!("{what} of {job} was not confirmed: {error}");
    }
    result.is_ok()
}
