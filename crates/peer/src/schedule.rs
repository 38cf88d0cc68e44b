//! How often reports are exchanged and how many loads each may carry, to bound control traffic.

use std::time::Duration;

/// Bytes per second that a node may spend on report exchanges, both directions together.
///
/// The requirement allows 14 KB/s of control traffic; this leaves 4 KB/s for the registration, the
/// revision poll, pushes and pulls.
pub const MAX_BYTES_PER_SECOND: usize = 10_000;

/// Bytes of one exchange without loads: call, response and their release, both directions.
///
/// The `cost` tests see 344 bytes and fail above this limit.
pub const EXCHANGE_BYTES: usize = 512;

/// Bytes of one load whose instance name was sent before.
pub const LOAD_BYTES: usize = 8;

/// Maximum number of peers with which reports are exchanged every second.
const MAX_PEERS_PER_SECOND: u32 = 8;

/// Minimum number of loads in a report, so that every load is eventually sent.
const MIN_LOADS: usize = 8;

/// The exchange schedule for a number of peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeSchedule {
    /// Time between two exchanges with the same peer.
    pub interval: Duration,
    /// Maximum number of loads in one report; an instance name sent for the first time counts as
    /// several.
    pub max_loads: usize,
}

/// The schedule with `peers` peers. Each exchange has a fixed cost, so more peers mean longer
/// intervals; the budget that remains after the fixed costs is divided among the loads.
pub fn for_peers(peers: usize) -> ExchangeSchedule {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX).max(1);
    let interval = Duration::from_secs(u64::from(peers.div_ceil(MAX_PEERS_PER_SECOND)));
    let seconds = usize::try_from(interval.as_secs()).unwrap_or(usize::MAX);
    let count = usize::try_from(peers).unwrap_or(usize::MAX);
    let per_exchange = MAX_BYTES_PER_SECOND.saturating_mul(seconds) / count;
    let remaining = per_exchange.saturating_sub(EXCHANGE_BYTES);
    ExchangeSchedule {
        interval,
        // Both directions carry loads.
        max_loads: (remaining / 2 / LOAD_BYTES).max(MIN_LOADS),
    }
}
