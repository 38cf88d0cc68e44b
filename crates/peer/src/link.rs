//! The traits between an entry and its link.

use crate::report::{Report, Sighting};
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
    /// The row's JSON.
    pub json: Arc<str>,
}

/// Every row that the head orders, as of one change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The change as of which the rows were read.
    pub seq: Seq,
    /// The rows in key order.
    pub rows: Vec<Row>,
}

/// What an entry has beyond a seq.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Newer {
    /// Nothing.
    Nothing,
    /// The records that follow, in order and without a gap.
    Records(Vec<Record>),
    /// Everything, because the records that follow are no longer kept.
    Snapshot(Snapshot),
}

/// Where a peer listens.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Address {
    /// The peer's name; none where only the settings name the address.
    #[serde(default)]
    pub entry: Option<id::Entry>,
    /// Its peer port.
    pub socket: SocketAddr,
}

/// What an entry tells about the slots of one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Slots {
    /// The pool.
    pub pool: id::Pool,
    /// The report of the pool's decisions.
    pub report: flow::report::Report,
}

/// Why a peer could not be asked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No session with that peer, or the session ended.
    #[error("peer `{0}` cannot be reached")]
    Unreachable(id::Entry),
    /// No peer has a newer view.
    #[error("no peer that can be reached has a newer view")]
    NothingNewer,
    /// The link is closed.
    #[error("the peer link is closed")]
    Closed,
}

/// What an entry asks of its link to the other entries.
///
/// No call but [`Link::pull`] and [`Link::close`] waits for a peer.
#[async_trait]
pub trait Link: Send + Sync + fmt::Debug {
    /// Pushes `records`, just learned from the store or a commit of this entry, to the peers that
    /// are not known to have them. A push that cannot be queued is left to the next exchange.
    fn broadcast(&self, records: Arc<[Record]>);

    /// Tells all peers about the slots of busy pools. What cannot be queued for a peer is dropped;
    /// the pools' decisions make a lost report good by a later one.
    fn share(&self, pools: Arc<[Slots]>);

    /// Exchanges reports with all peers now: a drain has been put in force or has run empty.
    fn acknowledge(&self);

    /// The latest report of each peer, in the order of their names.
    fn sightings(&self) -> Vec<Sighting>;

    /// Replaces the peers to connect to; sessions with others stay until they end.
    fn connect(&self, peers: Vec<Address>);

    /// Pulls from the peer with the newest view, if any is ahead of this entry's.
    ///
    /// At start-up reports may not have come yet, so an entry without a view asks again.
    ///
    /// # Errors
    /// [`Error::NothingNewer`] where no reachable peer is ahead.
    async fn pull(&self) -> Result<Seq, Error>;

    /// Ends all sessions; nothing reaches [`Local`] after it returns.
    async fn close(&self);
}

/// What a link asks of its entry. Calls are short and never wait on a peer or the store.
pub trait Local: Send + Sync + fmt::Debug {
    /// The seq in force.
    fn seq(&self) -> Seq;

    /// The records after `seq` up to the seq in force; none where they are no longer kept.
    fn records_after(&self, seq: Seq) -> Option<Vec<Record>>;

    /// The view in force, whole.
    fn snapshot(&self) -> Snapshot;

    /// Puts `records` in force and returns the seq then in force.
    ///
    /// They follow each other, and the first follows what [`Local::seq`] said a moment ago. The
    /// entry may have moved on since and must ignore what is not newer.
    fn accept(&self, records: Vec<Record>) -> Seq;

    /// Puts a snapshot in force if it is newer, and returns the seq then in force.
    fn accept_snapshot(&self, snapshot: Snapshot) -> Seq;

    /// The entry's own report; its number grows with each call.
    fn own_report(&self) -> Report;

    /// What a peer tells about the slots of pools; older ones than are known may come late.
    fn accept_slots(&self, peer: &id::Entry, pools: Vec<Slots>);

    /// A peer's report, newer than any seen before.
    fn accept_report(&self, peer: &id::Entry, report: &Report);
}
