//! Whether a pool is too short of workers for a job.
//!
//! What the pool's owner publishes arrives through [`Loads`]. Without client accounts in the
//! configuration, or with admission switched off, every job is accepted.

use parking_lot::Mutex;
use primroseroute_admission::{
    Gate, PoolLoad,
    gate::{self, Decision, Figures, Reason, Rejection, Size, Submission},
};
use primroseroute_domain::work::{Job, JobId, Name};
use primroseroute_platform::site::{Configuration, Queue};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::Instant;

/// The load of a pool as it was received.
#[derive(Clone, Debug)]
pub struct Published {
    /// The load.
    pub load: Arc<PoolLoad>,
    /// Version of its row.
    pub version: u64,
    /// Time since its arrival.
    pub age: Duration,
}

/// Tells what the owners of pools publish.
pub trait Loads: Send + Sync + std::fmt::Debug {
    /// Whether admission is switched on.
    fn is_enabled(&self) -> bool;

    /// The newest load of a pool, if any was received.
    fn published(&self, pool: &Name) -> Option<Published>;

    /// How long ago everything that was published had certainly been received; `None` if that never
    /// was.
    fn confirmed_age(&self) -> Option<Duration>;
}

/// Weights by account; empty without client accounts.
pub(crate) type Weights = BTreeMap<Name, f64>;

/// The weights of a configuration.
pub(crate) fn weights(configuration: &Configuration) -> Weights {
    let accounts = configuration.accounts.iter();
    accounts
        .map(|account| (Name::clone(&account.name), account.weight))
        .collect()
}

/// Whose job it is, and where it is to run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Applicant<'a> {
    pub account: Option<&'a Name>,
    pub weights: &'a Weights,
    pub queue: &'a Queue,
    pub id: &'a JobId,
}

impl<'a> Applicant<'a> {
    fn submission(&self) -> Submission<'a> {
        let weight = self.account.and_then(|account| self.weights.get(account));
        Submission {
            account: self.account,
            weight: weight.copied().unwrap_or(0.0),
            pool: &self.queue.pool,
            id: self.id,
        }
    }
}

/// A rejection with what it was decided from.
#[derive(Clone, Debug)]
pub(crate) struct Rejected {
    pub rejection: Rejection,
    pub published: Option<Published>,
}

/// The admission of one gateway.
#[derive(Debug)]
pub(crate) struct Admission {
    loads: Arc<dyn Loads>,
    gate: Mutex<Gate>,
    begin: Instant,
}

impl Admission {
    pub(crate) fn new(loads: Arc<dyn Loads>) -> Self {
        Self {
            loads,
            gate: Mutex::default(),
            begin: Instant::now(),
        }
    }

    /// Whether submissions are subject to admission.
    pub(crate) fn applies(&self, weights: &Weights) -> bool {
        !weights.is_empty() && self.loads.is_enabled()
    }

    /// Decides about a job.
    pub(crate) fn decide(
        &self,
        applicant: &Applicant<'_>,
        job: &Job,
        objective_ms: u64,
    ) -> Result<(), Rejected> {
        let size = Size::of(job, objective_ms);
        let now_ms = millis(self.begin.elapsed());
        let submission = applicant.submission();
        self.with_figures(submission.pool, |gate, figures| {
            match gate.decide(&submission, &size, figures, now_ms) {
                Decision::Accept => None,
                Decision::Reject(rejection) => Some(rejection),
            }
        })
    }

    /// Decides about a job of unknown size: an error if any job would be rejected.
    pub(crate) fn decide_without_size(&self, applicant: &Applicant<'_>) -> Result<(), Rejected> {
        let submission = applicant.submission();
        self.with_figures(submission.pool, |gate, figures| {
            gate.reject_any_size(&submission, figures)
        })
    }

    fn with_figures(
        &self,
        pool: &Name,
        decide: impl FnOnce(&mut Gate, Figures<'_>) -> Option<Rejection>,
    ) -> Result<(), Rejected> {
        let published = self.loads.published(pool);
        let figures = Figures {
            published: published.as_ref().map(|known| gate::Published {
                load: &known.load,
                version: known.version,
                age_ms: millis(known.age),
            }),
            confirmed_ms: self.loads.confirmed_age().map(millis),
        };
        match decide(&mut self.gate.lock(), figures) {
            None => Ok(()),
            Some(rejection) => Err(Rejected {
                rejection,
                published,
            }),
        }
    }
}

/// Value of the outcome label of the counter `admission_decisions`.
pub(crate) fn label(reason: Reason) -> &'static str {
    match reason {
        Reason::Within => "rejected_within",
        Reason::Beyond => "rejected_beyond",
        Reason::Local => "rejected_local",
        Reason::Size => "rejected_size",
    }
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
