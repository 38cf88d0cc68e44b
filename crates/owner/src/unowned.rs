//! Pools and groups of instances that this entry sees without a live owner, and since when.

use log::{info, warn};
use primroseroute_domain::work::Name;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time without an owner after which a line is logged: a takeover after a release takes a few
/// tenths of a second.
const LOGGED_AFTER: Duration = Duration::from_secs(1);

/// What this entry sees without an owner.
#[derive(Debug, Default)]
pub(crate) struct Unowned {
    seen: BTreeMap<Name, Sighting>,
}

#[derive(Debug)]
struct Sighting {
    since: Instant,
    is_logged: bool,
}

impl Unowned {
    /// Records what has no owner now, with the entry that each is assigned to.
    pub(crate) fn record(&mut self, assigned: &BTreeMap<Name, Name>, now: Instant) {
        self.seen.retain(|name, sighting| {
            let unowned = assigned.contains_key(name);
            if !unowned && sighting.is_logged {
                let unowned_ms = millis(now - sighting.since);
                info!(name = &**name, unowned_ms; "pool or group has an owner again");
            }
            unowned
        });
        for (name, entry) in assigned {
            let sighting = self.seen.entry(Name::clone(name)).or_insert(Sighting {
                since: now,
                is_logged: false,
            });
            if !sighting.is_logged && now - sighting.since >= LOGGED_AFTER {
                sighting.is_logged = true;
                let unowned_ms = millis(now - sighting.since);
                warn!(name = &**name, assigned = &**entry, unowned_ms; "pool or group has no owner");
            }
        }
    }

    /// Forgets everything: this entry's view proves nothing at present.
    pub(crate) fn clear(&mut self) {
        self.seen.clear();
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
