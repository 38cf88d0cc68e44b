//! A simulated site: a partitioned table with a feed, workers with leases, instances, operators.
//!
//! [`World`] is the site itself, with its controls for tests; [`Caller`] is one entry's client of it, and
//! implements the traits of `primroseroute-platform`. Faults are injected per caller ([`CallerFaults`]) and per
//! worker. Time is tokio's, so all of it works under paused time; randomness comes from one seed.
//!
//! A job's payload sets the behaviour of its tasks. `<milliseconds>` runs for that time and succeeds; followed by
//! `fails`, the run then ends as failed; followed by `crashes`, it then crashes its worker. `lasts` runs until it is
//! stopped; followed by `first-crashes`, the first task of each step crashes its worker at once.
//!
//! [`Journal`] records the events on workers; [`check`] verifies them without any knowledge of the entries.

mod caller;
pub mod check;
mod journal;
mod rate;
mod state;
mod store;
mod work;
mod worker;

pub use caller::Caller;
pub use journal::{Event, Journal};
pub use rate::{Calls, Traffic};

use parking_lot::Mutex;
use primroseroute_domain::work::{Demand, Name};
use primroseroute_platform::{
    site::{Instance, InstanceState, Instruction},
    worker::Target,
};
use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use rate::RateLimiter;
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

/// How a site behaves before any fault is injected.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of all randomness.
    pub seed: u64,
    /// Round-trip latency of one call.
    pub latency: Duration,
    /// Longest lease that workers grant.
    pub longest_lease: Duration,
    /// Duration of maintenance or of a move.
    pub maintenance: Duration,
    /// Time from a worker's crash until its registration is removed.
    pub registration: Duration,
    /// Time from a stop order to the end of the run.
    pub stop: Duration,
    /// Time from a worker's crash by a task until its instance has a new worker incarnation.
    pub restart: Duration,
    /// Share of crashed workers whose next incarnation has the same id.
    pub same_id: f64,
    /// Rate limit of the store for reads and feeds of all callers together; unlimited if none.
    pub reads_per_second: Option<u32>,
    /// Whether workers report the start times of their incarnations.
    pub reports_born: bool,
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
            reports_born: true,
        }
    }
}

/// What becomes of a caller's requests to one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// They arrive.
    #[default]
    Fine,
    /// They are rejected at once, without effect.
    Refused,
    /// They are rejected at once for exceeding a rate limit, without effect.
    Throttled,
    /// They get no response and have no effect.
    Silent,
}

/// Faults of one caller's calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallerFaults {
    /// Its calls to the store.
    pub store: Reach,
    /// Its calls to the store that concern the table `control`, to simulate a partial failure of the store.
    pub control: Reach,
    /// Its commits, independently of other calls.
    pub commits: Reach,
    /// Its feeds, independently of other calls to the store.
    pub feeds: Reach,
    /// Its reads and feeds of accepted jobs and of cancels, independently of other calls to the store.
    pub jobs: Reach,
    /// Its reads of accepted jobs and of cancels, independently of their feeds.
    pub job_reads: Reach,
    /// Delay added to each of its reads of the store, as on a slow link or in a process that gets little processor time.
    pub read_delay: Duration,
    /// Its calls about the registrations of workers, independently of other calls to the store.
    pub registry: Reach,
    /// Delay added to its lists of instances after they were read, so that they are this old when they arrive.
    pub list_delay: Duration,
    /// Its calls to workers.
    pub workers: Reach,
    /// Its requests to the advice service.
    pub advice: Reach,
    /// Delay added before its orders reach their workers.
    pub order_delay: Duration,
    /// Delay added before its orders to instances reach the platform.
    pub instance_order_delay: Duration,
    /// Share of its commits that take effect and get no response.
    pub lost_commits: f64,
    /// Share of its commits that get no response and take effect one to six seconds later.
    pub late_commits: f64,
    /// Share of its orders to workers that get no response and take effect two to twelve seconds
    /// later.
    pub late_orders: f64,
    /// The same for its stops alone, because calls on different connections can overtake each other.
    pub late_stops: f64,
    /// Delay added to each of its calls.
    pub delay: Duration,
    /// Whether its process has terminated: no call is sent, and no response is received.
    pub dead: bool,
    /// Whether its process is suspended: calls and responses wait until it resumes.
    pub frozen: bool,
}

