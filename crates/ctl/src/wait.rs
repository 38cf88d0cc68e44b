//! Waits until a change is in effect at every entry.

use primroseroute_client::{Admin, Error};
use primroseroute_domain::change::Seq;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval between requests for the status.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until `seq` is in effect at every registered entry; returns `false` if `limit` passes first.
///
/// A registered entry that does not report counts as not having it, since it may still be running.
pub(crate) async fn until_in_effect(
    admin: &Admin,
    seq: Seq,
    limit: Duration,
) -> Result<bool, Error> {
    let deadline = Instant::now() + limit;
    loop {
        let status = admin.status().await?;
        // An incomplete list may lack an entry that serves with an older version.
        if status.complete && status.entries.iter().all(|entry| entry.seq >= seq) {
            return Ok(true);
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            return Ok(false);
        }
        sleep(POLL_INTERVAL).await;
    }
}
