//! Who is active: the choice that one active entry publishes, and what another entry concludes from
//! the published set.

use super::elect;
use primroseroute_cell::{
    Millis,
    row::{self, ActiveSet, Presence},
};
use primroseroute_domain::work::Name;
use primroseroute_platform::rows::Version;
use std::collections::{BTreeMap, BTreeSet};

/// Time without a new presence after which an entry counts as gone: two intervals of presence and a
/// store that is slow.
const PRESENCE_TIMEOUT: Millis = 50_000;

/// Time within which an entry that is named must write a heartbeat: the interval at which passive
/// entries read the set, and a few calls.
const ACTIVATION_TIMEOUT: Millis = 7_000;

/// Time for which an entry that didn't become active isn't named again.
const UNRESPONSIVE_TIME: Millis = 60_000;

/// Part of the active entries that are chosen without regard to their strength: if all strong
/// entries are lost at once, these notice it as soon as any active entry would.
const SPREAD_PART: usize = 4;

/// Time for which the set must stay the same for its publishers to count as lost. Four entries
/// publish it in turn, the last of them after five seconds; a passive entry that acted sooner would
/// act in vain.
const SILENCE: Millis = 7_000;

/// Minimum number of reads that show the same set for its publishers to count as lost.
const SILENT_READS: u32 = 3;

/// Number of entries of one partition of presence that become active if nobody publishes the set;
/// doubles with each attempt.
const FIRST_VOLUNTEERS: usize = 4;

/// Maximum number of active entries that are no candidates.
const MAX_RESERVE: usize = 32;

/// Number of active entries: the candidates, and as many again to replace these, up to a bound.
pub fn size(pools_and_groups: usize) -> usize {
    let candidates = elect::candidate_count(pools_and_groups);
    candidates + candidates.min(MAX_RESERVE)
}

/// Of the entries that are `present`, those that are to be active.
pub fn select(present: &BTreeMap<Name, u32>, size: usize) -> BTreeSet<Name> {
    let mut chosen = elect::ranked(present);
    let strongest = size - size / SPREAD_PART;
    let mut others = chosen.split_off(strongest.min(chosen.len()));
    others.sort_by_key(|entry| row::hash(entry));
    let all = chosen.into_iter().chain(others);
    all.take(size).map(Name::clone).collect()
}

/// The presence of an entry as it was last read.
#[derive(Clone, Debug)]
struct Seen {
    presence: Presence,
    /// When it was first read.
    at: Millis,
}

/// What a publisher of the active set knows of all entries.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    present: BTreeMap<Name, Seen>,
    /// Entries that are named and haven't written a heartbeat, and since when.
    named: BTreeMap<Name, Millis>,
    /// Entries that were named in vain, and when they were given up.
    unresponsive: BTreeMap<Name, Millis>,
}

impl Publisher {
    /// Records the presence of all entries as it was read.
    pub fn record_presence(&mut self, read: BTreeMap<Name, Presence>, now: Millis) {
        let before = std::mem::take(&mut self.present);
        let merged = read.into_iter().map(|(entry, presence)| {
            let known = before
                .get(&entry)
                .filter(|known| known.presence == presence);
            let at = known.map_or(now, |known| known.at);
            (entry, Seen { presence, at })
        });
        self.present = merged.collect();
    }

    /// The set to publish; `active` are the entries that write heartbeats, with their strengths.
    pub fn publish(&mut self, active: &BTreeMap<Name, u32>, size: usize, now: Millis) -> ActiveSet {
        self.give_up_unresponsive(active, now);
        let alive = self.present.iter();
        let alive = alive.filter(|(_entry, seen)| now < seen.at + PRESENCE_TIMEOUT);
        let mut present: BTreeMap<Name, u32> = alive
            .map(|(entry, seen)| (Name::clone(entry), seen.presence.strength))
            .collect();
        present.extend(
            active
                .iter()
                .map(|(entry, strength)| (Name::clone(entry), *strength)),
        );
        let count = present.len() as u64;
        present.retain(|entry, _strength| !self.unresponsive.contains_key(entry));
        let entries = select(&present, size);
        self.named.retain(|entry, _since| entries.contains(entry));
        for entry in entries.iter().filter(|entry| !active.contains_key(*entry)) {
            self.named.entry(Name::clone(entry)).or_insert(now);
        }
        ActiveSet {
            entries,
            present: count,
            size: size as u64,
        }
    }

