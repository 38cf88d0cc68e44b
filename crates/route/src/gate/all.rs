//! The gates of one entry.

use super::{Entrant, Ticket, one::Gate};
use parking_lot::{Mutex, RwLock};
use primroseroute_domain::{change::Seq, id};
use primroseroute_flow::{
    limits::Limits,
    pool::{Pool, QueueDepth},
    report::Report,
    request::Arrival,
    view::{Member, View},
};
use primroseroute_view::Snapshot;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::{sync::oneshot, task::JoinHandle, time::Instant};

/// A gate with the task that ticks it.
#[derive(Debug)]
struct Opened {
    gate: Arc<Gate>,
    timer: JoinHandle<()>,
}

impl Drop for Opened {
    fn drop(&mut self) {
        self.timer.abort();
    }
}

/// The gates before all pools of one entry.
#[derive(Debug)]
pub struct Gates {
    entry: id::Entry,
    incarnation: u64,
    limits: Limits,
    seed: u64,
    started: Instant,
    numbers: AtomicU64,
    open: RwLock<BTreeMap<id::Pool, Opened>>,
    in_force: Mutex<Seq>,
}

impl Gates {
    /// Opens the gates of `entry`; they have no pools before the first [`Gates::sync`].
    pub fn open(entry: id::Entry, incarnation: u64, limits: Limits, seed: u64) -> Self {
        Self {
            entry,
            incarnation,
            limits,
            seed,
            started: Instant::now(),
            numbers: AtomicU64::new(0),
            open: RwLock::default(),
            in_force: Mutex::default(),
        }
    }

    /// Puts a view in force at every gate, with the entries that share the workers.
    ///
    /// On return no gate sends anything new to an instance that `snapshot` does not have serving.
    pub fn sync(&self, snapshot: &Snapshot, entries: &BTreeSet<id::Entry>) {
        // Two syncs at once could leave a gate with the older view; the lock orders them and the
        // comparison drops the one that comes late.
        let mut in_force = self.in_force.lock();
        if snapshot.seq() < *in_force {
            return;
        }
        let mut views = views(snapshot, entries);
        for name in self.open.read().keys() {
            views
                .entry(name.clone())
                .or_insert_with(|| empty_view(entries));
        }
        for (name, view) in views {
            self.gate_or_open(&name).put_in_force(view);
        }
        *in_force = snapshot.seq();
    }

    /// The newest change whose view every gate has.
    pub fn in_force(&self) -> Seq {
        *self.in_force.lock()
    }

    fn gate_or_open(&self, name: &id::Pool) -> Arc<Gate> {
        if let Some(gate) = self.find(name) {
            return gate;
        }
        let mut gates = self.open.write();
        let opened = gates.entry(name.clone()).or_insert_with(|| {
            let seed = self.seed ^ seed_of(name);
            let decisions = Pool::new(
                self.entry.clone(),
                self.incarnation,
                self.limits.clone(),
                seed,
            );
            let gate = Arc::new(Gate::new(decisions, self.started));
            let timer = tokio::spawn(Arc::clone(&gate).run_timer());
            Opened { gate, timer }
        });
        Arc::clone(&opened.gate)
    }

    fn find(&self, name: &id::Pool) -> Option<Arc<Gate>> {
        self.open
            .read()
            .get(name)
            .map(|opened| Arc::clone(&opened.gate))
    }

    pub(crate) fn enter(&self, pool: &id::Pool, entrant: Entrant) -> Option<Ticket> {
        let gate = self.find(pool)?;
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let (sender, step) = oneshot::channel();
        let arrival = Arrival {
            request: number,
            account: entrant.account,
            service: entrant.service,
            class: entrant.class,
            deadline: entrant.deadline.saturating_duration_since(self.started),
            idempotent: entrant.idempotent,
        };
        let ticket = Ticket {
            gate: Arc::clone(&gate),
            number,
            step: Some(step),
            over: false,
        };
        let mut state = gate.state.lock();
        state.waiting.insert(number, sender);
        gate.decide_in(&mut state, |pool, now| pool.arrive(now, arrival));
        drop(state);
        Some(ticket)
    }

