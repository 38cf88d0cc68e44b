//! The fencing tokens of an owner's calls to workers.

use primroseroute_cell::Millis;
use primroseroute_domain::work::Name;
use primroseroute_platform::rows::Version;
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

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
    fn new(token: u64) -> Self {
        Self {
            token: AtomicU64::new(token),
            incarnation: AtomicU64::new(0),
        }
    }

    pub(crate) fn token(&self) -> u64 {
        self.token.load(Ordering::Acquire)
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

/// The fence of a worker that is polled, or was a short time ago.
#[derive(Debug)]
struct Tracked {
    fence: Arc<Fence>,
    /// Since when the worker isn't polled; `None` while it is.
    idle_since: Option<Millis>,
}

/// The fences of one ownership.
///
/// A worker refuses calls with a token lower than the highest that it has seen, whether it could
/// answer that call or not. So the token for a worker never falls, also if the worker is forgotten
/// and registers again. Fences are kept while orders that were sent before may still be carried out;
/// after that it is enough that the next fence begins no lower.
#[derive(Debug)]
pub(crate) struct Fences {
    by_worker: BTreeMap<Name, Tracked>,
    /// No token of a dropped fence is higher.
    floor: u64,
    /// Time after which no earlier order is carried out any more.
    late_order_window: Millis,
}

impl Fences {
    /// The fences of an ownership with this token.
    pub(crate) fn new(ownership: Version, late_order_window: Millis) -> Self {
        Self {
            by_worker: BTreeMap::new(),
            floor: ownership * TOKENS_PER_OWNERSHIP,
            late_order_window,
        }
    }

    /// The fence of a worker that is to be polled.
    pub(crate) fn acquire(&mut self, worker: &Name) -> Arc<Fence> {
        let floor = self.floor;
        let tracked = self.by_worker.entry(Name::clone(worker));
        let tracked = tracked.or_insert_with(|| Tracked {
            fence: Arc::new(Fence::new(floor)),
            idle_since: None,
        });
        tracked.idle_since = None;
        Arc::clone(&tracked.fence)
    }

    /// Records that a worker isn't polled any more. Orders that are still on their way to it are
    /// refused once it is polled again.
    pub(crate) fn release(&mut self, worker: &Name, now: Millis) {
        if let Some(tracked) = self.by_worker.get_mut(worker) {
            tracked.fence.raise();
            tracked.idle_since = Some(now);
        }
    }

    /// Drops the fences of workers that haven't been polled for long.
    pub(crate) fn drop_idle(&mut self, now: Millis) {
        let window = self.late_order_window;
        let floor = &mut self.floor;
        self.by_worker.retain(|_worker, tracked| {
            let is_idle = tracked
                .idle_since
                .is_some_and(|since| now >= since + window);
            if is_idle {
                *floor = tracked.fence.token().max(*floor);
            }
            !is_idle
        });
    }
}
