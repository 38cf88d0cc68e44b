//! Calls to the platform's tasks, each with a limit, some at a time.

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
/// A controller that is paused between the two, or whose calls queue up, would else start or renew
/// a run that its successor has waited out, and the job would run twice. The successor counts runs
/// as renewed a whole lease of 30 s after its takeover; this and [`LIMIT`] stay below that.
pub(super) const SEND: Duration = Duration::from_secs(10);

/// Longest wait for an answer, well within the margin of 15 s that a lapse waits for late effects.
const LIMIT: Duration = Duration::from_secs(5);

/// Calls at a time: at 9,600 runs, 960 renewals a second of up to 60 ms each.
pub(super) const AT_ONCE: usize = 64;

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// A start or renewal came back or was given up; it may have had its effect.
    Returned,
    /// A start had no effect, proven.
    NotStarted,
    /// The platform refused a start for want of its own health; it had no effect.
    Refused,
    /// A stop may not have got through.
    NotStopped,
    /// Nothing that the scheduler has to know.
    Nothing,
}

/// One call that ended.
#[derive(Clone, Debug)]
pub(super) struct Ended {
    pub(super) job: id::Job,
    pub(super) token: Token,
    pub(super) outcome: Outcome,
    /// When it ended.
    pub(super) at: Instant,
}

/// What the calls go through.
#[derive(Clone, Debug)]
pub(super) struct Line {
    pub(super) tasks: Arc<dyn Tasks>,
    pub(super) permits: Arc<Semaphore>,
}

impl Line {
    /// Carries `action` out, unless `decided` is too long ago.
    pub(super) async fn carry(self, action: Action, decided: Instant) -> Option<Ended> {
        let (job, token) = subject(&action)?;
        let permit = self.permits.acquire().await;
        let outcome = if decided.elapsed() < SEND {
            call(self.tasks.as_ref(), action).await
        } else {
            unsent(&action)
        };
        drop(permit);
        Some(Ended {
            job,
            token,
            outcome,
            at: Instant::now(),
        })
    }
}

/// The run that an action is about; none where it is about no run.
fn subject(action: &Action) -> Option<(id::Job, Token)> {
    match action {
        Action::Start(Start { job, token, .. })
        | Action::Renew { job, token, .. }
        | Action::Checkpoint { job, token }
        | Action::Throttle { job, token, .. }
        | Action::Stop { job, token } => Some((job.clone(), *token)),
        Action::Quarantine { .. } => None,
    }
}

fn unsent(action: &Action) -> Outcome {
    match action {
        Action::Start(_) => Outcome::NotStarted,
        Action::Renew { .. } => Outcome::Returned,
        Action::Stop { .. } => Outcome::NotStopped,
        Action::Checkpoint { .. } | Action::Throttle { .. } | Action::Quarantine { .. } => {
            Outcome::Nothing
        }
    }
}

async fn limited(call: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    match timeout(LIMIT, call).await {
        Ok(said) => said,
        Err(elapsed) => Err(Error::Unknown(elapsed.to_string())),
    }
}

async fn call(tasks: &dyn Tasks, action: Action) -> Outcome {
    match action {
        Action::Start(start) => {
            let (job, at) = (start.job.clone(), start.instance.clone());
            started(&job, &at, limited(tasks.start(start)).await)
        }
        Action::Renew { job, token, lease } => {
            note(
                "renewal",
                &job,
                &limited(tasks.renew(&job, token, lease)).await,
            );
            Outcome::Returned
        }
        Action::Checkpoint { job, token } => {
            note(
                "checkpoint",
                &job,
                &limited(tasks.checkpoint(&job, token)).await,
            );
            Outcome::Nothing
        }
        Action::Throttle {
            job,
            token,
            fraction,
        } => {
            let said = limited(tasks.throttle(&job, token, fraction)).await;
            note("throttling", &job, &said);
            Outcome::Nothing
        }
        Action::Stop { job, token } => {
            if note("stop", &job, &limited(tasks.stop(&job, token)).await) {
                Outcome::Nothing
            } else {
                Outcome::NotStopped
            }
        }
        Action::Quarantine { .. } => Outcome::Nothing,
    }
}

fn started(job: &id::Job, at: &id::Instance, said: Result<(), Error>) -> Outcome {
    match said {
        Ok(()) => Outcome::Returned,
        Err(error) => {
            log::warn!("the start of {job} on {at} was not confirmed: {error}");
            match error {
                Error::Unknown(_) => Outcome::Returned,
                Error::Invalid(_) => Outcome::NotStarted,
                Error::Unavailable(_) | Error::Throttled => Outcome::Refused,
            }
        }
    }
}

/// Logs a failure; says whether there was none.
fn note(what: &str, job: &id::Job, said: &Result<(), Error>) -> bool {
    if let Err(error) = said {
        log::debug!("the {what} of {job} was not confirmed: {error}");
    }
    said.is_ok()
}
