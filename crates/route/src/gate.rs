//! The gates before the pools: pure decisions behind a lock, and the requests that wait on them.
//!
//! Lock order: `Gates::in_force`, then `Gates::open`, then `Gate::state`. No lock is held across an await.

use parking_lot::{Mutex, RwLock};
use primroseroute_domain::{account::Class, change::Seq, id, outcome::Code};
use primroseroute_flow::{
    limits::Limits,
    pool::Pool,
    report::Report,
    request::{Action, Arrival, Ending},
    view::{Member, View},
};
use primroseroute_view::Snapshot;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{Notify, oneshot},
    task::JoinHandle,
    time::{Instant, sleep_until},
};

/// What a request is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Try this instance.
    Send {
        instance: id::Instance,
        not_after: Instant,
    },
    /// Give up.
    Refuse { code: Code, retry_after: Duration },
}

/// A request that asks to be let through.
#[derive(Clone, Debug)]
pub(crate) struct Entrant {
    pub account: id::Account,
    pub service: id::Service,
    pub class: Class,
    pub deadline: Instant,
    pub idempotent: bool,
}

#[derive(Debug)]
struct State {
    decisions: Pool,
    waiting: BTreeMap<u64, oneshot::Sender<Step>>,
    /// Whether the last report for the peers had nothing in it.
    was_quiet: bool,
}

/// The gate before one pool.
#[derive(Debug)]
pub(crate) struct Gate {
    started: Instant,
    state: Mutex<State>,
    wake: Notify,
}

impl Gate {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Runs one decision and hands its actions to the requests that wait for them.
    fn decide(&self, decision: impl FnOnce(&mut Pool, Duration) -> Vec<Action>) {
        self.decide_in(&mut self.state.lock(), decision);
    }

    /// The same where a request that `decision` is about joins or leaves those that wait.
    fn decide_in(
        &self,
        state: &mut State,
        decision: impl FnOnce(&mut Pool, Duration) -> Vec<Action>,
    ) {
        let due = state.decisions.next_tick();
        let actions = decision(&mut state.decisions, self.now());
        for action in actions {
            self.pass_on(state, action);
        }
        if state.decisions.next_tick() != due {
            self.wake.notify_one();
        }
    }

    fn pass_on(&self, state: &mut State, action: Action) {
        let (request, step) = match action {
            Action::Send {
                request,
                instance,
                not_after,
                ..
            } => (
                request,
                Step::Send {
                    instance,
                    not_after: self.started + not_after,
                },
            ),
            Action::Refuse {
                request,
                code,
                retry_after,
            } => (request, Step::Refuse { code, retry_after }),
        };
        // A ticket is told of its own end by `Ticket::drop`, so a send that fails is one that was
        // cancelled in the same moment, and the cancellation follows.
        let waiter = state.waiting.remove(&request);
        let delivered = waiter.is_some_and(|waiter| waiter.send(step).is_ok());
        if !delivered {
            log::debug!("request {request} went away before its next step");
        }
    }

    /// The report of a busy pool that has news.
    ///
    /// A pool that nobody calls has nothing to say: its keep-alives alone would be 54 messages a
    /// second to each peer at 270 pools. The report that it fell quiet is sent once.
    fn news(&self) -> Option<Report> {
        let mut state = self.state.lock();
        let report = state.decisions.news(self.now())?;
        let is_quiet = report.demand.is_empty() && report.lent.is_empty() && report.seen.is_empty();
        let was_quiet = std::mem::replace(&mut state.was_quiet, is_quiet);
        (!is_quiet || !was_quiet).then_some(report)
    }

    async fn run_timer(self: Arc<Self>) {
        loop {
            let due = self.state.lock().decisions.next_tick();
            match due {
                Some(due) => {
                    tokio::select! {
                        () = sleep_until(self.started + due) => self.decide(Pool::tick),
                        () = self.wake.notified() => {}
                    }
                }
                None => self.wake.notified().await,
            }
        }
    }
}

/// A request's place at a gate; dropping it early tells the gate that the caller went away.
#[derive(Debug)]
pub(crate) struct Ticket {
    gate: Arc<Gate>,
    number: u64,
    /// Brings the next step; a new one for each, since a gate decides one step at a time.
    step: Option<oneshot::Receiver<Step>>,
    over: bool,
}

impl Ticket {
    /// The next step; a gate always has one until the request is over.
    pub(crate) async fn next(&mut self) -> Step {
        let step = match self.step.take() {
            Some(step) => step.await.ok(),
            None => None,
        };
        let lost = Step::Refuse {
            code: Code::Overloaded,
            retry_after: Duration::from_secs(1),
        };
        let step = step.unwrap_or(lost);
        self.over |= matches!(step, Step::Refuse { .. });
        step
    }

    /// Moves the request to another owner, such as the body of a streaming answer.
    pub(crate) fn hand_over(&mut self) -> Self {
        let handed = Self {
            gate: Arc::clone(&self.gate),
            number: self.number,
            step: self.step.take(),
            over: self.over,
        };
        self.over = true;
        handed
    }

    /// Tells the gate how an attempt ended.
    pub(crate) fn finish(&mut self, ending: Ending) {
        self.over |= matches!(ending, Ending::Answered { .. } | Ending::Cancelled);
        let mut state = self.gate.state.lock();
        if self.over {
            state.waiting.remove(&self.number);
        } else {
            let (sender, step) = oneshot::channel();
            state.waiting.insert(self.number, sender);
            self.step = Some(step);
        }
        self.gate.decide_in(&mut state, |pool, now| {
            pool.finish(now, self.number, ending)
        });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.over {
            self.finish(Ending::Cancelled);
        }
    }
}

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
            self.gate_or_open(&name)
                .decide(|pool, now| pool.sync(now, &view));
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
            let gate = Arc::new(Gate {
                started: self.started,
                state: Mutex::new(State {
                    decisions,
                    waiting: BTreeMap::new(),
                    was_quiet: true,
                }),
                wake: Notify::new(),
            });
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
            gate.decide(|pool, now| pool.peers(now, std::slice::from_ref(report)));
        }
    }
}

fn empty_view(entries: &BTreeSet<id::Entry>) -> View {
    View {
        entries: entries.clone(),
        ..View::default()
    }
}

fn views(snapshot: &Snapshot, entries: &BTreeSet<id::Entry>) -> BTreeMap<id::Pool, View> {
    let shares = snapshot.routes().shares();
    let mut views: BTreeMap<id::Pool, View> = snapshot
        .pools()
        .map(|(_, pool)| {
            (
                pool.name.clone(),
                View {
                    shares: shares.clone(),
                    ..empty_view(entries)
                },
            )
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
