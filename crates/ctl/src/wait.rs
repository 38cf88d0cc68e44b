//! Waiting until a change is in force everywhere.

use primroseroute_client::{Admin, Error};
use primroseroute_domain::change::Seq;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often the status is asked for.
const LOOK: Duration = Duration::from_millis(200);

/// Waits until every registered entry has `seq` in force; says whether that came in time.
///
/// A registered entry that is not heard counts as not having it: it may still run.
pub(crate) async fn in_force(admin: &Admin, seq: Seq, limit: Duration) -> Result<bool, Error> {
    let give_up = Instant::now() + limit;
    loop {
        let status = admin.status().await?;
        // An incomplete list may lack an entry that serves by an older version.
        if status.complete && status.entries.iter().all(|entry| entry.seq >= seq) {
            return Ok(true);
        }
        if Instant::now() + LOOK >= give_up {
            return Ok(false);
        }
        sleep(LOOK).await;
    }
}
