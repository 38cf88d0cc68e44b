//! Which entries are alive, by the steady clock of the one who watches.

use primroseroute_cell::{Millis, row::Member};
use primroseroute_domain::work::Name;
use std::collections::BTreeMap;

/// Time without a heartbeat after which an entry counts as dead: three heartbeats and the delay of
/// a slow store. Shorter, and a stall of a second moves pools; longer, and the work of a dead
/// owner waits longer than leases allow.
pub const DEAD_AFTER: Millis = 2_200;

/// The entries, as the feed shows them.
#[derive(Clone, Debug, Default)]
pub struct Members {
    known: BTreeMap<Name, Seen>,
    /// How old what is seen of them may be, in milliseconds.
    lag: Millis,
}

#[derive(Clone, Debug)]
struct Seen {
    member: Member,
    at: Millis,
}

impl Members {
    /// Takes in a heartbeat, or the end of an entry.
    pub fn heard(&mut self, entry: Name, member: Option<Member>, now: Millis) {
        let Some(member) = member else {
            self.known.remove(&entry);
            return;
        };
        let repeated = self
            .known
            .get(&entry)
            .is_some_and(|seen| seen.member == member);
        if !repeated {
            self.known.insert(entry, Seen { member, at: now });
        }
    }

    /// Takes in that heartbeats could not be seen until `now`. Silence up to then proves nothing:
    /// otherwise an entry that comes back from a cut would take all the others for dead.
    pub fn blind_until(&mut self, now: Millis) {
        for seen in self.known.values_mut() {
            seen.at = now;
        }
    }

    /// Takes in that heartbeats are seen up to `lag` milliseconds late: an entry is given that much longer.
    pub fn seen_late(&mut self, lag: Millis) {
        self.lag = lag;
    }

    /// Whether this incarnation of an entry is alive.
    pub fn is_alive(&self, entry: &Name, incarnation: u64, now: Millis) -> bool {
        let seen = self.known.get(entry);
        seen.is_some_and(|seen| seen.member.incarnation == incarnation && self.is_fresh(seen, now))
    }

    /// The entries that can take pools over, with their strengths.
    pub fn able(&self, now: Millis) -> BTreeMap<Name, u32> {
        let able = self.known.iter();
        let able = able.filter(|(_entry, seen)| self.is_fresh(seen, now) && !seen.member.leaving);
        able.map(|(entry, seen)| (Name::clone(entry), seen.member.strength))
            .collect()
    }

    fn is_fresh(&self, seen: &Seen, now: Millis) -> bool {
        now < seen.at + DEAD_AFTER + self.lag
    }
}
