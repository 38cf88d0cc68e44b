//! Shared state of the tasks of one entry.
//!
//! Lock order: none of the locks here is held while another is acquired.

use parking_lot::Mutex;
use primroseroute_api::Entry as EntryStatus;
use primroseroute_controller::Controller;
use primroseroute_domain::{change::Seq, id, instance::State};
use primroseroute_ledger::Ledger;
use primroseroute_peer::{
    Link,
    membership::{self, PeerView, Registration},
    report::{Drain, Identity, Load, ReceivedReport, Report},
};
use primroseroute_route::Dispatchers;
use primroseroute_view::{Snapshot, SnapshotCell};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{sync::Notify, time::Instant};

/// The part of a peer's latest report that the entry's own decisions need.
///
/// Reports contain the loads of every instance. Copying them for each decision took more CPU time
/// than everything else in an idle entry, so these two fields are stored separately.
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    seq: Seq,
    at: Instant,
}

/// The instances that are not serving, with the versions of their rows, as of one change.
#[derive(Debug, Default)]
struct NonServing {
    seq: Seq,
    rows: Arc<[(id::Instance, Seq)]>,
}

/// The shared state of one entry.
#[derive(Debug)]
pub(crate) struct Core {
    pub identity: Identity,
    pub ledger: Ledger,
    pub cell: Arc<SnapshotCell>,
    pub dispatchers: Arc<Dispatchers>,
    pub limits: membership::Limits,
    pub link: OnceLock<Arc<dyn Link>>,
    /// Wakes the `propagate` task when the set of live entries may have changed.
    pub roster_changed: Notify,
    pub registered: Mutex<BTreeMap<id::Entry, Registration>>,
    pub stopping: AtomicBool,
    pub controller: OnceLock<Controller>,
    /// The newest change that a peer has sent.
    pub newest_from_peers: AtomicU64,
    confirmed: Mutex<Option<Instant>>,
    peer_reports: Mutex<BTreeMap<id::Entry, PeerReport>>,
    non_serving: Mutex<NonServing>,
    next_report: AtomicU64,
    started: Instant,
}

impl Core {
    pub(crate) fn new(
        identity: Identity,
        ledger: Ledger,
        dispatchers: Arc<Dispatchers>,
        limits: membership::Limits,
    ) -> Self {
        Self {
            identity,
            ledger,
            cell: Arc::default(),
            dispatchers,
            limits,
            link: OnceLock::new(),
            roster_changed: Notify::new(),
            registered: Mutex::default(),
            stopping: AtomicBool::new(false),
            controller: OnceLock::new(),
            newest_from_peers: AtomicU64::new(0),
            confirmed: Mutex::default(),
            peer_reports: Mutex::default(),
            non_serving: Mutex::default(),
            next_report: AtomicU64::new(0),
            started: Instant::now(),
        }
    }

    pub(crate) fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records that the store has just confirmed the view as the newest.
    pub(crate) fn mark_confirmed(&self) {
        *self.confirmed.lock() = Some(Instant::now());
    }

    pub(crate) fn confirmed(&self) -> Option<Duration> {
        self.confirmed.lock().map(|at| at.elapsed())
    }

    pub(crate) fn latest_reports(&self) -> Vec<ReceivedReport> {
        self.link
            .get()
            .map(|link| link.latest_reports())
            .unwrap_or_default()
    }

    /// Records a report that a peer has just sent.
    pub(crate) fn record_peer_report(&self, peer: &id::Entry, report: &Report) {
        let peer_report = PeerReport {
            seq: report.seq,
            at: Instant::now(),
        };
        self.peer_reports.lock().insert(peer.clone(), peer_report);
        self.roster_changed.notify_one();
    }

    /// The responsive peers, with the newest change that each has applied.
    fn peers(&self) -> Vec<PeerView> {
        let mut reports = self.peer_reports.lock();
        reports.retain(|_, report| report.at.elapsed() < self.limits.silent_after);
        let peer = |(entry, report): (&id::Entry, &PeerReport)| PeerView {
            entry: entry.clone(),
            seq: report.seq,
        };
        reports.iter().map(peer).collect()
    }

