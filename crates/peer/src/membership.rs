//! Which entries are live, unresponsive or terminated, and what an entry with an outdated view may
//! do.
//!
//! # An unresponsive entry is never assumed to be terminated
//!
//! An unresponsive entry may be suspended or partitioned and still send callers' requests according
//! to an old view. If missing reports alone removed it from the set of entries that must acknowledge,
//! an instance would move while that entry still sends it the old pool's requests. Only the platform
//! can state that a process no longer runs, and only an operator can confirm it where the platform
//! does not; until then its missing acknowledgement blocks moves but never serving.

use primroseroute_domain::{change::Seq, id, time::Instant};
use primroseroute_platform::fleet::Phase;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use uuid::Uuid;

/// The row `entry/<name>`, in which an entry publishes its addresses and the seq of its view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Registration {
    /// The entry's name, which is also the name of its instance in the platform's list.
    pub name: id::Entry,
    /// The incarnation of its process.
    pub incarnation: Uuid,
    /// Address of its peer port.
    pub peer: SocketAddr,
    /// Address of its admin port.
    pub admin: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its region; `None` if there is only one.
    #[serde(default)]
    pub region: Option<Arc<str>>,
    /// The newest change that it acknowledges in this row.
    pub acked: Seq,
    /// When the row was written, by the entry's clock; for display only, never used for ordering.
    pub heartbeat: Instant,
}

/// Time limits of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Limits {
    /// A peer whose last report is newer than this is live; spans several exchange intervals.
    pub silent_after: Duration,
    /// A view that the store confirmed within this time is current.
    pub confirmed_within: Duration,
    /// Minimum time between two writes of the registration row for new seqs.
    pub batch: Duration,
    /// Maximum time between two writes of the registration row.
    pub heartbeat: Duration,
}

impl Default for Limits {
    /// 13 s is three exchange intervals at 28 entries plus a call timeout; 3 s is three revision
    /// polls; a write every 15 s is 1.9 writes per second at 28 entries.
    fn default() -> Self {
        Self {
            silent_after: Duration::from_secs(13),
            confirmed_within: Duration::from_secs(3),
            batch: Duration::from_secs(2),
            heartbeat: Duration::from_secs(15),
        }
    }
}

/// What is known about a registered entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Evidence {
    /// Time since its last report; `None` if its current incarnation has sent none.
    pub heard: Option<Duration>,
    /// Its phase in the platform's list; `None` if it is not listed, which proves nothing because
    /// the list lags and a new instance may be missing.
    pub phase: Option<Phase>,
    /// Whether an operator removed its registration.
    pub removed: bool,
}

/// Whether the acknowledgement of a registered entry is required.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// It sends reports.
    Live,
    /// It sends no reports but may still be running, so its acknowledgement is required.
    Silent,
    /// It has terminated, so its acknowledgement is not required.
    Gone,
}

impl Liveness {
    /// Whether a drain must wait for the entry's acknowledgement.
    pub fn must_acknowledge(self) -> bool {
        self != Self::Gone
    }
}

/// Derives the liveness of an entry from the evidence.
pub fn liveness(evidence: Evidence, limits: &Limits) -> Liveness {
    if evidence.removed || evidence.phase == Some(Phase::Gone) {
        return Liveness::Gone;
    }
    match evidence.heard {
        Some(age) if age < limits.silent_after => Liveness::Live,
        _ => Liveness::Silent,
    }
}

/// A live peer's view, from its latest report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct PeerView {
    /// Its name.
    pub entry: id::Entry,
    /// Its applied seq.
    pub seq: Seq,
}

/// How current an entry's view is known to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ViewState {
    /// No newer change is known, and the store confirmed the view recently.
    Current,
    /// This peer has a newer view, to be pulled.
    Behind(id::Entry),
    /// The store does not respond and no peer has a newer view.
    Unconfirmed,
    /// Neither the store nor any peer responds, so others may have a newer view.
    Alone,
    /// There is no view yet.
    Empty,
}

impl ViewState {
    /// Whether callers' requests may be served. An outdated view is served: refusing requests would
    /// turn every store outage into a service outage.
    pub fn may_serve(&self) -> bool {
        *self != Self::Empty
    }

    /// Whether drains may be acknowledged.
    ///
    /// An isolated entry cannot know whether the drain that it has applied was revoked and ordered
    /// again with another meaning; a late acknowledgement from it, which reaches the others once
    /// the partition heals, must not release an instance.
    pub fn may_acknowledge(&self) -> bool {
        matches!(self, Self::Current | Self::Unconfirmed)
    }

    /// Whether the entry may act as the controller, which requires the store in any case.
    pub fn may_control(&self) -> bool {
        *self == Self::Current
    }
}

/// Determines the state of a view at `seq`, confirmed by the store `confirmed` ago, given the
/// `live` peers. Pulls go to the peer that is furthest ahead; ties are resolved by the lowest name.
pub fn view_state(
    seq: Seq,
    confirmed: Option<Duration>,
    live: &[PeerView],
    limits: &Limits,
) -> ViewState {
    let ahead = live.iter().filter(|peer| peer.seq > seq);
    let best = ahead.max_by(|a, b| a.seq.cmp(&b.seq).then_with(|| b.entry.cmp(&a.entry)));
    if let Some(peer) = best {
        return ViewState::Behind(peer.entry.clone());
    }
    let fresh = confirmed.is_some_and(|age| age <= limits.confirmed_within);
    match (fresh, seq, live.is_empty()) {
        (true, _, _) => ViewState::Current,
        (false, Seq(0), _) => ViewState::Empty,
        (false, _, true) => ViewState::Alone,
        (false, _, false) => ViewState::Unconfirmed,
    }
}

/// Reason for writing the registration row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteReason {
    /// The process started.
    Start,
    /// Changes were applied since the last write.
    Acked,
    /// The heartbeat interval has elapsed since the last write.
    Heartbeat,
}

/// The last write of the registration row that the store confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LastWrite {
    /// Time of the write, since the start of the process.
    pub at: Duration,
    /// The seq that the write acknowledged.
    pub acked: Seq,
}

/// Whether the registration row is due to be written at `now`, with `seq` applied, and why.
///
/// Changes within [`Limits::batch`] share one write, and each write is also a heartbeat, so a burst
/// of changes costs one write per batch interval and an idle entry one per heartbeat interval.
pub fn write_due(
    last: Option<LastWrite>,
    seq: Seq,
    now: Duration,
    limits: &Limits,
) -> Option<WriteReason> {
    let Some(last) = last else {
        return Some(WriteReason::Start);
    };
    let since = now.saturating_sub(last.at);
    if seq > last.acked && since >= limits.batch {
        return Some(WriteReason::Acked);
    }
    (since >= limits.heartbeat).then_some(WriteReason::Heartbeat)
}
