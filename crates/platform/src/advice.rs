//! The service that knows which workers a queue's policy allows to run a step.

use crate::Error;
use async_trait::async_trait;
use primroseroute_domain::work::{Name, StepId};
use std::{collections::BTreeMap, fmt, time::Duration};

/// Most workers that one question may name.
pub const MOST_WORKERS: usize = 100;

/// An answer of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// For each worker that may run the step, the ticket that a start there carries.
    pub tickets: BTreeMap<Name, Name>,
    /// How long the tickets are valid, from the time at which the service answered.
    pub valid: Duration,
}

/// The service.
#[async_trait]
pub trait Advisor: Send + Sync + fmt::Debug {
    /// Which of `workers`, at most [`MOST_WORKERS`], may run the tasks of `step`.
    ///
    /// # Errors
    /// Any [`Error`]; a question has no effect.
    async fn advise(&self, step: &StepId, workers: &[Name]) -> Result<Advice, Error>;
}