impl CallerFaults {
    /// Share of its orders other than stops that are late.
    pub(crate) fn late_order(&self) -> f64 {
        self.late_orders
    }

    /// Share of its stops that are late.
    pub(crate) fn late_stop(&self) -> f64 {
        self.late_orders.max(self.late_stops)
    }
}

/// A site; clones share the same site.
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
            reads: RateLimiter::new(options.reads_per_second),
            traffic: BTreeMap::new(),
            workers: BTreeMap::new(),
            instances: BTreeMap::new(),
            registrations: Vec::new(),
            instructions: Vec::new(),
            waves: BTreeMap::new(),
            maintained: BTreeSet::new(),
            faults: BTreeMap::new(),
            journal: Journal::default(),
            workers_created: 0,
            last_workers: BTreeMap::new(),
            scheduled: Vec::new(),
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

    /// One entry's client of the site.
    pub fn caller(&self, name: &str) -> Caller {
        Caller::new(name.into(), Arc::clone(&self.shared))
    }

    /// Milliseconds since the site opened.
    pub fn now(&self) -> u64 {
        self.shared.now()
    }

    /// Changes the faults of the calls of `caller`.
    pub fn update_faults(&self, caller: &str, set: impl FnOnce(&mut CallerFaults)) {
        self.shared.change(|state, _now| {
            set(state.faults.entry(caller.into()).or_default());
        });
    }

    /// Makes the store refuse rows whose keys begin with `prefix`; none from then on if it is none.
    pub fn refuse_rows(&self, prefix: Option<&str>) {
        self.shared
            .change(|state, _now| state.store.refused_prefix = prefix.map(Name::from));
    }

    /// Counts of the reads and feeds of the store so far.
    pub fn reads(&self) -> Calls {
        self.shared.state.lock().reads.calls
    }

    /// Calls of the store's table so far, by caller and table.
    pub fn traffic(&self) -> BTreeMap<(Name, Name), Traffic> {
        self.shared.state.lock().traffic.clone()
    }

    /// Adds an instance to `pool`. Returns the id of its worker; none in a standby pool, whose instances have no workers.
    pub fn add_instance(&self, name: &str, pool: &str) -> Option<Name> {
        self.shared.change(|state, now| {
            let name: Name = name.into();
            let instance = Instance {
                name: Name::clone(&name),
                pool: pool.into(),
                state: InstanceState::Up,
                worker: None,
                capacity: Some(CAPACITY),
                labels: Vec::new(),
            };
            state.instances.insert(Name::clone(&name), instance);
            state.start_worker(&name, now);
            state.instances[&name].worker.clone()
        })
    }

    /// Publishes an operator's instruction.
    pub fn instruct(&self, instruction: Instruction) {
        self.shared.change(|state, _now| {
            let version = state.store.bump();
            state.instructions.push((version, instruction));
        });
    }

    /// Compacts the history of all feeds, so that their readers must read the current state again.
    pub fn compact(&self) {
        self.shared.change(|state, _now| state.store.compact());
    }

    /// Crashes a worker without notice; its registration is removed after [`Options::registration`].
    pub fn crash(&self, worker: &Name) {
        self.shared.change(|state, now| state.crash(worker, now));
    }

    /// Restarts the worker of an instance that is down.
    pub fn restart(&self, instance: &Name) {
        self.shared
            .change(|state, now| state.restart_worker(instance, now));
    }

    /// Restarts the worker of an instance that is down, under the worker id that it had.
    pub fn restart_as(&self, instance: &Name, worker: &Name) {
        self.shared
            .change(|state, now| state.restart_worker_as(instance, worker, now));
    }

    /// Makes the runs of a worker progress `slowdown` times slower than usual from now on; 1 makes it fast again.
    pub fn set_slowdown(&self, worker: &Name, slowdown: u64) {
        self.shared.change(|state, now| {
            if let Some(known) = state.workers.get_mut(worker) {
                known.set_slowdown(slowdown, now);
            }
        });
    }

    /// Partitions a worker from all entries, or heals the partition. The worker continues to run; its registration is
    /// removed, and restored when the partition heals.
    pub fn set_partitioned(&self, worker: &Name, is_partitioned: bool) {
        self.cut_off(worker, is_partitioned, |known| {
            known.partitioned = is_partitioned;
        });
    }

    /// Cuts a worker off in one direction, or heals that: calls arrive, its responses and heartbeats get lost. Its
    /// registration is removed, and restored when the cut heals.
    pub fn set_responses_lost(&self, worker: &Name, are_lost: bool) {
        self.cut_off(worker, are_lost, |known| known.responses_lost = are_lost);
    }

    /// Applies `set` to a worker, and removes or restores its registration.
    fn cut_off(&self, worker: &Name, is_cut: bool, set: impl FnOnce(&mut worker::Worker)) {
        self.shared.change(|state, _now| {
            if let Some(known) = state.workers.get_mut(worker) {
                set(known);
            }
            if is_cut {
                state.unregister(worker);
            } else {
                state.register(worker);
            }
        });
    }

    /// Makes a worker announce that it is draining.
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

    /// Changes a worker's capacity while it runs.
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
            if known.alive && !known.partitioned {
                state.register(worker);
            }
        });
    }

    /// The ids of all running workers.
    pub fn workers(&self) -> Vec<Name> {
        self.shared.change(|state, _now| {
            let running = state.workers.iter().filter(|(_id, worker)| worker.alive);
            running.map(|(id, _worker)| Name::clone(id)).collect()
        })
    }

    /// The workers of a pool that run, can be reached and aren't draining, with their capacities.
    pub fn usable_workers(&self, pool: &str) -> BTreeMap<Name, Demand> {
        let state = self.shared.state.lock();
        let in_use = state
            .instances
            .values()
            .filter(|known| &*known.pool == pool);
        let ids = in_use.filter_map(|known| known.worker.as_ref());
        let workers = ids.filter_map(|id| Some((id, state.workers.get(id)?)));
        let usable = workers
            .filter(|(_id, worker)| worker.alive && !worker.partitioned && !worker.info.draining);
        usable
            .map(|(id, worker)| (Name::clone(id), worker.info.capacity))
            .collect()
    }

    /// Id and address of a worker.
    pub fn target(&self, worker: &Name) -> Target {
        self.shared.change(|state, _now| {
            let info = &state.workers[worker].info;
            Target {
                id: Name::clone(&info.id),
                address: info.address,
            }
        })
    }

    /// The events on workers so far.
    pub fn journal(&self) -> Journal {
        self.shared.change(|state, _now| state.journal.clone())
    }

    /// The reported waves, and whether each was reported as complete.
    pub fn waves(&self) -> BTreeMap<u64, bool> {
        self.shared.change(|state, _now| state.waves.clone())
    }

    /// The current state of the instances.
    pub fn instances(&self) -> Vec<Instance> {
        self.shared
            .change(|state, _now| state.instances.values().cloned().collect())
    }

    /// A random number below `bound` from the site's generator.
    pub fn random(&self, bound: u64) -> u64 {
        self.shared
            .change(|state, _now| state.rng.random_range(0..bound))
    }
}

/// Whether the policy of queues that need advice allows a worker: those whose id ends in an even digit.
pub fn is_allowed(worker: &Name) -> bool {
    worker.bytes().last().is_some_and(|last| last % 2 == 0)
}

/// Initial capacity of every worker: 16 cores and 64 GB.
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
    const WORKERS_PER_RACK: u64 = 3;
    [
        "a".into(),
        format!("r-{}", number / WORKERS_PER_RACK).into(),
    ]
    .into()
}
