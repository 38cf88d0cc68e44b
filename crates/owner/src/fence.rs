//! The fencing token of an owner's calls to one worker.

use primroseroute_platform::rows::Version;
use std::sync::atomic::{AtomicU64, Ordering};

/// Tokens of one ownership for one worker: the next owner's tokens are higher than all of them.
const TOKENS_PER_OWNERSHIP: u64 = 1 << 20;

/// The token, which rises whenever the worker stops responding, and with each incarnation of it.
///
/// A worker that restarts under its id has seen no token, and would carry out delayed orders that
/// this owner has sent to the previous incarnation. The first call that reaches it carries a higher
/// token than all of those.
#[derive(Debug)]
pub(crate) struct Fence {
    token: AtomicU64,
    /// Start time of the incarnation that responded last, by its own clock; 0 before the first
    /// response.
    incarnation: AtomicU64,
}

impl Fence {
    /// The token for the first incarnation that a pool's owner reaches; `token` is that of its
    /// ownership.
    pub(crate) fn new(token: Version) -> Self {
        Self {
            token: AtomicU64::new(token * TOKENS_PER_OWNERSHIP),
            incarnation: AtomicU64::new(0),
        }
    }

    pub(crate) fn token(&self) -> u64 {
        self.token.load(Ordering::Acquire)
    }

    /// Whether an incarnation of the worker has responded: then the token must not fall, and
    /// another incarnation must be detected.
    pub(crate) fn has_responded(&self) -> bool {
        self.incarnation.load(Ordering::Acquire) != 0
    }

    /// Whether this incarnation responded last.
    pub(crate) fn is_incarnation(&self, incarnation: u64) -> bool {
        self.incarnation.load(Ordering::Acquire) == incarnation
    }

    /// Records the incarnation that responded.
    pub(crate) fn record_incarnation(&self, incarnation: u64) {
        let before = self.incarnation.swap(incarnation, Ordering::AcqRel);
        if before != 0 && before != incarnation {
            self.raise();
        }
    }

    /// Invalidates the orders that were sent so far, from the next call on.
    pub(crate) fn raise(&self) {
        let next =
            |token: u64| Some(token + 1).filter(|next| !next.is_multiple_of(TOKENS_PER_OWNERSHIP));
        let risen = self
            .token
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, next);
        if risen.is_err() {
            log::warn!("fencing tokens for a worker exhausted");
        }
    }
}
