//! An in-memory link, for many entries in one process under paused time.
//!
//! A [`Network`] connects any number of entries. It delivers messages by tokio's clock with a
//! configurable latency, and a test can partition and heal it between any two entries. Received
//! messages are handled by the same code as over sockets: peer reports, record selection, pulls.
//! Messages are counted by kind.

use crate::{
    Address, Error, Link as LinkTrait, LocalEntry, Newer, SlotReport,
    core::{Core, ReceiveOutcome},
    report::{Identity, ReceivedReport},
    schedule,
};
use async_trait::async_trait;
use parking_lot::Mutex;
use primroseroute_domain::{
    change::{Record, Seq},
    id,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Weak},
    time::Duration,
};
use tokio::{task::AbortHandle, time};

/// Maximum number of messages in flight from one entry to another; further pushes are dropped, and
/// the peer pulls the records after the next exchange.
pub const MAX_QUEUED_MESSAGES: usize = 64;

/// Messages delivered, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// Exchanges of reports, each a call and a response.
    pub exchanges: u64,
    /// Pushes.
    pub pushes: u64,
    /// Delivered messages with slot reports.
    pub slot_messages: u64,
    /// Pulls that returned records.
    pub record_pulls: u64,
    /// Pulls that returned a snapshot.
    pub snapshot_pulls: u64,
    /// Messages lost in a partition or rejected by a full queue.
    pub lost: u64,
}

#[derive(Debug, Default)]
struct State {
    nodes: BTreeMap<id::Entry, Weak<Node>>,
    partitions: BTreeSet<(id::Entry, id::Entry)>,
    latency: Duration,
    latencies: BTreeMap<(id::Entry, id::Entry), Duration>,
    queued: BTreeMap<(id::Entry, id::Entry), usize>,
    message_counts: MessageCounts,
}

/// The in-memory network between entries.
///
/// Lock order: `state` is taken last and never held during a call into an entry.
#[derive(Clone, Debug, Default)]
pub struct Network {
    state: Arc<Mutex<State>>,
}

fn unordered_pair(a: &id::Entry, b: &id::Entry) -> (id::Entry, id::Entry) {
    if a <= b {
        (a.clone(), b.clone())
    } else {
        (b.clone(), a.clone())
    }
}

impl Network {
    /// Creates a network without entries, partitions or latency.
    pub fn open() -> Self {
        Self::default()
    }

    /// Sets the one-way latency between all pairs of entries without a latency of their own.
    pub fn set_latency(&self, latency: Duration) {
        self.state.lock().latency = latency;
    }

    /// Sets the one-way latency between two entries.
    pub fn set_latency_between(&self, a: &id::Entry, b: &id::Entry, latency: Duration) {
        self.state
            .lock()
            .latencies
            .insert(unordered_pair(a, b), latency);
    }

    /// Partitions two entries; messages in flight between them are lost.
    pub fn partition(&self, a: &id::Entry, b: &id::Entry) {
        self.state.lock().partitions.insert(unordered_pair(a, b));
    }

    /// Heals the partition between two entries.
    pub fn heal(&self, a: &id::Entry, b: &id::Entry) {
        self.state.lock().partitions.remove(&unordered_pair(a, b));
    }

    /// Partitions every entry of one group from every entry of the other, such as two regions.
    pub fn partition_groups(&self, one: &[id::Entry], other: &[id::Entry]) {
        for a in one {
            for b in other {
                self.partition(a, b);
            }
        }
    }

    /// Heals all partitions.
    pub fn heal_all(&self) {
        self.state.lock().partitions.clear();
    }

    /// The number of messages so far.
    pub fn message_counts(&self) -> MessageCounts {
        self.state.lock().message_counts
    }

    /// Adds an entry and returns its link; the entry is removed when the link is closed or dropped.
    ///
    /// Must be called within a tokio runtime. Every entry is a peer of every other, so
    /// [`LinkTrait::set_peers`] has no effect.
    pub fn join(&self, identity: Identity, local: Arc<dyn LocalEntry>) -> Arc<Link> {
        let node = Arc::new(Node {
            identity,
            core: Core::new(local),
            network: self.clone(),
        });
        let name = node.identity.entry.clone();
        self.state.lock().nodes.insert(name, Arc::downgrade(&node));
        let task = tokio::spawn(run(Arc::downgrade(&node))).abort_handle();
        Arc::new(Link {
            node: Mutex::new(Some(node)),
            task,
        })
    }

