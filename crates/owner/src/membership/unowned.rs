//! Pools and groups of instances that this entry sees without a live owner, since when, and which
//! entries don't take them over.

use log::{info, warn};
use primroseroute_domain::work::Name;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Time without an owner after which a line is logged.
const LOGGED_AFTER: Duration = Duration::from_secs(1);

/// Time for which a pool or a group stays assigned to an entry that doesn't take it over. An entry
/// may heartbeat and still not act: its change feed fails, its own heartbeats are late, or the store
/// rejects its takeover.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_millis(750);

/// Time for which nothing is assigned to an entry that has let an assignment pass, unless it takes
/// something over.
const PASSED_OVER_TIME: Duration = Duration::from_secs(15);

/// What this entry sees without an owner.
#[derive(Debug, Default)]
pub(crate) struct Unowned {
    seen: BTreeMap<Name, Sighting>,
    /// Entries that have let an assignment pass, and when.
    passed_over: BTreeMap<Name, Instant>,
}

#[derive(Debug)]
struct Sighting {
    since: Instant,
    /// The entry that it is assigned to, and since when.
    assigned: (Name, Instant),
    is_logged: bool,
}

impl Unowned {
    /// The entries to which nothing is assigned at present.
    pub(crate) fn passed_over(&mut self, now: Instant) -> BTreeSet<Name> {
        self.passed_over
            .retain(|_entry, at| now - *at < PASSED_OVER_TIME);
        self.passed_over.keys().map(Name::clone).collect()
    }

    /// Records what has no owner now, with the entry that each is assigned to; `owner` tells the
    /// owner of what has one again.
    pub(crate) fn record(
        &mut self,
        assigned: &BTreeMap<Name, Name>,
        owner: impl Fn(&Name) -> Option<Name>,
        now: Instant,
    ) {
        let passed_over = &mut self.passed_over;
        self.seen.retain(|name, sighting| {
            let is_unowned = assigned.contains_key(name);
            if !is_unowned && let Some(owner) = owner(name) {
                passed_over.remove(&owner);
                if sighting.is_logged {
                    let unowned_ms = millis(now - sighting.since);
                    info!(name = &**name, unowned_ms; "pool or group has an owner again");
                }
            }
            is_unowned
        });
        for (name, entry) in assigned {
            let sighting = self.seen.entry(Name::clone(name)).or_insert(Sighting {
                since: now,
                assigned: (Name::clone(entry), now),
                is_logged: false,
            });
            if sighting.assigned.0 != *entry {
                sighting.assigned = (Name::clone(entry), now);
            }
            let assigned_for = now - sighting.assigned.1;
            if assigned_for >= ASSIGNMENT_TIMEOUT
                && passed_over.insert(Name::clone(entry), now).is_none()
            {
                info!(name = &**name, entry = &**entry, assigned_ms = millis(assigned_for); "entry passed over: it doesn't take over what is assigned to it");
            }
            if !sighting.is_logged && now - sighting.since >= LOGGED_AFTER {
                sighting.is_logged = true;
                let unowned_ms = millis(now - sighting.since);
                warn!(name = &**name, assigned = &**entry, unowned_ms; "pool or group has no owner");
            }
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
