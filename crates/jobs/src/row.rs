//! The stored row of a job.

use primroseroute_domain::{
    id,
    outcome::{Code, Refusal},
    time::Instant,
};
use primroseroute_platform::task::{Resources, Token};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt, sync::Arc};

/// Type of work, such as `reminder`; jobs of one kind and account have similar sizes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Kind(pub Arc<str>);

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// Why a job was parked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It failed on several distinct instances on which other jobs succeed.
    FailsOnHealthy,
    /// It failed as often as any job may, and no failure could be attributed to an instance.
    FailsEverywhere,
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It waits for an instance.
    Queued,
    /// It was assigned to an instance, where it runs or may run.
    Running(id::Instance),
    /// It was cancelled while it ran, and may still run there.
    Cancelling(id::Instance),
    /// It failed too often and waits for an operator.
    Parked(Reason),
    /// It was cancelled and no longer runs.
    Cancelled,
    /// It succeeded.
    Done,
}

impl State {
    /// The name of the state in lists.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running(_) => "running",
            Self::Cancelling(_) => "cancelling",
            Self::Parked(_) => "parked",
            Self::Cancelled => "cancelled",
            Self::Done => "done",
        }
    }

    /// Where the job runs or may run.
    pub fn instance(&self) -> Option<&id::Instance> {
        match self {
            Self::Running(instance) | Self::Cancelling(instance) => Some(instance),
            Self::Queued | Self::Parked(_) | Self::Cancelled | Self::Done => None,
        }
    }
}

/// The stored row of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Row {
    /// Its name.
    pub id: id::Job,
    /// The account whose share it counts towards.
    pub account: id::Account,
    /// The pool whose instances may run it.
    pub pool: id::Pool,
    /// Type of work.
    pub kind: Kind,
    /// Resources declared by its owner, which may be far off.
    pub declared: Resources,
    /// When it was submitted.
    pub submitted: Instant,
    /// Its state.
    pub state: State,
    /// The token of its newest start; it increases with each start.
    pub token: Token,
    /// Number of starts that ended in failure.
    pub failures: u32,
    /// Instances on which it failed, except those found to be faulty.
    pub failed_on: BTreeSet<id::Instance>,
    /// Progress of the last known checkpoint, 0 to 1.
    pub checkpoint: f64,
}

impl Row {
    /// The row of a newly submitted job.
    pub fn submit(
        id: id::Job,
        account: id::Account,
        pool: id::Pool,
        kind: Kind,
        declared: Resources,
        submitted: Instant,
    ) -> Self {
        Self {
            id,
            account,
            pool,
            kind,
            declared,
            submitted,
            state: State::Queued,
            token: Token(0),
            failures: 0,
            failed_on: BTreeSet::new(),
            checkpoint: 0.0,
        }
    }

    /// Returns a parked job to the queue and clears its failures.
    ///
    /// # Errors
    /// [`Code::JobStateForbids`] where the job is not parked.
    pub fn release(&mut self) -> Result<(), Refusal> {
        if !matches!(self.state, State::Parked(_)) {
            return Err(Refusal::new(
                Code::JobStateForbids,
                format!("job `{}` is not parked", self.id),
            ));
        }
        self.state = State::Queued;
        self.failures = 0;
        self.failed_on.clear();
        Ok(())
    }

    /// The result code of the state, if it has one.
    pub fn code(&self) -> Option<Code> {
        matches!(self.state, State::Parked(_)).then_some(Code::JobParked)
    }
}
