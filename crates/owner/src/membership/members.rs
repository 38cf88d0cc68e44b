//! Which entries are alive, by the monotonic clock of the observing entry.

use primroseroute_cell::{Millis, row::Member};
use primroseroute_domain::work::Name;
use std::collections::BTreeMap;

/// Time without a heartbeat after which an entry counts as dead: three heartbeats and the delay of
/// a slow store. If it were shorter, a stall of a second would move pools; if it were longer, the
/// work of a dead owner would wait longer than leases allow.
pub const FAILURE_TIMEOUT: Millis = 2_200;

/// The entries, as the change feed shows them.
#[derive(Clone, Debug, Default)]
pub struct Members {
    known: BTreeMap<Name, LastHeartbeat>,
    /// Maximum age of what is seen of them, in milliseconds.
    lag: Millis,
}

#[derive(Clone, Debug)]
struct LastHeartbeat {
    member: Member,
    at: Millis,
    /// Whether the entry was found dead: only a new heartbeat shows it alive again.
    is_dead: bool,
    /// Whether `at` is when a heartbeat was seen to follow another: the first one that is read may
    /// be old.
    is_confirmed: bool,
}

impl Members {
    /// Records a heartbeat, or the removal of an entry.
    pub fn record(&mut self, entry: Name, member: Option<Member>, now: Millis) {
        let Some(member) = member else {
            self.known.remove(&entry);
            return;
        };
        let known = self.known.get(&entry);
        if known.is_some_and(|seen| seen.member == member) {
            return;
        }
        let seen = LastHeartbeat {
            member,
            at: now,
            is_dead: false,
            is_confirmed: known.is_some(),
        };
        self.known.insert(entry, seen);
    }

    /// Records which entries are dead; to be called while missing heartbeats prove something.
    pub fn record_dead(&mut self, now: Millis) {
        let lag = self.lag;
        for seen in self.known.values_mut() {
            seen.is_dead |= now >= seen.at + FAILURE_TIMEOUT + lag;
        }
    }

    /// Records that heartbeats could not be seen until `now`. Missing ones up to then prove
    /// nothing: otherwise an entry that comes back from a partition would take all the others for
    /// dead. Those that were found dead before remain so.
    pub fn restart_timeouts(&mut self, now: Millis) {
        for seen in self.known.values_mut().filter(|seen| !seen.is_dead) {
            seen.at = now;
            seen.is_confirmed = false;
        }
    }

    /// Records that heartbeats are seen up to `lag` milliseconds late: entries are allowed that
    /// much longer.
    pub fn set_lag(&mut self, lag: Millis) {
        self.lag = lag;
    }

    /// Whether this incarnation of an entry is alive.
    pub fn is_alive(&self, entry: &Name, incarnation: u64, now: Millis) -> bool {
        let seen = self.known.get(entry);
        seen.is_some_and(|seen| seen.member.incarnation == incarnation && self.is_fresh(seen, now))
    }

    /// The entries that can take pools over, with their strengths.
    pub fn eligible(&self, now: Millis) -> BTreeMap<Name, u32> {
        self.strengths(|seen| self.is_fresh(seen, now) && !seen.member.leaving)
    }

    /// The entries that can take pools over and have written a heartbeat since timeouts were last
    /// restarted, with their strengths: nothing is released to one that only may be alive.
    pub fn confirmed(&self, now: Millis) -> BTreeMap<Name, u32> {
        self.strengths(|seen| seen.is_confirmed && self.is_fresh(seen, now) && !seen.member.leaving)
    }

    /// The entries that could take pools over at some time within the last `window` milliseconds,
    /// with their strengths.
    pub fn recently_eligible(&self, now: Millis, window: Millis) -> BTreeMap<Name, u32> {
        self.strengths(|seen| now < seen.at + FAILURE_TIMEOUT + self.lag + window)
    }

    fn strengths(&self, matches: impl Fn(&LastHeartbeat) -> bool) -> BTreeMap<Name, u32> {
        let matching = self.known.iter().filter(|(_entry, seen)| matches(seen));
        matching
            .map(|(entry, seen)| (Name::clone(entry), seen.member.strength))
            .collect()
    }

    fn is_fresh(&self, seen: &LastHeartbeat, now: Millis) -> bool {
        !seen.is_dead && now < seen.at + FAILURE_TIMEOUT + self.lag
    }
}
