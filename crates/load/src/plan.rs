//! The load plan: what is sent, when and where.

use http::Method;
use primroseroute_domain::id;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Maximum length of a run: longer ones belong in a soak test on a dedicated machine.
pub const MAX_TIME: Duration = Duration::from_secs(120);

/// Maximum number of requests of one run.
pub const MAX_REQUESTS: u64 = 2_000_000;

/// Maximum number of requests in flight: a quarter of the usual limit on open files, since a
/// request uses two sockets in the entry and one in the load generator.
pub const MAX_IN_FLIGHT: usize = 4096;

/// The loop type, which determines when the next request is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Loop {
    /// At precomputed times, at this average rate.
    Open {
        /// Requests per second.
        rate: f64,
    },
    /// When the caller's previous request has ended.
    Closed {
        /// Callers with one request at a time each.
        callers: usize,
    },
}

/// A destination of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// A loopback address.
    pub address: SocketAddr,
    /// Its share of the requests, relative to the other targets.
    pub weight: f64,
}

/// One kind of request in the mix.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// The calling account, under which results are counted.
    pub account: id::Account,
    /// Its bearer token.
    pub token: Arc<str>,
    /// The method.
    pub method: Method,
    /// The path.
    pub path: Arc<str>,
    /// The body.
    pub body: bytes::Bytes,
    /// Whether each request carries a new idempotency key.
    pub keyed: bool,
    /// Its share of the requests, relative to the other profiles.
    pub weight: f64,
}

/// One bounded run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The loop type and its rate or number of callers.
    pub pace: Loop,
    /// Time before the measurement period.
    pub warm_up: Duration,
    /// Length of the measurement period.
    pub measured: Duration,
    /// Requests after which the run ends early.
    pub requests: u64,
    /// Maximum number of requests in flight. In an open loop a further one waits, and the wait
    /// counts as latency.
    pub in_flight: usize,
    /// The destinations of requests.
    pub targets: Vec<Target>,
    /// The mix of requests.
    pub mix: Vec<Profile>,
    /// The caller's timeout, which is also sent with each request.
    pub timeout: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Why a plan is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidPlan {
    /// A target is not on this machine.
    #[error("{0} is not a loopback address")]
    NotLoopback(SocketAddr),
    /// The run is longer than [`MAX_TIME`].
    #[error("run or request timeout is longer than {MAX_TIME:?}")]
    TooLong,
    /// The run has more requests than [`MAX_REQUESTS`], or more in flight than [`MAX_IN_FLIGHT`].
    #[error("run must have 1 to {MAX_REQUESTS} requests and 1 to {MAX_IN_FLIGHT} in flight")]
    TooMany,
    /// There is no target, no profile, or one whose weight is not above zero.
    #[error("plan needs a target and a profile, all with weights above zero")]
    Weights,
    /// The rate is not a number above zero.
    #[error("rate must be a finite number above zero")]
    Rate,
}

impl Plan {
    /// Checks that the plan is within its bounds.
    ///
    /// # Errors
    /// [`InvalidPlan`] with the first violated bound.
    pub fn check(&self) -> Result<(), InvalidPlan> {
        let remote = self
            .targets
            .iter()
            .find(|to| !to.address.ip().is_loopback());
        if let Some(remote) = remote {
            return Err(InvalidPlan::NotLoopback(remote.address));
        }
        if self.warm_up.saturating_add(self.measured) > MAX_TIME || self.timeout > MAX_TIME {
            return Err(InvalidPlan::TooLong);
        }
        let callers = match self.pace {
            Loop::Open { .. } => self.in_flight,
            Loop::Closed { callers } => callers,
        };
        let in_flight_ok = (1..=MAX_IN_FLIGHT).contains(&callers);
        if !in_flight_ok || !(1..=MAX_REQUESTS).contains(&self.requests) {
            return Err(InvalidPlan::TooMany);
        }
        let is_positive = |weight: f64| weight.is_finite() && weight > 0.0;
        let targets = self.targets.iter().map(|target| target.weight);
        let profiles = self.mix.iter().map(|profile| profile.weight);
        let is_empty = self.targets.is_empty() || self.mix.is_empty();
        if is_empty || !targets.chain(profiles).all(is_positive) {
            return Err(InvalidPlan::Weights);
        }
        match self.pace {
            Loop::Open { rate } if !is_positive(rate) => Err(InvalidPlan::Rate),
            Loop::Open { .. } | Loop::Closed { .. } => Ok(()),
        }
    }

    /// Whether `at`, as time since the start, is in the measurement period.
    pub(crate) fn is_measured(&self, at: Duration) -> bool {
        at >= self.warm_up && at < self.warm_up + self.measured
    }
}

/// Draws an index with a probability proportional to its weight.
pub(crate) fn weighted_index(weights: &[f64], random: &mut ChaCha8Rng) -> usize {
    let total: f64 = weights.iter().sum();
    let mut point = random.random::<f64>() * total;
    for (index, weight) in weights.iter().enumerate() {
        point -= weight;
        if point < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}
