//! A site in memory: a partitioned table with a feed, workers with leases, instances, operators.
//!
//! [`World`] is the site itself and what a test sets in it; [`Caller`] is one entry's way to it, and
//! implements the traits of `primroseroute-platform`. Faults are set per caller ([`Conduct`]) and per
//! worker. Time is tokio's, so all of it works under paused time; randomness comes from one seed.
//!
//! What a task does is written in its job's payload: a number of milliseconds of work, with `fails`
//! after it for a run that ends as failed, or `crashes` for one that then crashes its worker; `lasts` for one that works
//! until it is stopped, with `first-crashes` after it where the first task of each step crashes its worker at once.
//!
//! [`Journal`] keeps what workers have seen; [`check`] judges it without any knowledge of the entries.

mod caller;
pub mod check;
mod journal;
mod rate;
mod state;
mod store;
mod worker;

pub use caller::Caller;
pub use journal::{Event, Journal};
pub use rate::Calls;

use parking_lot::Mutex;
use primroseroute_domain::work::{Demand, Name};
use primroseroute_platform::{
    site::{Instance, InstanceState, Instruction},
    worker::Target,
};
use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use rate::Rate;
use state::{Shared, State};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use store::Store;
use tokio::{sync::Notify, time::Instant};

/// How a site behaves before any fault is set.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Source of all randomness.
    pub seed: u64,
    /// Time of one call, both ways together.
    pub latency: Duration,
    /// Longest lease that workers grant.
    pub longest_lease: Duration,
    /// How long maintenance or a move takes.
    pub maintenance: Duration,
    /// Time from a worker's silence until its registration goes.
    pub registration: Duration,
    /// Time that a worker takes to stop a run.
    pub stop: Duration,
    /// Time from a worker's crash by a task until its instance has the next life.
    pub restart: Duration,
    /// Share of crashed workers whose next life has the same id.
    pub same_id: f64,
    /// Reads and feeds that the store takes a second from all callers together; without it, all of them.
    pub reads_per_second: Option<u32>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            latency: Duration::from_millis(4),
            longest_lease: Duration::from_secs(6),
            maintenance: Duration::from_secs(2),
            registration: Duration::from_millis(4_500),
            stop: Duration::from_millis(100),
            restart: Duration::from_secs(3),
            same_id: 0.0,
            reads_per_second: None,
        }
    }
}

/// Whether a caller reaches something.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// It does.
    #[default]
    Fine,
    /// It is turned away at once, and nothing is done.
    Refused,
    /// The same, for a rate that it doesn't keep.
    Throttled,
    /// Nothing comes back, and nothing is done.
    Silent,
}

/// How one caller's calls fare.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Conduct {
    /// Its calls to the store.
    pub store: Reach,
    /// Its calls to the store that are about the table `control`, where the store fails in part.
    pub control: Reach,
    /// Its commits, whatever becomes of other calls.
    pub commits: Reach,
    /// Its feeds, whatever becomes of other calls to the store.
    pub feeds: Reach,
    /// Its reads and feeds of accepted jobs and of cancels, whatever becomes of other calls to the store.
    pub jobs: Reach,
    /// Its reads of accepted jobs and of cancels, whatever becomes of their feeds.
    pub job_reads: Reach,
    /// Further time of each of its reads of the store: a thin link, or a process that gets little processor time.
    pub reads: Duration,
    /// Its calls about the registrations of workers, whatever becomes of other calls to the store.
    pub registry: Reach,
    /// Further time from a list of instances until it comes: what it shows is that old.
    pub lists: Duration,
    /// Its calls to workers.
    pub workers: Reach,
    /// Its questions to the advice service.
    pub advice: Reach,
    /// Further time until its orders reach their workers.
    pub orders: Duration,
    /// Further time until its orders to instances reach the platform.
    pub instance_orders: Duration,
    /// Share of its commits that are done and not answered.
    pub lost_commits: f64,
    /// Share of its commits that aren't answered, and done one to six seconds later.
    pub late_commits: f64,
    /// Share of its orders to workers that aren't answered, and carried out two to twelve seconds
    /// later.
    pub late_orders: f64,
    /// Share of its stops that fare like that, where other orders don't: calls on different connections overtake each other.
    pub late_stops: f64,
    /// Further time of each of its calls.
    pub delay: Duration,
    /// Whether its process is gone: no call of it goes out, and none comes back.
    pub dead: bool,
    /// Whether its process stands still: calls and answers wait until it goes on.
    pub frozen: bool,
}

impl Conduct {
    /// Share of its orders other than stops that are late.
    pub(crate) fn late_order(&self) -> f64 {
        self.late_orders
    }

    /// Share of its stops that are late.
    pub(crate) fn late_stop(&self) -> f64 {
        self.late_orders.max(self.late_stops)
    }
}

/// A site; clones are the same site.
#[derive(Clone)]
pub struct World {
    shared: Arc<Shared>,
}

impl fmt::Debug for World {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("World").finish_non_exhaustive()
    }
}

impl World {
    /// Opens a site without workers or a configuration.
    pub fn open(options: Options) -> Self {
        let state = State {
            options,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            store: Store::default(),
            reads: Rate::new(options.reads_per_second),
            workers: BTreeMap::new(),
            instances: BTreeMap::new(),
            registrations: Vec::new(),
            instructions: Vec::new(),
            waves: BTreeMap::new(),
            maintained: BTreeSet::new(),
            conduct: BTreeMap::new(),
            journal: Journal::default(),
            born: 0,
            lives: BTreeMap::new(),
            later: Vec::new(),
        };
        Self {
            shared: Arc::new(Shared {
                options,
                state: Mutex::new(state),
                changed: Notify::new(),
                start: Instant::now(),
            }),
        }
    }

