//! How often reports are exchanged and how much each may carry, so that control stays in budget.

use std::time::Duration;

/// Bytes a second that a node may spend on the exchange of reports, both directions together.
///
/// The users allow 14 KB a second for control; this leaves 4 KB for the registration, the revision
/// poll, pushes and pulls.
pub const BYTES_PER_SECOND: usize = 10_000;

/// Bytes of one exchange without loads: call, answer and their release, both directions.
///
/// The `cost` tests measure 344 and fail above this.
pub const EXCHANGE_BYTES: usize = 512;

/// Bytes of one load whose instance has been named.
pub const LOAD_BYTES: usize = 8;

/// Most peers with which reports are exchanged every second.
const PEERS_PER_SECOND: u32 = 8;

/// Fewest loads in a report, so that load always spreads in the end.
const MIN_LOADS: usize = 8;

/// The pace for a number of peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Time between two exchanges with the same peer.
    pub interval: Duration,
    /// Most loads in one report; a first name counts as several.
    pub loads: usize,
}

/// The pace with `peers` peers: each exchange costs a fixed part, so more peers means longer
/// intervals, and what the fixed parts leave of the budget is divided over the loads.
pub fn choose(peers: usize) -> Pace {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX).max(1);
    let interval = Duration::from_secs(u64::from(peers.div_ceil(PEERS_PER_SECOND)));
    let seconds = usize::try_from(interval.as_secs()).unwrap_or(usize::MAX);
    let count = usize::try_from(peers).unwrap_or(usize::MAX);
    let per_exchange = BYTES_PER_SECOND.saturating_mul(seconds) / count;
    let left = per_exchange.saturating_sub(EXCHANGE_BYTES);
    Pace {
        interval,
        // Both directions carry loads.
        loads: (left / 2 / LOAD_BYTES).max(MIN_LOADS),
    }
}
