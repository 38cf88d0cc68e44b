//! Removing an entry that is known to run no more.

use primroseroute_domain::id;
use primroseroute_ledger::{Draft, key};

/// Takes the registration of `name` away, so that no drain waits for it any more.
///
/// The operator vouches that its process does not run: an entry that is only paused or cut off
/// would go on sending by its old view. One that does run registers again with its next heartbeat.
pub fn remove(name: &id::Entry, draft: &mut Draft) {
    draft.delete(key::entry(name), None);
}