    /// One entry's way to the site.
    pub fn caller(&self, name: &str) -> Caller {
        Caller::new(name.into(), Arc::clone(&self.shared))
    }

    /// Milliseconds since the site began.
    pub fn now(&self) -> u64 {
        self.shared.now()
    }

    /// Sets how the calls of `caller` fare.
    pub fn conduct(&self, caller: &str, set: impl FnOnce(&mut Conduct)) {
        self.shared.change(|state, _now| {
            set(state.conduct.entry(caller.into()).or_default());
        });
    }

    /// Reads and feeds of the store so far.
    pub fn reads(&self) -> Calls {
        self.shared.state.lock().reads.calls
    }

    /// Adds an instance to `pool`; the id of its worker, which has none in a standby pool.
    pub fn add_instance(&self, name: &str, pool: &str) -> Option<Name> {
        self.shared.change(|state, now| {
            let name: Name = name.into();
            let instance = Instance {
                name: Name::clone(&name),
                pool: pool.into(),
                state: InstanceState::Up,
                worker: None,
            };
            state.instances.insert(Name::clone(&name), instance);
            state.revive(&name, now);
            state.instances[&name].worker.clone()
        })
    }

    /// Writes what an operator says.
    pub fn instruct(&self, instruction: Instruction) {
        self.shared.change(|state, _now| {
            let version = state.store.bump();
            state.instructions.push((version, instruction));
        });
    }

    /// Drops the history of everything: feeds must read anew.
    pub fn compact(&self) {
        self.shared.change(|state, _now| state.store.compact());
    }

    /// Ends a worker's life without a word; its registration goes a while later.
    pub fn crash(&self, worker: &Name) {
        self.shared.change(|state, now| state.crash(worker, now));
    }

    /// Gives an instance that is down its next life.
    pub fn restart(&self, instance: &Name) {
        self.shared
            .change(|state, now| state.revive_after_crash(instance, now));
    }

    /// Gives an instance that is down its next life, with the id of the worker that it had.
    pub fn restart_as(&self, instance: &Name, worker: &Name) {
        self.shared
            .change(|state, now| state.revive_as(instance, worker, now));
    }

    /// Cuts a worker off from all entries, or joins it again. It works on; its registration goes
    /// after a while and comes back.
    pub fn cut(&self, worker: &Name, is_cut: bool) {
        self.shared.change(|state, _now| {
            if let Some(known) = state.workers.get_mut(worker) {
                known.cut = is_cut;
            }
            if is_cut {
                state.unregister(worker);
            } else {
                state.register(worker);
            }
        });
    }

    /// Lets a worker say that it is about to leave.
    pub fn drain(&self, worker: &Name) {
        self.shared.change(|state, now| {
            if let Some(known) = state.workers.get_mut(worker) {
                known.info.draining = true;
            }
            state.journal.add(Event::Draining {
                at: now,
                worker: Name::clone(worker),
            });
            state.register(worker);
        });
    }

    /// Changes a worker's room while it runs.
    pub fn resize(&self, worker: &Name, capacity: Demand) {
        self.shared.change(|state, now| {
            let Some(known) = state.workers.get_mut(worker) else {
                return;
            };
            known.info.capacity = capacity;
            state.journal.add(Event::Resized {
                at: now,
                worker: Name::clone(worker),
                capacity,
            });
            if known.alive && !known.cut {
                state.register(worker);
            }
        });
    }

    /// The workers that live.
    pub fn workers(&self) -> Vec<Name> {
        self.shared.change(|state, _now| {
            let alive = state.workers.iter().filter(|(_id, worker)| worker.alive);
            alive.map(|(id, _worker)| Name::clone(id)).collect()
        })
    }

    /// Where a worker listens.
    pub fn target(&self, worker: &Name) -> Target {
        self.shared.change(|state, _now| {
            let info = &state.workers[worker].info;
            Target {
                id: Name::clone(&info.id),
                address: info.address,
            }
        })
    }

    /// What workers have seen so far.
    pub fn journal(&self) -> Journal {
        self.shared.change(|state, _now| state.journal.clone())
    }

    /// The waves that were reported, and whether as complete.
    pub fn waves(&self) -> BTreeMap<u64, bool> {
        self.shared.change(|state, _now| state.waves.clone())
    }

    /// The instances as they are.
    pub fn instances(&self) -> Vec<Instance> {
        self.shared
            .change(|state, _now| state.instances.values().cloned().collect())
    }

    /// A number from the site's randomness, below `bound`.
    pub fn random(&self, bound: u64) -> u64 {
        self.shared
            .change(|state, _now| state.rng.random_range(0..bound))
    }
}

/// Whether the policy of queues that need advice allows a worker: every other one.
pub fn is_allowed(worker: &Name) -> bool {
    worker.bytes().last().is_some_and(|last| last % 2 == 0)
}

/// What every worker has: sixteen cores and 64 GB.
pub const CAPACITY: Demand = Demand {
    cpu: 16_000,
    memory: 65_536,
    accelerators: 0,
};

pub(crate) fn address(number: u64) -> SocketAddr {
    let port = u16::try_from(number % 60_000).unwrap_or(0) + 1;
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

pub(crate) fn labels(number: u64) -> BTreeSet<Name> {
    /// Workers of one rack.
    const RACK: u64 = 3;
    ["a".into(), format!("r-{}", number / RACK).into()].into()
}
