//! The platform's tasks: leased work on workers, with delayed usage reports.

use crate::error::Error;
use async_trait::async_trait;
use primroseroute_domain::{id, time::Instant};
use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

/// Amounts of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Resources {
    /// Processor cores.
    pub cores: f64,
    /// Memory in bytes.
    pub memory: f64,
    /// Accelerators.
    pub accelerators: f64,
}

/// Fencing token of one job's starts; the platform rejects a start whose token is not newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Token(pub u64);

/// Request to start a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Start {
    /// Job that the task runs.
    pub job: id::Job,
    /// Instance to run on.
    pub instance: id::Instance,
    /// Fencing token of this start.
    pub token: Token,
    /// Resources reserved for the task.
    pub resources: Resources,
    /// How long the task may run without a renewal.
    pub lease: Duration,
}

/// Lifecycle phase of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The task runs.
    Running,
    /// The task completed successfully.
    Done,
    /// The task failed.
    Failed,
    /// The task was stopped, or its lease expired.
    Stopped,
}

/// Report on one task, which may be out of date.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Report {
    /// Job.
    pub job: id::Job,
    /// Instance that the task runs or ran on.
    pub instance: id::Instance,
    /// Fencing token of the start that the report is about.
    pub token: Token,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Resource usage.
    pub usage: Resources,
    /// Fraction of the work that the last checkpoint covers, 0 to 1.
    pub checkpoint: f64,
    /// Time of the report.
    pub as_of: Instant,
}

/// Access to the platform's tasks.
#[async_trait]
pub trait Tasks: Send + Sync + fmt::Debug {
    /// Starts a task; idempotent for the same token.
    ///
    /// # Errors
    /// [`Error::Invalid`] if the token is older than one already used for the job; otherwise any
    /// [`Error`].
    async fn start(&self, start: Start) -> Result<(), Error>;

    /// Extends the lease of the start with `token`.
    ///
    /// # Errors
    /// [`Error::Invalid`] if that start no longer runs; otherwise any [`Error`].
    async fn renew(&self, job: &id::Job, token: Token, lease: Duration) -> Result<(), Error>;

    /// Requests the task to write a checkpoint.
    ///
    /// # Errors
    /// Any [`Error`].
    async fn checkpoint(&self, job: &id::Job, token: Token) -> Result<(), Error>;

    /// Limits the task to `fraction` of its processor cores, 0 to 1.
    ///
    /// # Errors
    /// Any [`Error`].
    async fn throttle(&self, job: &id::Job, token: Token, fraction: f64) -> Result<(), Error>;

    /// Stops the task; idempotent.
    ///
    /// # Errors
    /// Any [`Error`].
    async fn stop(&self, job: &id::Job, token: Token) -> Result<(), Error>;

    /// Reads the reports of all tasks, which may be out of date.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no side effects.
    async fn reports(&self) -> Result<Vec<Report>, Error>;
}
