//! The platform in memory: table, object store, instance list and tasks, with fault injection.
//!
//! A call passes the same stages as over a network: half of the latency for the request, the rate
//! limit, the effect at one instant, half of the latency for the response. [`fault::Faults`] can
//! end a call at each stage; the caller then gets the error that a real client would report.
//!
//! Lock order: fleet, then tasks. No other lock is taken while one is held, and none is held across
//! an await.

mod call;
pub mod fault;
pub mod fleet;
mod object;
pub mod table;
pub mod tally;
pub mod task;

use call::Caller;
use fault::Faults;
use parking_lot::Mutex;
use primroseroute_domain::time;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use std::{collections::BTreeMap, fmt, sync::Arc, time::Duration};
use tally::Tally;
use tokio::time::Instant;

/// Name in tallies of the handle that [`Platform::open`] returns.
pub const ROOT: &str = "root";

/// How the platform behaves before any fault is set.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Round-trip latency of each call.
    pub latency: Duration,
    /// Upper bound of the uniformly distributed latency that is added to each call.
    pub jitter: Duration,
    /// Rate limits shared by the table and the object store; unlimited if none.
    pub rates: Option<fault::Rates>,
    /// Age of the list of instances.
    pub list_lag: Duration,
    /// Duration of a reboot.
    pub reboot: Duration,
    /// Age of the reports of tasks.
    pub report_lag: Duration,
    /// Behaviour of tasks whose job has no script.
    pub script: task::Script,
    /// Wall-clock time at which the platform opens.
    pub epoch: time::Instant,
}

impl Default for Options {
    /// No latency, no lag, the default rate limits and reboots of 60 s.
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
    /// Converts `at` to the platform's wall clock.
    fn wall(&self, at: Instant) -> time::Instant {
        self.epoch.after(at.saturating_duration_since(self.opened))
    }
}

/// A handle on the platform; it implements every trait of the platform, and clones are cheap.
///
/// The handle that [`Platform::open`] returns is for the whole platform: its faults apply to every
/// caller, and its tally counts the calls of all. A handle from [`Platform::client`] belongs to one
/// caller.
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

    /// The handle of the caller `tag`; handles with the same tag share faults and tally.
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

    /// The faults of this handle's caller; on the handle for the whole platform, of every caller.
    pub fn faults(&self) -> &Faults {
        &self.caller.faults
    }

    /// Counts the calls of this handle's caller; on the handle for the whole platform, of every
    /// caller.
    pub fn tally(&self) -> Tally {
        self.caller.tally()
    }

    /// The tallies of all callers, by tag.
    pub fn tallies(&self) -> BTreeMap<Arc<str>, Tally> {
        let callers = self.shared.callers.lock();
        callers
            .iter()
            .map(|(tag, caller)| (Arc::clone(tag), caller.tally()))
            .collect()
    }

    /// Control of the simulated instances.
    pub fn fleet(&self) -> fleet::Fleet {
        fleet::Fleet::new(Arc::clone(&self.shared))
    }

    /// Control and inspection of the simulated tasks.
    pub fn tasks(&self) -> task::Ledger {
        task::Ledger::new(Arc::clone(&self.shared))
    }

    /// Current time of the platform's wall clock.
    pub fn now(&self) -> time::Instant {
        self.shared.wall(Instant::now())
    }
}
