//! The platform in memory: table, object store, instance list and tasks, with settable faults.
//!
//! A call passes the same stages as over a network: the request's half of the latency, the rate
//! limit, the effect at one instant, the answer's half of the latency. [`fault::Faults`] can end a
//! call at each stage, and the caller gets the error that it would conclude from there.
//!
//! Lock order: fleet, then tasks. Every other lock is taken alone, and none is held over an await.

pub mod fault;
pub mod fleet;
mod gate;
mod object;
pub mod table;
pub mod tally;
pub mod task;

use fault::Faults;
use gate::Caller;
use parking_lot::Mutex;
use primroseroute_domain::time;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use std::{collections::BTreeMap, fmt, sync::Arc, time::Duration};
use tally::Tally;
use tokio::time::Instant;

/// Name of the handle that [`Platform::open`] returns, in tallies.
pub const ROOT: &str = "root";

/// How the platform behaves before any fault is set.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Latency of each call, both ways together.
    pub latency: Duration,
    /// Further latency, uniform from zero to this.
    pub jitter: Duration,
    /// Limits on the table and the object store together; none for no limit.
    pub rates: Option<fault::Rates>,
    /// How far the list of instances lags behind.
    pub list_lag: Duration,
    /// How long a reboot takes.
    pub reboot: Duration,
    /// How far the reports of tasks lag behind.
    pub report_lag: Duration,
    /// What a task does that has no script of its own.
    pub script: task::Script,
    /// The wall-clock instant of `open`.
    pub epoch: time::Instant,
}

impl Default for Options {
    /// No latency, no lag, the brief's rates, and reboots of 60 s.
    fn default() -> Self {
        Self {
            latency: Duration::ZERO,
            jitter: Duration::ZERO,
            rates: Some(fault::Rates::default()),
            list_lag: Duration::ZERO,
            reboot: Duration::from_secs(60),
            report_lag: Duration::ZERO,
            script: task::Script::default(),
            epoch: time::Instant(1_800_000_000_000),
        }
    }
}

pub(crate) struct Shared {
    epoch: time::Instant,
    opened: Instant,
    rng: Mutex<ChaCha8Rng>,
    root: Arc<Caller>,
    callers: Mutex<BTreeMap<Arc<str>, Arc<Caller>>>,
    rows: Mutex<table::Rows>,
    objects: Mutex<object::Objects>,
    fleet: Mutex<fleet::State>,
    tasks: Mutex<task::State>,
}

impl Shared {
    /// The wall-clock instant `at`, by the platform's clock.
    fn wall(&self, at: Instant) -> time::Instant {
        self.epoch.after(at.saturating_duration_since(self.opened))
    }
}

/// A handle on the platform; it implements every trait of the platform, and clones are cheap.
///
/// The handle that [`Platform::open`] returns stands for the whole: its faults hit every caller and
/// its tally counts them all. A handle from [`Platform::client`] is one caller's.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<Shared>,
    caller: Arc<Caller>,
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Platform").field(&self.caller.tag()).finish()
    }
}

impl Platform {
    /// Opens an empty platform whose jitter comes from `seed`.
    pub fn open(seed: u64, options: Options) -> Self {
        let root = Arc::new(Caller::new(ROOT.into(), Faults::of(options)));
        let shared = Shared {
            epoch: options.epoch,
            opened: Instant::now(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            root: Arc::clone(&root),
            callers: Mutex::default(),
            rows: Mutex::default(),
            objects: Mutex::default(),
            fleet: Mutex::new(fleet::State::new(options.list_lag, options.reboot)),
            tasks: Mutex::new(task::State::new(options.report_lag, options.script)),
        };
        Self {
            shared: Arc::new(shared),
            caller: root,
        }
    }

    /// The handle of the caller `tag`; the same tag is the same caller.
    pub fn client(&self, tag: &str) -> Self {
        let mut callers = self.shared.callers.lock();
        let caller = callers
            .entry(tag.into())
            .or_insert_with(|| Arc::new(Caller::new(tag.into(), Faults::none())));
        Self {
            shared: Arc::clone(&self.shared),
            caller: Arc::clone(caller),
        }
    }

    /// The faults of this handle: of every caller for the whole, else of the one caller.
    pub fn faults(&self) -> &Faults {
        &self.caller.faults
    }

    /// What was called through this handle, or through any where it is the whole.
    pub fn tally(&self) -> Tally {
        self.caller.tally()
    }

    /// The tallies of all callers by tag.
    pub fn tallies(&self) -> BTreeMap<Arc<str>, Tally> {
        let callers = self.shared.callers.lock();
        callers
            .iter()
            .map(|(tag, caller)| (Arc::clone(tag), caller.tally()))
            .collect()
    }

    /// The instances, to be changed as the platform would.
    pub fn fleet(&self) -> fleet::Fleet {
        fleet::Fleet::new(Arc::clone(&self.shared))
    }

    /// The tasks, to be scripted and inspected.
    pub fn tasks(&self) -> task::Ledger {
        task::Ledger::new(Arc::clone(&self.shared))
    }

    /// The platform's wall clock.
    pub fn now(&self) -> time::Instant {
        self.shared.wall(Instant::now())
    }
}
