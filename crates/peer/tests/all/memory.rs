//! Many entries in one process, under paused time.

use crate::{
    cases,
    fake::{self, Entry, entry, identity, records},
};
use primroseroute_domain::change::Seq;
use primroseroute_peer::{
    Error, Link as _, LocalEntry as _,
    memory::{Link, MAX_QUEUED_MESSAGES, Network},
};
use std::{sync::Arc, time::Duration};
use tokio::time;

struct Cluster {
    network: Network,
    entries: Vec<Arc<Entry>>,
    links: Vec<Arc<Link>>,
}

impl Cluster {
    fn open(names: &[&str]) -> Self {
        let network = Network::open();
        network.set_latency(Duration::from_millis(1));
        let mut cluster = Self {
            network,
            entries: Vec::new(),
            links: Vec::new(),
        };
        for name in names {
            cluster.join(Entry::open(identity(name, 1)));
        }
        cluster
    }

    fn join(&mut self, entry: Arc<Entry>) {
        let local = Arc::clone(&entry);
        self.links
            .push(self.network.join(entry.identity.clone(), local));
        self.entries.push(entry);
    }

    /// Entry `at` learns the records `from` to `to` from the store and pushes them.
    fn learn(&self, at: usize, from: u64, to: u64) {
        for record in records(from, to) {
            self.entries[at].apply_records(vec![record.clone()]);
            self.links[at].broadcast([record].into());
        }
    }

    fn assert_at(&self, seq: u64) {
        for entry in &self.entries {
            entry.assert_at(seq);
        }
    }
}

const SEVEN: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];

/// The store is down but one entry has a change. The others must receive it by a push, without
/// polling the store and before the next exchange.
async fn single_poller() {
    let cluster = Cluster::open(&SEVEN);
    time::sleep(Duration::from_millis(10)).await;
    cluster.learn(3, 1, 1);
    time::sleep(Duration::from_millis(2)).await;
    cluster.assert_at(1);
    assert_eq!(cluster.network.message_counts().pushes, 6);
    // Entries that poll the same change slightly later know that the others have it.
    time::sleep(Duration::from_secs(2)).await;
    cluster.links[4].broadcast(records(1, 1).into());
    time::sleep(Duration::from_millis(2)).await;
    assert_eq!(cluster.network.message_counts().pushes, 6);
}

/// A new entry starts while the store is down. It learns seq 7 from B and then receives a report with
/// seq 5 from A, which is behind. It must reach 7 and never move backwards; A must reach 7 too.
async fn stale_start() {
    let mut cluster = Cluster::open(&[]);
    cluster.join(Entry::at(identity("a", 1), 5));
    cluster.join(Entry::at(identity("b", 1), 7));
    cluster.network.partition(&entry("a"), &entry("b"));
    cluster
        .network
        .set_latency_between(&entry("a"), &entry("c"), Duration::from_millis(400));
    cluster.join(Entry::open(identity("c", 1)));
    time::sleep(Duration::from_secs(5)).await;
    cluster.assert_at(7);
    assert!(
        cluster.entries[2]
            .state
            .lock()
            .received_reports
            .iter()
            .any(|report| report.seq == Seq(5))
    );
}

/// A snapshot is in flight from a slow peer, and a newer view arrives from a fast one before it. The
/// late snapshot must be ignored, or applied changes would be reverted until the next pull.
async fn late_snapshot() {
    let mut cluster = Cluster::open(&[]);
    let newer = fake::RETAINED_RECORDS + 60;
    cluster.join(Entry::at(identity("a", 1), newer - 10));
    cluster.join(Entry::at(identity("b", 1), newer));
    let (a, b, c) = (entry("a"), entry("b"), entry("c"));
    cluster.network.partition(&a, &b);
    cluster.network.partition(&b, &c);
    cluster
        .network
        .set_latency_between(&a, &c, Duration::from_millis(400));
    cluster.join(Entry::open(identity("c", 1)));
    time::sleep(Duration::from_millis(600)).await;
    cluster.network.heal(&b, &c);
    time::sleep(Duration::from_millis(500)).await;
    cluster.entries[2].assert_at(newer);
    assert_eq!(
        cluster.network.message_counts().snapshot_pulls,
        1,
        "the slow snapshot is still in flight"
    );
    time::sleep(Duration::from_millis(200)).await;
    cluster.entries[2].assert_at(newer);
    assert_eq!(cluster.network.message_counts().snapshot_pulls, 2);
}

