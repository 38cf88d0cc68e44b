//! Which entries are live, silent or gone, and what an entry does whose view is old.
//!
//! # Why silence never means gone
//!
//! A silent entry may be paused or cut off and still send callers' requests by an old view. If
//! silence alone ended its say, an instance would move while that entry still sends it the old
//! pool's requests. Only the platform can say that a process no longer runs, and only an operator
//! can vouch for it where the platform does not; until then its missing acknowledgement stops moves
//! and never serving.

use primroseroute_domain::{change::Seq, id, time::Instant};
use primroseroute_platform::fleet::Phase;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use uuid::Uuid;

/// The row `entry/<name>`: an entry says that it runs, where, and how far its view is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Registration {
    /// The entry's name, which is its instance's in the platform's list.
    pub name: id::Entry,
    /// The run of its process.
    pub incarnation: Uuid,
    /// Where its peer port listens.
    pub peer: SocketAddr,
    /// Where its admin port listens.
    pub admin: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its region; none where there is but one.
    #[serde(default)]
    pub region: Option<Arc<str>>,
    /// The newest change that it acknowledged in this row.
    pub acked: Seq,
    /// When the row was written, by the entry's clock; orders nothing, tells people.
    pub heartbeat: Instant,
}

/// Times of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Limits {
    /// A peer that was heard within this time is live. Several exchanges must fail before it ends.
    pub silent_after: Duration,
    /// A view that the store confirmed within this time counts as current.
    pub confirmed_within: Duration,
    /// Least time between two writes of the registration row for new seqs.
    pub batch: Duration,
    /// Longest time between two writes of the registration row.
    pub heartbeat: Duration,
}

impl Default for Limits {
    /// 13 s are three exchange intervals at 28 entries and a call deadline; 3 s are three revision
    /// polls; a write each 15 s is 1.9 writes a second at 28 entries.
    fn default() -> Self {
        Self {
            silent_after: Duration::from_secs(13),
            confirmed_within: Duration::from_secs(3),
            batch: Duration::from_secs(2),
            heartbeat: Duration::from_secs(15),
        }
    }
}

/// What is known of a registered entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Evidence {
    /// Time since its last report; none if none came in its present incarnation.
    pub heard: Option<Duration>,
    /// What the platform's list says; none where the list does not have it, which proves nothing,
    /// since the list lags and a new instance may be missing.
    pub phase: Option<Phase>,
    /// Whether an operator removed it from the registered entries.
    pub removed: bool,
}

/// Whether a registered entry still has a say.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It reports.
    Live,
    /// It does not report, and may still run: its acknowledgement is waited for.
    Silent,
    /// It runs no more: nothing is waited for.
    Gone,
}

impl Standing {
    /// Whether a drain must wait for the entry's acknowledgement.
    pub fn must_acknowledge(self) -> bool {
        self != Self::Gone
    }
}

/// The standing that the evidence proves.
pub fn standing(evidence: Evidence, limits: &Limits) -> Standing {
    if evidence.removed || evidence.phase == Some(Phase::Gone) {
        return Standing::Gone;
    }
    match evidence.heard {
        Some(age) if age < limits.silent_after => Standing::Live,
        _ => Standing::Silent,
    }
}

/// A live peer's view, from its latest report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Peer {
    /// Its name.
    pub entry: id::Entry,
    /// The seq in force there.
    pub seq: Seq,
}

/// The state of an entry's view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Footing {
    /// No newer change is known, and the store confirmed it a moment ago.
    Current,
    /// A peer has a newer view: pull from it.
    Behind(id::Entry),
    /// The store is silent and no peer has a newer view: go on with this one.
    Unconfirmed,
    /// The store and all peers are silent: others may have moved on unseen.
    Alone,
    /// There is no view yet.
    Empty,
}

impl Footing {
    /// Whether callers' requests may be served. An old view serves: refusing would turn every loss
    /// of the store into a loss of service.
    pub fn serves(&self) -> bool {
        *self != Self::Empty
    }

    /// Whether drains may be acknowledged.
    ///
    /// An entry that is alone cannot know whether the drain that it has in force was taken back and
    /// given again with another meaning; a late acknowledgement from it, which reaches the others
    /// once the cut heals, must not free an instance.
    pub fn acknowledges(&self) -> bool {
        matches!(self, Self::Current | Self::Unconfirmed)
    }

    /// Whether control work may go on; it needs the store in any case.
    pub fn controls(&self) -> bool {
        *self == Self::Current
    }
}

/// The footing of an entry with `seq` in force, confirmed by the store `confirmed` ago, among
/// `live` peers. Pulls go to the peer that is furthest ahead, the first by name of several.
pub fn footing(seq: Seq, confirmed: Option<Duration>, live: &[Peer], limits: &Limits) -> Footing {
    let ahead = live.iter().filter(|peer| peer.seq > seq);
    let best = ahead.max_by(|a, b| a.seq.cmp(&b.seq).then_with(|| b.entry.cmp(&a.entry)));
    if let Some(peer) = best {
        return Footing::Behind(peer.entry.clone());
    }
    let fresh = confirmed.is_some_and(|age| age <= limits.confirmed_within);
    match (fresh, seq, live.is_empty()) {
        (true, _, _) => Footing::Current,
        (false, Seq(0), _) => Footing::Empty,
        (false, _, true) => Footing::Alone,
        (false, _, false) => Footing::Unconfirmed,
    }
}

/// Why the registration row is to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The process started.
    Start,
    /// Changes came into force since the last write.
    Acked,
    /// Nothing was written for long.
    Heartbeat,
}

/// The last write of the registration row that the store confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Written {
    /// When, since the start of the process.
    pub at: Duration,
    /// The seq that it acknowledged.
    pub acked: Seq,
}

/// Whether to write the registration row at `now`, with `seq` in force, and why.
///
/// Changes within [`Limits::batch`] share one write, and each write is a heartbeat, so a burst of
/// changes costs one write a batch and a quiet entry one a heartbeat.
pub fn due(last: Option<Written>, seq: Seq, now: Duration, limits: &Limits) -> Option<Cause> {
    let Some(last) = last else {
        return Some(Cause::Start);
    };
    let since = now.saturating_sub(last.at);
    if seq > last.acked && since >= limits.batch {
        return Some(Cause::Acked);
    }
    (since >= limits.heartbeat).then_some(Cause::Heartbeat)
}
