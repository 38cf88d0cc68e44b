//! Pauses between tries to reach a peer.

use std::time::Duration;

/// Longest doubling: 2^6 first pauses, past which `longest` always decides.
const MAX_DOUBLINGS: u32 = 6;

/// The pause after `failures` failed tries in a row: doubling, at most `longest`, with half jitter.
///
/// `unit` is uniform over 0 to 1. Without jitter, all entries that a healed cut or a restarted peer
/// sets off would dial it in the same moment, again and again.
pub fn pause(first: Duration, longest: Duration, failures: u32, unit: f64) -> Duration {
    let doubled = first.saturating_mul(1 << failures.min(MAX_DOUBLINGS));
    doubled
        .min(longest)
        .mul_f64(0.5 + unit.clamp(0.0, 1.0) / 2.0)
}