    fn peers(&self, own: &id::Entry) -> Vec<Arc<Node>> {
        let state = self.state.lock();
        let others = state.nodes.iter().filter(|(name, _)| *name != own);
        others.filter_map(|(_, node)| node.upgrade()).collect()
    }

    /// Waits for the latency of a message; `None` if a partition loses it.
    async fn transmit(&self, from: &id::Entry, to: &id::Entry) -> Option<()> {
        let key = unordered_pair(from, to);
        let latency = {
            let state = self.state.lock();
            let own = state.latencies.get(&key);
            own.copied().unwrap_or(state.latency)
        };
        time::sleep(latency).await;
        let mut state = self.state.lock();
        if state.partitions.contains(&key) {
            state.message_counts.lost += 1;
            return None;
        }
        Some(())
    }

    fn reserve(&self, from: &id::Entry, to: &id::Entry) -> bool {
        let mut state = self.state.lock();
        let queued = state.queued.entry((from.clone(), to.clone())).or_default();
        if *queued < MAX_QUEUED_MESSAGES {
            *queued += 1;
            return true;
        }
        state.message_counts.lost += 1;
        false
    }

    fn release(&self, from: &id::Entry, to: &id::Entry) {
        let mut state = self.state.lock();
        if let Some(queued) = state.queued.get_mut(&(from.clone(), to.clone())) {
            *queued -= 1;
        }
    }
}

#[derive(Debug)]
struct Node {
    identity: Identity,
    core: Core,
    network: Network,
}

/// The in-memory link of one entry.
#[derive(Debug)]
pub struct Link {
    node: Mutex<Option<Arc<Node>>>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Exchanges reports at the scheduled interval; the entry with the lower name initiates.
async fn run(node: Weak<Node>) {
    loop {
        let Some(own) = node.upgrade() else {
            return;
        };
        let peers = own.network.peers(&own.identity.entry);
        let interval = schedule::for_peers(peers.len()).interval;
        for peer in peers {
            if own.identity.entry < peer.identity.entry {
                tokio::spawn(exchange(Arc::downgrade(&own), Arc::downgrade(&peer)));
            }
        }
        drop(own);
        time::sleep(interval).await;
    }
}

async fn exchange(own: Weak<Node>, peer: Weak<Node>) {
    let Some((own, peer)) = own.upgrade().zip(peer.upgrade()) else {
        return;
    };
    let report = own.core.own_report();
    let delivered = own
        .network
        .transmit(&own.identity.entry, &peer.identity.entry);
    if delivered.await.is_none() || peer.core.admit(&own.identity).is_err() {
        return;
    }
    if peer.core.handle_report(&report) {
        tokio::spawn(pull_if_alive(Arc::downgrade(&peer), Arc::downgrade(&own)));
    }
    let answer = peer.core.own_report();
    let delivered = own
        .network
        .transmit(&peer.identity.entry, &own.identity.entry);
    if delivered.await.is_none() || own.core.admit(&peer.identity).is_err() {
        return;
    }
    own.network.state.lock().message_counts.exchanges += 1;
    if own.core.handle_report(&answer) {
        pull_from(&own, &peer).await;
    }
}

async fn pull_if_alive(own: Weak<Node>, peer: Weak<Node>) {
    if let Some((own, peer)) = own.upgrade().zip(peer.upgrade()) {
        pull_from(&own, &peer).await;
    }
}

async fn pull_from(own: &Arc<Node>, peer: &Arc<Node>) -> Option<Seq> {
    let network = &own.network;
    let after = own.core.seq();
    let (here, there) = (&own.identity.entry, &peer.identity.entry);
    network.transmit(here, there).await?;
    let newer = peer.core.newer_than(after);
    network.transmit(there, here).await?;
    match &newer {
        Newer::Nothing => {}
        Newer::Records(_) => network.state.lock().message_counts.record_pulls += 1,
        Newer::Snapshot(_) => network.state.lock().message_counts.snapshot_pulls += 1,
    }
    Some(own.core.handle_newer(newer))
}

async fn push(own: Arc<Node>, peer: Arc<Node>, records: Arc<[Record]>) {
    let (here, there) = (&own.identity.entry, &peer.identity.entry);
    let delivered = own.network.transmit(here, there).await;
    own.network.release(here, there);
    if delivered.is_none() {
        return;
    }
    own.network.state.lock().message_counts.pushes += 1;
    if let ReceiveOutcome::Gap(_) = peer.core.handle_records(records.to_vec()) {
        pull_from(&peer, &own).await;
    }
}

async fn deliver_slot_reports(own: Arc<Node>, peer: Arc<Node>, pools: Arc<[SlotReport]>) {
    let (here, there) = (&own.identity.entry, &peer.identity.entry);
    let delivered = own.network.transmit(here, there).await;
    own.network.release(here, there);
    if delivered.is_some() {
        own.network.state.lock().message_counts.slot_messages += 1;
        peer.core.handle_slot_reports(here, pools.to_vec());
    }
}

impl Link {
    fn node(&self) -> Option<Arc<Node>> {
        self.node.lock().clone()
    }
}

#[async_trait]
impl LinkTrait for Link {
    fn broadcast(&self, records: Arc<[Record]>) {
        let (Some(own), Some(last)) = (self.node(), records.last()) else {
            return;
        };
        let known: BTreeMap<_, _> = own
            .core
            .latest_reports()
            .into_iter()
            .map(|received| (received.report.from.entry, received.report.seq))
            .collect();
        for peer in own.network.peers(&own.identity.entry) {
            let name = &peer.identity.entry;
            let has = known.get(name).is_some_and(|seq| *seq >= last.seq);
            if !has && own.network.reserve(&own.identity.entry, name) {
                tokio::spawn(push(Arc::clone(&own), peer, Arc::clone(&records)));
            }
        }
    }

