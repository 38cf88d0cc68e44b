//! Removes an entry whose process no longer runs.

use primroseroute_domain::id;
use primroseroute_ledger::{Draft, key};

/// Deletes the registration of `name`, so that drains no longer wait for it.
///
/// The operator must make sure that its process is not running: an entry that is only suspended or
/// partitioned would keep sending requests based on its old view. One that does run registers again
/// with its next heartbeat.
pub fn remove(name: &id::Entry, draft: &mut Draft) {
    draft.delete(key::entry(name), None);
}
