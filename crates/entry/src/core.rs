//! What the tasks of one entry share.
//!
//! Lock order: none of the locks here is held while another is taken.

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
use primroseroute_route::Gates;
use primroseroute_view::{Cell, Snapshot};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{sync::Notify, time::Instant};

/// What the entry's own decisions need of a peer's latest report.
///
/// The reports carry the loads of every instance. Copying all of them for each decision took more
/// processor time than everything else at rest, so the two fields are kept apart.
#[derive(Clone, Copy, Debug)]
struct Heard {
    seq: Seq,
    at: Instant,
}

/// The instances that do not serve, with the versions of their rows, as of one change.
#[derive(Debug, Default)]
struct Stopped {
    seq: Seq,
    rows: Arc<[(id::Instance, Seq)]>,
}

/// The shared state of one entry.
#[derive(Debug)]
pub(crate) struct Core {
    pub identity: Identity,
    pub ledger: Ledger,
    pub cell: Arc<Cell>,
    pub gates: Arc<Gates>,
    pub limits: membership::Limits,
    pub link: OnceLock<Arc<dyn Link>>,
    /// Wakes the spreading task when the set of live entries may have changed.
    pub roster_changed: Notify,
    pub registered: Mutex<BTreeMap<id::Entry, Registration>>,
    pub stopping: AtomicBool,
    pub controller: OnceLock<Controller>,
    /// The newest change that a peer has sent.
    pub relayed: AtomicU64,
    confirmed: Mutex<Option<Instant>>,
    heard: Mutex<BTreeMap<id::Entry, Heard>>,
    stopped: Mutex<Stopped>,
    reports: AtomicU64,
    started: Instant,
}

impl Core {
    pub(crate) fn new(
        identity: Identity,
        ledger: Ledger,
        gates: Arc<Gates>,
        limits: membership::Limits,
    ) -> Self {
        Self {
            identity,
            ledger,
            cell: Arc::default(),
            gates,
            limits,
            link: OnceLock::new(),
            roster_changed: Notify::new(),
            registered: Mutex::default(),
            stopping: AtomicBool::new(false),
            controller: OnceLock::new(),
            relayed: AtomicU64::new(0),
            confirmed: Mutex::default(),
            heard: Mutex::default(),
            stopped: Mutex::default(),
            reports: AtomicU64::new(0),
            started: Instant::now(),
        }
    }

    pub(crate) fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Notes that the store has just confirmed the view as the newest.
    pub(crate) fn confirm(&self) {
        *self.confirmed.lock() = Some(Instant::now());
    }

    pub(crate) fn confirmed(&self) -> Option<Duration> {
        self.confirmed.lock().map(|at| at.elapsed())
    }

    pub(crate) fn sightings(&self) -> Vec<ReceivedReport> {
        self.link
            .get()
            .map(|link| link.latest_reports())
            .unwrap_or_default()
    }

    /// Notes the report of a peer that has just come.
    pub(crate) fn hear(&self, peer: &id::Entry, report: &Report) {
        let heard = Heard {
            seq: report.seq,
            at: Instant::now(),
        };
        self.heard.lock().insert(peer.clone(), heard);
        self.roster_changed.notify_one();
    }

    /// The peers that were heard lately, with the changes that they have in force.
    fn peers(&self) -> Vec<PeerView> {
        let mut heard = self.heard.lock();
        heard.retain(|_, heard| heard.at.elapsed() < self.limits.silent_after);
        let peer = |(entry, heard): (&id::Entry, &Heard)| PeerView {
            entry: entry.clone(),
            seq: heard.seq,
        };
        heard.iter().map(peer).collect()
    }

    /// Registered entries that report, this one among them; they divide each worker's slots.
    ///
    /// Peers that report but are not yet in the rows read last count too: without them a new entry
    /// would use slots that the others believe to be theirs.
    pub(crate) fn live(&self) -> BTreeSet<id::Entry> {
        let peers = self.peers().into_iter().map(|peer| peer.entry);
        peers.chain([self.identity.entry.clone()]).collect()
    }

    /// How the view stands, from the store and the peers.
    pub(crate) fn footing(&self) -> membership::ViewState {
        membership::view_state(
            self.cell.current().seq(),
            self.confirmed(),
            &self.peers(),
            &self.limits,
        )
    }

    /// The instances that do not serve in `snapshot`, looked for once for each change.
    fn stopped(&self, snapshot: &Snapshot) -> Arc<[(id::Instance, Seq)]> {
        let mut stopped = self.stopped.lock();
        if stopped.seq != snapshot.seq() {
            let rows = snapshot.instances().iter();
            let rows = rows.filter(|(_, row)| row.value.state != State::Serving);
            *stopped = Stopped {
                seq: snapshot.seq(),
                rows: rows
                    .map(|(name, row)| (name.clone(), row.version))
                    .collect(),
            };
        }
        Arc::clone(&stopped.rows)
    }

    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && self.footing().may_serve()
    }

    /// The report for the peers.
    pub(crate) fn report(&self) -> Report {
        let number = self.reports.fetch_add(1, Ordering::Relaxed);
        let snapshot = self.cell.current();
        let in_force = self.gates.in_force();
        let acknowledges = self.footing().may_acknowledge();
        let in_flight = self.gates.loads();
        let mut drains = BTreeMap::new();
        for (name, seq) in self.stopped(&snapshot).iter() {
            // A drain counts as in force only once the gates have it: before that, a request could
            // still be sent after the acknowledgement.
            if *seq <= in_force && acknowledges {
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
            // What the gates have in force, not what the view has: a peer takes this for an
            // acknowledgement.
            seq: in_force,
            confirmed: self.confirmed(),
            loads,
            drains,
            ..Report::new(self.identity.clone())
        }
    }

    /// Every registered entry with what is known of it.
    pub(crate) fn entries(&self) -> Vec<EntryStatus> {
        let sightings = self.sightings();
        let seen = |name: &id::Entry| sightings.iter().find(|s| s.report.from.entry == *name);
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
            seq: self.in_force(),
            heard: Some(Duration::ZERO),
        });
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        entries
    }

    /// The newest change that the gates have in force.
    pub(crate) fn in_force(&self) -> Seq {
        self.gates.in_force()
    }
}
