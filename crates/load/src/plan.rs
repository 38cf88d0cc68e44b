//! What is to be sent.

use http::Method;
use primroseroute_domain::id;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Longest run: longer ones belong to a soak test with its own machine.
pub const MAX_TIME: Duration = Duration::from_secs(120);

/// Most requests of one run.
pub const MAX_REQUESTS: u64 = 2_000_000;

/// Most requests in flight: a quarter of the usual limit on open files, since a request holds two
/// sockets on the side of the entry and one here.
pub const MAX_IN_FLIGHT: usize = 4096;

/// When the next request is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Loop {
    /// At times drawn beforehand, at this rate a second on average.
    Open {
        /// Requests a second.
        rate: f64,
    },
    /// When the caller's last one has ended.
    Closed {
        /// Callers with one request at a time each.
        callers: usize,
    },
}

/// Where requests go.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// A loopback address.
    pub address: SocketAddr,
    /// Its part of the requests, relative to the other targets.
    pub weight: f64,
}

/// One kind of request in the mix.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// The account that calls; the outcome is counted under it.
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
    /// Its part of the requests, relative to the other profiles.
    pub weight: f64,
}

/// One bounded run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// When requests are sent.
    pub pace: Loop,
    /// Time before the measured part.
    pub warm_up: Duration,
    /// The measured part.
    pub measured: Duration,
    /// Requests after which the run ends early.
    pub requests: u64,
    /// Requests in flight at most; in an open loop a further one waits, and its wait counts.
    pub in_flight: usize,
    /// Where requests go.
    pub targets: Vec<Target>,
    /// What is sent.
    pub mix: Vec<Profile>,
    /// How long the caller waits, which the request says too.
    pub timeout: Duration,
    /// Everything random is drawn from it.
    pub seed: u64,
}

/// Why a plan is not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// A target is not on this machine.
    #[error("{0} is no loopback address")]
    NotLoopback(SocketAddr),
    /// The run is longer than [`MAX_TIME`].
    #[error("a run takes at most {MAX_TIME:?}")]
    TooLong,
    /// The run has more requests than [`MAX_REQUESTS`], or more in flight than [`MAX_IN_FLIGHT`].
    #[error(
        "a run has at most {MAX_REQUESTS} requests and {MAX_IN_FLIGHT} in flight, and at least one"
    )]
    TooMany,
    /// There is no target, no profile, or one whose weight is not above zero.
    #[error("weights are above zero, and there is a target and a profile")]
    Weights,
    /// The rate is not a number above zero.
    #[error("the rate is a number above zero")]
    Rate,
}

impl Plan {
    /// Whether the plan is within its bounds.
    ///
    /// # Errors
    /// [`Invalid`] with the first bound that does not hold.
    pub fn check(&self) -> Result<(), Invalid> {
        let far = self
            .targets
            .iter()
            .find(|to| !to.address.ip().is_loopback());
        if let Some(far) = far {
            return Err(Invalid::NotLoopback(far.address));
        }
        if self.warm_up.saturating_add(self.measured) > MAX_TIME || self.timeout > MAX_TIME {
            return Err(Invalid::TooLong);
        }
        let callers = match self.pace {
            Loop::Open { .. } => self.in_flight,
            Loop::Closed { callers } => callers,
        };
        let few = (1..=MAX_IN_FLIGHT).contains(&callers);
        if !few || !(1..=MAX_REQUESTS).contains(&self.requests) {
            return Err(Invalid::TooMany);
        }
        let above_zero = |weight: f64| weight.is_finite() && weight > 0.0;
        let targets = self.targets.iter().map(|target| target.weight);
        let profiles = self.mix.iter().map(|profile| profile.weight);
        let is_empty = self.targets.is_empty() || self.mix.is_empty();
        if is_empty || !targets.chain(profiles).all(above_zero) {
            return Err(Invalid::Weights);
        }
        match self.pace {
            Loop::Open { rate } if !above_zero(rate) => Err(Invalid::Rate),
            Loop::Open { .. } | Loop::Closed { .. } => Ok(()),
        }
    }

    /// Whether `at`, as time since the start, is in the measured part.
    pub(crate) fn measures(&self, at: Duration) -> bool {
        at >= self.warm_up && at < self.warm_up + self.measured
    }
}

/// Draws an index by weight.
pub(crate) fn draw(weights: &[f64], random: &mut ChaCha8Rng) -> usize {
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
