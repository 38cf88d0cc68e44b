//! Whether the owner of a pool works for it.
//!
//! An entry's heartbeats show that the entry is alive, and not that it can work for each pool that it
//! owns: the store may reject calls for some tables or partitions, and a loop may hang. An owner
//! that makes no progress releases its pool.

use crate::{clock::Clock, control::ControlView};
use parking_lot::Mutex;
use primroseroute_cell::Millis;
use std::time::Duration;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

/// Time without progress after which an owner releases its pool: longer than full reads that stand
/// in for a failing change feed take between two successes.
const STALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum age of what an owner knows of its pool's jobs for a round to count as progress: no task
/// starts after that.
pub(crate) const MAX_FEED_AGE: Millis = 3_000;

/// Waits until an owner has made no progress for [`STALL_TIMEOUT`]; returns for how long.
///
/// Only time counts in which the entry's own heartbeats are written without delay: a store that is
/// slow or unavailable for everyone stalls each owner, and no other entry would do better.
pub(crate) async fn wait_for_stall(
    mut progress: watch::Receiver<()>,
    view: &Mutex<ControlView>,
    clock: Clock,
) -> Duration {
    let mut since = Instant::now();
    loop {
        sleep(CHECK_INTERVAL).await;
        let has_progressed = progress.has_changed().unwrap_or(false);
        progress.mark_unchanged();
        if has_progressed || !view.lock().can_judge(clock.now()) {
            since = Instant::now();
        }
        if since.elapsed() >= STALL_TIMEOUT {
            return since.elapsed();
        }
    }
}