    fn give_up_unresponsive(&mut self, active: &BTreeMap<Name, u32>, now: Millis) {
        self.named
            .retain(|entry, _since| !active.contains_key(entry));
        self.unresponsive
            .retain(|entry, at| !active.contains_key(entry) && now < *at + UNRESPONSIVE_TIME);
        let late = self.named.iter();
        let late = late.filter(|(_entry, since)| now >= **since + ACTIVATION_TIMEOUT);
        let late: Vec<Name> = late.map(|(entry, _since)| Name::clone(entry)).collect();
        for entry in late {
            self.named.remove(&entry);
            self.unresponsive.insert(entry, now);
        }
    }
}

/// What an entry concludes from the published set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is to be active.
    Active,
    /// Others are.
    Passive,
    /// The set shows nothing yet: it may be of entries that are lost.
    Unknown,
    /// Nobody publishes the set: some of the entries have to become active by themselves.
    Unpublished,
}

/// The published set as an entry has read it.
#[derive(Clone, Debug)]
pub struct Observed {
    entry: Name,
    known: Option<(ActiveSet, Version)>,
    /// When the read ended that first showed the known version.
    since: Millis,
    /// Reads that showed it again.
    repeated: u32,
    /// Attempts to become active without being named.
    attempts: u32,
}

impl Observed {
    /// An entry that hasn't read the set.
    pub fn new(entry: Name) -> Self {
        Self {
            entry,
            known: None,
            since: 0,
            repeated: 0,
            attempts: 0,
        }
    }

    /// Records a read that was sent at `sent_at`.
    pub fn record(
        &mut self,
        read: Option<(ActiveSet, Version)>,
        sent_at: Millis,
        now: Millis,
    ) -> Standing {
        let Some((set, version)) = read else {
            self.known = None;
            return Standing::Unpublished;
        };
        let is_active = set.entries.contains(&self.entry) || set.present < set.size;
        match &self.known {
            Some((_set, known)) if *known == version => self.repeated += 1,
            before => {
                // The first set that is read may be old.
                if before.is_some() {
                    self.attempts = 0;
                }
                self.since = now;
                self.repeated = 0;
            }
        }
        let is_first = self.known.is_none();
        self.known = Some((set, version));
        if is_active {
            Standing::Active
        } else if self.repeated >= SILENT_READS && sent_at >= self.since + SILENCE {
            Standing::Unpublished
        } else if is_first || self.repeated > 0 {
            Standing::Unknown
        } else {
            Standing::Passive
        }
    }

    /// Records that a read failed: the set may have changed meanwhile.
    pub fn record_failure(&mut self, now: Millis) {
        self.since = now;
        self.repeated = 0;
    }

    /// Whether any set was read or published.
    pub fn is_known(&self) -> bool {
        self.known.is_some()
    }

    /// How long the set has stayed the same, as far as reads show it.
    pub fn unchanged_for(&self, now: Millis) -> Millis {
        now.saturating_sub(self.since)
    }

    /// Records a set that this entry has published.
    pub fn record_own(&mut self, set: ActiveSet, version: Version, now: Millis) {
        self.known = Some((set, version));
        self.since = now;
        self.repeated = 0;
    }

    /// Whether this entry becomes active while nobody publishes the set; `partition` is the presence
    /// in its own partition.
    ///
    /// The entries of a partition rank themselves alike. Those that are named count as lost.
    pub fn volunteers(&mut self, partition: &BTreeMap<Name, u32>) -> bool {
        let mut others = partition.clone();
        if let Some((set, _version)) = &self.known {
            others.retain(|entry, _strength| !set.entries.contains(entry));
        }
        let count = FIRST_VOLUNTEERS << self.attempts.min(16);
        self.attempts += 1;
        let mut first = elect::ranked(&others).into_iter().take(count);
        first.any(|entry| *entry == self.entry)
    }
}