    fn send_slot_reports(&self, pools: Arc<[SlotReport]>) {
        let Some(own) = self.node() else {
            return;
        };
        for peer in own.network.peers(&own.identity.entry) {
            if own
                .network
                .reserve(&own.identity.entry, &peer.identity.entry)
            {
                tokio::spawn(deliver_slot_reports(
                    Arc::clone(&own),
                    peer,
                    Arc::clone(&pools),
                ));
            }
        }
    }

    fn exchange_now(&self) {
        let Some(own) = self.node() else {
            return;
        };
        for peer in own.network.peers(&own.identity.entry) {
            tokio::spawn(exchange(Arc::downgrade(&own), Arc::downgrade(&peer)));
        }
    }

    fn latest_reports(&self) -> Vec<ReceivedReport> {
        self.node()
            .map(|own| own.core.latest_reports())
            .unwrap_or_default()
    }

    fn set_peers(&self, _peers: Vec<Address>) {}

    async fn pull(&self) -> Result<Seq, Error> {
        let own = self.node().ok_or(Error::Closed)?;
        let before = own.core.seq();
        let mut ahead = own.core.latest_reports();
        ahead.retain(|received| received.report.seq > before);
        ahead.sort_by_key(|received| std::cmp::Reverse(received.report.seq));
        let peers = own.network.peers(&own.identity.entry);
        for received in ahead {
            let peer = peers
                .iter()
                .find(|peer| peer.identity == received.report.from);
            let Some(peer) = peer else {
                continue;
            };
            if let Some(seq) = pull_from(&own, peer).await
                && seq > before
            {
                return Ok(seq);
            }
        }
        Err(Error::NothingNewer)
    }

    async fn close(&self) {
        self.task.abort();
        let node = self.node.lock().take();
        if let Some(node) = node {
            let mut state = node.network.state.lock();
            let name = &node.identity.entry;
            let same = |joined: &Weak<Node>| std::ptr::eq(joined.as_ptr(), Arc::as_ptr(&node));
            if state.nodes.get(name).is_some_and(same) {
                state.nodes.remove(name);
            }
        }
    }
}
