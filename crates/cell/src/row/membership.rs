//! Membership of entries: the presence of all of them, and the set of those that are active.

use super::hash;
use primroseroute_domain::work::Name;
use primroseroute_platform::rows::Place;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Table of the presence of entries.
pub const PRESENCE: &str = "presence";

/// Partitions of presence. All entries write theirs when the system starts; each partition then
/// has a sixteenth of them to process, in half a second at 1,200 entries.
const PRESENCE_PARTS: u64 = 16;

/// Table, partition and key of the active set. It isn't in `control`, since readers of that table's
/// feed have no use for it.
const ACTIVE_SET: &str = "active-set";

/// The partition of an entry's presence.
pub fn presence_part(entry: &str) -> Name {
    (hash(entry) % PRESENCE_PARTS).to_string().into()
}

/// All partitions of presence.
pub fn presence_parts() -> Vec<Name> {
    (0..PRESENCE_PARTS)
        .map(|part| part.to_string().into())
        .collect()
}

/// Location of an entry's presence.
pub fn presence(entry: &str) -> Place {
    Place::new(PRESENCE, &presence_part(entry), entry)
}

/// Location of the active set.
pub fn active_set() -> Place {
    Place::new(ACTIVE_SET, ACTIVE_SET, ACTIVE_SET)
}

/// The presence of an entry, which it writes at its start and then at long intervals.
///
/// Fields that this version doesn't know are ignored, so that a later version may add some.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Number that is new for each start of the process.
    pub incarnation: u64,
    /// Incremented with each write.
    pub beat: u64,
    /// Its processor share in thousandths of a core.
    pub strength: u32,
}

/// The entries that write heartbeats and follow those of each other, as one of them publishes it at
/// short intervals.
///
/// Fields that this version doesn't know are ignored, so that a later version may add some.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveSet {
    /// The entries.
    pub entries: BTreeSet<Name>,
    /// Number of entries that are present, active or not.
    pub present: u64,
    /// Number of active entries that the publisher aims at.
    pub size: u64,
}
