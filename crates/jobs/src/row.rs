//! The row of a job.

use primroseroute_domain::{
    id,
    outcome::{Code, Refusal},
    time::Instant,
};
use primroseroute_platform::task::{Resources, Token};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt, sync::Arc};

/// What sort of work a job is, such as `reminder`; jobs of a kind and account have like sizes.
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
    /// It failed as often as any job may, and no failure could be laid to an instance.
    FailsEverywhere,
}

/// What a job is doing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It waits for an instance.
    Queued,
    /// It was given to an instance, where it runs or may run.
    Running(id::Instance),
    /// It was cancelled while it ran, and may still run there.
    Cancelling(id::Instance),
    /// It failed too often; an operator decides.
    Parked(Reason),
    /// It was cancelled and does not run.
    Cancelled,
    /// It ended well.
    Done,
}

impl State {
    /// The name of the state, as lists show it.
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

/// The row of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Row {
    /// Its name.
    pub id: id::Job,
    /// The account whose share it uses.
    pub account: id::Account,
    /// The pool whose instances may run it.
    pub pool: id::Pool,
    /// What sort of work it is.
    pub kind: Kind,
    /// What its owner says it needs, which may be far off.
    pub declared: Resources,
    /// When it was submitted.
    pub submitted: Instant,
    /// What it is doing.
    pub state: State,
    /// The token of its newest start; it grows with each and never falls.
    pub token: Token,
    /// Starts that ended in failure.
    pub failures: u32,
    /// Instances on which it failed, but for those that were found to be at fault.
    pub failed_on: BTreeSet<id::Instance>,
    /// The part of the work that the last known checkpoint holds, 0 to 1.
    pub checkpoint: f64,
}

impl Row {
    /// A job that was just submitted.
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

    /// Puts a parked job back into the queue, its failures forgotten.
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

    /// The numbered code that goes with the state, where it calls for one.
    pub fn code(&self) -> Option<Code> {
        matches!(self.state, State::Parked(_)).then_some(Code::JobParked)
    }
}
