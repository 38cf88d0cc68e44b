//! The advice service, which decides which workers a queue's policy allows to run a step.

use crate::Error;
use async_trait::async_trait;
use primroseroute_domain::work::{Name, StepId};
use std::{collections::BTreeMap, fmt, time::Duration};

/// Maximum number of workers in one request.
pub const MAX_WORKERS: usize = 100;

/// A response of the advice service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// The ticket that a start carries, for each worker that may run the step.
    pub tickets: BTreeMap<Name, Name>,
    /// How long the tickets are valid from the time of the response.
    pub valid: Duration,
}

/// Client of the advice service.
#[async_trait]
pub trait Advisor: Send + Sync + fmt::Debug {
    /// Asks which of `workers`, at most [`MAX_WORKERS`], may run the tasks of `step`.
    ///
    /// # Errors
    /// Any [`Error`]; the call has no side effects.
    async fn advise(&self, step: &StepId, workers: &[Name]) -> Result<Advice, Error>;
}
