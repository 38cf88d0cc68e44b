//! The platform's tasks: work under leases on workers, with lagging reports of usage.

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

/// Orders the starts of one job; the platform refuses a start with a token that is not newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Token(pub u64);

/// A request to start a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Start {
    /// The job that the task runs.
    pub job: id::Job,
    /// Where it runs.
    pub instance: id::Instance,
    /// The fencing token of this start.
    pub token: Token,
    /// Resources set aside for it.
    pub resources: Resources,
    /// How long it may run without a renewal.
    pub lease: Duration,
}

/// What a task is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It runs.
    Running,
    /// It ended well.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, or its lease lapsed.
    Stopped,
}

/// A lagging report on one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Report {
    /// The job.
    pub job: id::Job,
    /// Where the task runs or ran.
    pub instance: id::Instance,
    /// The start that the report is about.
    pub token: Token,
    /// What it is doing.
    pub phase: Phase,
    /// What it uses.
    pub usage: Resources,
    /// The part of the work that the last checkpoint holds, 0 to 1.
    pub checkpoint: f64,
    /// When the report was true.
    pub as_of: Instant,
}

/// The platform's tasks.
#[async_trait]
pub trait Tasks: Send + Sync + fmt::Debug {
    /// Starts a task; a repeat with the same token is one start.
    ///
    /// # Errors
    /// [`Error::Invalid`] where the token is older than one already used for the job; else any
    /// [`Error`].
    async fn start(&self, start: Start) -> Result<(), Error>;

    /// Extends the lease of the start with `token`.
    ///
    /// # Errors
    /// [`Error::Invalid`] where that start no longer runs; else any [`Error`].
    async fn renew(&self, job: &id::Job, token: Token, lease: Duration) -> Result<(), Error>;

    /// Asks the task to write a checkpoint.
    ///
    /// # Errors
    /// Any [`Error`].
    async fn checkpoint(&self, job: &id::Job, token: Token) -> Result<(), Error>;

    /// Limits the task to `fraction` of its processor cores, 0 to 1.
    ///
    /// # Errors
    /// Any [`Error`].
    async fn throttle(&self, job: &id::Job, token: Token, fraction: f64) -> Result<(), Error>;

    /// Stops the task; a repeat has no further effect.
    ///
    /// # Errors
    /// Any [`Error`].
    async fn stop(&self, job: &id::Job, token: Token) -> Result<(), Error>;

    /// Reads the lagging reports of all tasks.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no effect.
    async fn reports(&self) -> Result<Vec<Report>, Error>;
}
