//! The interfaces between an entry and its link.

use crate::report::{ReceivedReport, Report};
use async_trait::async_trait;
use primroseroute_domain::{
    change::{Record, Seq},
    id,
};
use primroseroute_flow as flow;
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr, sync::Arc};

/// One row of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The row's table key.
    pub key: Arc<str>,
    /// The row's content as JSON.
    pub json: Arc<str>,
}

/// Every row whose changes are ordered by the head row, as of one change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The change as of which the rows were read.
    pub seq: Seq,
    /// The rows in key order.
    pub rows: Vec<Row>,
}

/// What an entry has beyond a given seq.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Newer {
    /// Nothing.
    Nothing,
    /// The records that follow, in order and without a gap.
    Records(Vec<Record>),
    /// The full state, because the records that follow are no longer retained.
    Snapshot(Snapshot),
}

/// The address of a peer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Address {
    /// The peer's name; `None` if the address is only known from the settings.
    #[serde(default)]
    pub entry: Option<id::Entry>,
    /// Its peer port.
    pub socket: SocketAddr,
}

/// An entry's report on the slots of one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct SlotReport {
    /// The pool.
    pub pool: id::Pool,
    /// The report of the pool's slot allocator.
    pub report: flow::report::Report,
}

/// Why a peer could not be queried.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// There is no session with that peer, or it ended.
    #[error("peer `{0}` is unreachable")]
    Unreachable(id::Entry),
    /// No peer has a newer view.
    #[error("no reachable peer has a newer view")]
    NothingNewer,
    /// The link is closed.
    #[error("the peer link is closed")]
    Closed,
}

/// An entry's link to the other entries.
///
/// Only [`Link::pull`] and [`Link::close`] wait for a peer.
#[async_trait]
pub trait Link: Send + Sync + fmt::Debug {
    /// Pushes `records`, newly learned from the store or a commit of this entry, to the peers that
    /// are not known to have them. A push that cannot be queued is dropped; the peer pulls the
    /// records after the next exchange.
    fn broadcast(&self, records: Arc<[Record]>);

    /// Sends reports on the slots of busy pools to all peers. Reports that cannot be queued for a
    /// peer are dropped; the slot allocators recover from a lost report with a later one.
    fn send_slot_reports(&self, pools: Arc<[SlotReport]>);

    /// Exchanges reports with all peers immediately, because a drain was applied or completed.
    fn exchange_now(&self);

    /// The latest report of each peer, ordered by name.
    fn latest_reports(&self) -> Vec<ReceivedReport>;

    /// Replaces the set of peers to connect to; sessions with other peers stay open until they end.
    fn set_peers(&self, peers: Vec<Address>);

    /// Pulls from the peer with the newest view, if any is ahead of this entry.
    ///
    /// During start-up, reports may not have been received yet, so an entry without a view retries.
    ///
    /// # Errors
    /// [`Error::NothingNewer`] if no reachable peer is ahead.
    async fn pull(&self) -> Result<Seq, Error>;

    /// Closes all sessions; [`LocalEntry`] is not called after it returns.
    async fn close(&self);
}

/// The entry as its link sees it. Calls are short and never wait for a peer or the store.
pub trait LocalEntry: Send + Sync + fmt::Debug {
    /// The applied seq.
    fn seq(&self) -> Seq;

    /// The records after `seq` up to the applied seq; `None` if they are no longer retained.
    fn records_after(&self, seq: Seq) -> Option<Vec<Record>>;

    /// The full applied view.
    fn snapshot(&self) -> Snapshot;

    /// Applies `records` and returns the applied seq afterwards.
    ///
    /// The records are consecutive, and the first follows a seq that [`LocalEntry::seq`] returned
    /// earlier. The entry may have advanced since and must ignore records that are not newer.
    fn apply_records(&self, records: Vec<Record>) -> Seq;

    /// Applies a snapshot if it is newer and returns the applied seq afterwards.
    fn apply_snapshot(&self, snapshot: Snapshot) -> Seq;

    /// The entry's own report; its number increases with each call.
    fn own_report(&self) -> Report;

    /// Handles a peer's reports on the slots of pools, which may arrive out of order.
    fn receive_slot_reports(&self, peer: &id::Entry, pools: Vec<SlotReport>);

    /// Handles a peer's report, newer than any received from it before.
    fn receive_report(&self, peer: &id::Entry, report: &Report);
}