/// A push is overtaken or lost, so that a later record arrives alone. Applying it would lose the
/// change in between permanently; the entry must pull the missing records instead.
async fn gap() {
    let cluster = Cluster::open(&["a", "b"]);
    time::sleep(Duration::from_millis(10)).await;
    cluster.entries[0].apply_records(records(1, 3));
    cluster.links[0].broadcast(records(3, 3).into());
    time::sleep(Duration::from_millis(20)).await;
    cluster.assert_at(3);
    assert_eq!(cluster.network.message_counts().record_pulls, 1);
}

/// Two regions are partitioned for an hour, and one of them applies `changes` changes. Once healed,
/// the other must receive them all within seconds: as records if they are still retained, otherwise
/// as a snapshot.
async fn healed(changes: u64) -> bool {
    let cluster = Cluster::open(&SEVEN);
    let names: Vec<_> = SEVEN.map(entry).into();
    time::sleep(Duration::from_secs(2)).await;
    cluster.network.partition_groups(&names[..4], &names[4..]);
    for seq in 1..=changes {
        cluster.learn(0, seq, seq);
        time::sleep(Duration::from_secs(3600) / u32::try_from(changes).unwrap()).await;
    }
    cluster.entries[3].assert_at(changes);
    cluster.entries[4].assert_at(0);
    cluster.network.heal_all();
    time::sleep(Duration::from_secs(3)).await;
    cluster.assert_at(changes);
    cluster.entries[4].state.lock().snapshots > 0
}

async fn healed_by_records() {
    assert!(!healed(fake::RETAINED_RECORDS / 2).await);
}

async fn healed_by_snapshot() {
    assert!(healed(fake::RETAINED_RECORDS * 2).await);
}

/// Messages to one peer take 30 s each. The others must receive every change immediately, the queue
/// for the slow peer must stay bounded, and the slow peer must eventually have all changes.
async fn slow_peer() {
    let cluster = Cluster::open(&["a", "b", "c"]);
    for name in ["a", "b"] {
        cluster
            .network
            .set_latency_between(&entry(name), &entry("c"), Duration::from_secs(30));
    }
    let burst = 2 * MAX_QUEUED_MESSAGES as u64;
    cluster.learn(0, 1, burst);
    time::sleep(Duration::from_millis(20)).await;
    cluster.entries[1].assert_at(burst);
    let dropped = cluster.network.message_counts().lost;
    assert!(
        dropped >= burst - MAX_QUEUED_MESSAGES as u64,
        "dropped {dropped}"
    );
    time::sleep(Duration::from_secs(240)).await;
    cluster.entries[2].assert_at(burst);
}

/// A peer restarts under the same name. Reports of the previous incarnation must be discarded at the
/// first contact of the new one, and the new incarnation must receive the view.
async fn restart() {
    let mut cluster = Cluster::open(&["a", "b"]);
    cluster.learn(0, 1, 4);
    time::sleep(Duration::from_secs(2)).await;
    cluster.links[1].close().await;
    cluster.entries.pop();
    cluster.join(Entry::open(identity("b", 2)));
    time::sleep(Duration::from_secs(2)).await;
    cluster.assert_at(4);
    let seen = cluster.links[0].latest_reports();
    assert_eq!(seen[0].report.from, identity("b", 2));
}

async fn closed() {
    let cluster = Cluster::open(&["a", "b"]);
    time::sleep(Duration::from_secs(2)).await;
    cluster.links[1].close().await;
    cluster.learn(0, 1, 1);
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(cluster.entries[1].seq(), Seq(0));
    assert_eq!(cluster.links[1].pull().await, Err(Error::Closed));
    assert_eq!(cluster.links[0].pull().await, Err(Error::NothingNewer));
}

/// One entry sends a slot report in another's name. Attributed to the other, the report could lend
/// out slots that the other itself uses; it must not be delivered.
async fn forged_slot_report() {
    let cluster = Cluster::open(&["a", "b", "c"]);
    time::sleep(Duration::from_millis(10)).await;
    cluster.links[0].send_slot_reports([fake::slots("b", 1), fake::slots("a", 2)].into());
    time::sleep(Duration::from_millis(10)).await;
    let arrived = &cluster.entries[2].state.lock().slots;
    assert_eq!(*arrived, [(entry("a"), fake::slots("a", 2))]);
}

cases! {
    async slot_reports_in_another_name_are_dropped => forged_slot_report();
    async change_polled_by_one_entry_reaches_all => single_poller();
    async new_entry_never_moves_back_to_a_stale_peer => stale_start();
    async late_snapshot_is_ignored => late_snapshot();
    async gap_is_pulled => gap();
    async cut_of_an_hour_heals_by_records => healed_by_records();
    async cut_of_an_hour_heals_by_snapshot => healed_by_snapshot();
    async slow_peer_does_not_delay_others => slow_peer();
    async restarted_peer_replaces_its_previous_incarnation => restart();
    async closed_link_makes_no_calls => closed();
}