    /// The entries that report, including this one; each worker's slots are divided among them.
    ///
    /// Peers that report but are not yet in the registration rows read last are included: without them
    /// a new entry would use slots that the others regard as their own.
    pub(crate) fn live_entries(&self) -> BTreeSet<id::Entry> {
        let peers = self.peers().into_iter().map(|peer| peer.entry);
        peers.chain([self.identity.entry.clone()]).collect()
    }

    /// How current the view is, judged by the store and the peers.
    pub(crate) fn view_state(&self) -> membership::ViewState {
        membership::view_state(
            self.cell.current().seq(),
            self.confirmed(),
            &self.peers(),
            &self.limits,
        )
    }

    /// The instances that are not serving in `snapshot`, computed once for each change.
    fn non_serving(&self, snapshot: &Snapshot) -> Arc<[(id::Instance, Seq)]> {
        let mut non_serving = self.non_serving.lock();
        if non_serving.seq != snapshot.seq() {
            let rows = snapshot.instances().iter();
            let rows = rows.filter(|(_, row)| row.value.state != State::Serving);
            *non_serving = NonServing {
                seq: snapshot.seq(),
                rows: rows
                    .map(|(name, row)| (name.clone(), row.version))
                    .collect(),
            };
        }
        Arc::clone(&non_serving.rows)
    }

    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && self.view_state().may_serve()
    }

    /// The report for the peers.
    pub(crate) fn report(&self) -> Report {
        let number = self.next_report.fetch_add(1, Ordering::Relaxed);
        let snapshot = self.cell.current();
        let applied_seq = self.dispatchers.applied_seq();
        let acknowledges = self.view_state().may_acknowledge();
        let in_flight = self.dispatchers.loads();
        let mut drains = BTreeMap::new();
        for (name, seq) in self.non_serving(&snapshot).iter() {
            // A drain is acknowledged only once it has been applied to the dispatchers: before that,
            // a request could still be sent after the acknowledgement.
            if *seq <= applied_seq && acknowledges {
                let in_flight = in_flight.get(name).copied().unwrap_or(0);
                let seq = *seq;
                drains.insert(name.clone(), Drain { seq, in_flight });
            }
        }
        let load = |count: u32| {
            let count = u16::try_from(count).unwrap_or(u16::MAX);
            Load {
                in_flight: count,
                demand: count,
            }
        };
        let loads = in_flight
            .into_iter()
            .map(|(name, count)| (name, load(count)))
            .collect();
        Report {
            number,
            // The change applied to the dispatchers, not that of the view: a peer takes this as an
            // acknowledgement.
            seq: applied_seq,
            confirmed: self.confirmed(),
            loads,
            drains,
            ..Report::new(self.identity.clone())
        }
    }

    /// The status of every registered entry.
    pub(crate) fn entries(&self) -> Vec<EntryStatus> {
        let latest_reports = self.latest_reports();
        let seen = |name: &id::Entry| latest_reports.iter().find(|s| s.report.from.entry == *name);
        let registered = self.registered.lock().clone();
        let mut entries: Vec<EntryStatus> = registered
            .iter()
            .filter(|(name, _)| **name != self.identity.entry)
            .map(|(name, row)| EntryStatus {
                name: name.clone(),
                seq: seen(name).map_or(row.acked, |s| s.report.seq.max(row.acked)),
                heard: seen(name).map(|s| s.age),
            })
            .collect();
        entries.push(EntryStatus {
            name: self.identity.entry.clone(),
            seq: self.applied_seq(),
            heard: Some(Duration::ZERO),
        });
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        entries
    }

    /// The newest change that has been applied to the dispatchers.
    pub(crate) fn applied_seq(&self) -> Seq {
        self.dispatchers.applied_seq()
    }
}