    /// Requests in flight on `instance` from this entry, over all pools.
    pub fn in_flight(&self, instance: &id::Instance) -> u32 {
        let gates = self.open.read();
        gates
            .values()
            .map(|opened| opened.gate.state.lock().decisions.in_flight(instance))
            .sum()
    }

    /// Requests in flight by instance, without the instances that have none.
    ///
    /// A report asks for all of them: asking gate by gate for each instance would take as many
    /// locks as there are instances times pools.
    pub fn loads(&self) -> BTreeMap<id::Instance, u32> {
        let gates = self.open.read();
        let mut loads = BTreeMap::new();
        for opened in gates.values() {
            for (instance, count) in opened.gate.state.lock().decisions.loads() {
                *loads.entry(instance.clone()).or_default() += count;
            }
        }
        loads
    }

    /// Instances that are out of the choice because they fail, by pool.
    pub fn ejected(&self) -> BTreeMap<id::Pool, u64> {
        let gates = self.open.read();
        let count = |opened: &Opened| opened.gate.state.lock().decisions.ejected().len() as u64;
        gates
            .iter()
            .map(|(name, opened)| (name.clone(), count(opened)))
            .collect()
    }

    /// Requests that wait, by account and service; those without any are left out.
    pub fn depths(&self) -> Vec<QueueDepth> {
        let gates = self.open.read();
        let depths = gates
            .values()
            .flat_map(|opened| opened.gate.state.lock().decisions.queue_depths());
        depths.collect()
    }

    /// Requests that wait at all gates.
    pub fn waiting(&self) -> usize {
        let gates = self.open.read();
        gates
            .values()
            .map(|opened| opened.gate.state.lock().decisions.waiting())
            .sum()
    }

    /// What this entry has to tell its peers, by pool; pools without news are left out.
    pub fn news(&self) -> BTreeMap<id::Pool, Report> {
        let gates = self.open.read();
        let news = gates.iter().filter_map(|(name, opened)| {
            let report = opened.gate.news()?;
            Some((name.clone(), report))
        });
        news.collect()
    }

    /// What this entry has to tell a peer that has just been connected, by pool.
    pub fn reports(&self) -> BTreeMap<id::Pool, Report> {
        let gates = self.open.read();
        let reports = gates.iter().map(|(name, opened)| {
            let gate = &opened.gate;
            let report = gate.state.lock().decisions.report(gate.now());
            (name.clone(), report)
        });
        reports.collect()
    }

    /// Takes in what a peer tells about one pool.
    pub fn peer(&self, pool: &id::Pool, report: &Report) {
        if let Some(gate) = self.find(pool) {
            gate.decide(|pool, now| pool.apply_reports(now, std::slice::from_ref(report)));
        }
    }
}

fn empty_view(entries: &BTreeSet<id::Entry>) -> View {
    View {
        entries: entries.clone(),
        ..View::default()
    }
}

/// The view of each pool, with the shares of those accounts alone that may call its services.
///
/// With every account's share in every pool's view, a change cost accounts times pools: 10 ms at
/// 140 accounts and 270 pools.
fn views(snapshot: &Snapshot, entries: &BTreeSet<id::Entry>) -> BTreeMap<id::Pool, View> {
    let all = snapshot.routes().shares();
    let share = |account: &id::Account| Some((account.clone(), *all.get(account)?));
    let mut views: BTreeMap<id::Pool, View> = snapshot
        .pools()
        .map(|(owner, pool)| {
            let callers = pool.services.iter().flat_map(|service| &service.callers);
            let shares = callers.chain([owner]).filter_map(share).collect();
            let view = View {
                shares,
                ..empty_view(entries)
            };
            (pool.name.clone(), view)
        })
        .collect();
    for (name, row) in snapshot.instances() {
        let row = &row.value;
        let view = row.pool.as_ref().and_then(|pool| views.get_mut(pool));
        if let Some(view) = view {
            view.members.insert(name.clone(), Member::from(row));
        }
    }
    views
}

/// A number that differs between pools' names, so that their gates choose differently.
fn seed_of(name: &id::Pool) -> u64 {
    let bytes = name.as_str().bytes();
    bytes.fold(0_u64, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u64::from(byte))
    })
}
