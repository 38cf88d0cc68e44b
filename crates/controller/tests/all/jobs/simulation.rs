//! Controllers over the platform stand-in, with paused time; operators write rows directly.

use async_trait::async_trait;
use parking_lot::Mutex;
use primroseroute_audit::Keep;
use primroseroute_controller::{
    Components, Controller, Probe, RegisteredEntry, Roster, Timers, jobs::Settings,
};
use primroseroute_domain::{
    account::{Budget, Pool, Survive, Template},
    id, instance,
    outcome::Refusal,
    time::{self, Clock},
};
use primroseroute_jobs::{Row, State};
use primroseroute_ledger::{Ledger, Versioned, key};
use primroseroute_peer::report::{Drain, Identity, Load, Report};
use primroseroute_platform::{
    fleet::{Listed, Phase},
    task::Resources,
};
use primroseroute_standin::platform::{
    Options, Platform,
    fault::Outage,
    task::{Ending, Script},
};
use primroseroute_view::{Snapshot, SnapshotCell, poll};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time::sleep;
use uuid::Uuid;

/// Parts of the platform, each called through its own client.
const PARTS: [&str; 3] = ["table", "list", "tasks"];

pub const SECOND: Duration = Duration::from_secs(1);

/// Instances of pool `a`, one of which may be unavailable.
pub const WORKERS: u32 = 6;

pub fn name<T: std::str::FromStr<Err = id::Malformed>>(text: &str) -> T {
    text.parse().expect("a name")
}

#[derive(Debug)]
pub struct PlatformClock(Platform);

impl Clock for PlatformClock {
    fn now(&self) -> time::Instant {
        self.0.now()
    }
}

#[derive(Debug)]
struct AlwaysHealthy;

#[async_trait]
impl Probe for AlwaysHealthy {
    async fn is_healthy(&self, _address: SocketAddr) -> bool {
        true
    }
}

/// One entry that acknowledges every drain in its view, with nothing in flight but the given loads.
#[derive(Debug)]
struct SingleEntry {
    cell: Arc<SnapshotCell>,
    loads: Arc<Mutex<BTreeMap<id::Instance, u16>>>,
    hide_entries: Arc<AtomicBool>,
}

#[async_trait]
impl Roster for SingleEntry {
    async fn registered_entries(&self) -> Result<Vec<RegisteredEntry>, Refusal> {
        if self.hide_entries.load(Ordering::Relaxed) {
            return Ok(Vec::new());
        }
        let snapshot = self.cell.current();
        let drain = |(name, row): (&id::Instance, &Versioned<instance::Row>)| {
            let seq = row.version;
            (name.clone(), Drain { seq, in_flight: 0 })
        };
        let load = |(name, count): (&id::Instance, &u16)| {
            let load = Load {
                in_flight: *count,
                demand: *count,
            };
            (name.clone(), load)
        };
        let report = Report {
            seq: snapshot.seq(),
            drains: snapshot.instances().iter().map(drain).collect(),
            loads: self.loads.lock().iter().map(load).collect(),
            ..Report::new(Identity {
                entry: name("e"),
                incarnation: Uuid::nil(),
            })
        };
        Ok(vec![RegisteredEntry {
            entry: name("e"),
            report: Some(report),
        }])
    }
}

/// A pool of workers, controllers, and an operator.
pub struct Simulation {
    pub platform: Platform,
    pub ledger: Ledger,
    pub loads: Arc<Mutex<BTreeMap<id::Instance, u16>>>,
    /// Whether the list of registrations is returned empty.
    pub hide_entries: Arc<AtomicBool>,
    controllers: BTreeMap<String, Controller>,
    pub cell: SnapshotCell,
    pub clock: PlatformClock,
}

fn template(pool: &str, promised: u32) -> Template {
    let pool = Pool {
        name: name(pool),
        budget: Budget {
            promised,
            max_absent: 1,
            survive: Survive::Nothing,
        },
        services: Vec::new(),
    };
    Template {
        account: pool.name.as_str().parse().expect("a name"),
        share: 1,
        tokens: Vec::new(),
        pools: vec![pool],
    }
}

fn worker(number: u32, now: time::Instant) -> instance::Row {
    instance::Row {
        id: name(&format!("w{number}")),
        address: ([127, 0, 0, 1], 1).into(),
        zone: name("z"),
        rack: name("r"),
        pool: Some(name("a")),
        state: instance::State::Serving,
        purpose: None,
        since: now,
        maintained: None,
    }
}

fn listed(row: &instance::Row) -> Listed {
    Listed {
        id: row.id.clone(),
        address: row.address,
        zone: row.zone.clone(),
        rack: row.rack.clone(),
        phase: Phase::Live,
        boots: 1,
    }
}

impl Simulation {
    /// Pool `a` with six workers and a promise of `promised`, and an empty pool `b`.
    pub async fn open(seed: u64, promised: u32) -> Self {
        Self::open_with(seed, promised, WORKERS).await
    }

    /// As [`Self::open`], with this many workers.
    pub async fn open_with(seed: u64, promised: u32, workers: u32) -> Self {
        let platform = Platform::open(
            seed,
            Options {
                latency: Duration::from_millis(5),
                jitter: Duration::from_millis(20),
                report_lag: 5 * SECOND,
                script: Script {
                    length: 40 * SECOND,
                    ..Script::default()
                },
                ..Options::default()
            },
        );
        let sim = Self {
            ledger: Ledger::open(Arc::new(platform.client("operator"))),
            loads: Arc::default(),
            hide_entries: Arc::default(),
            controllers: BTreeMap::new(),
            cell: SnapshotCell::default(),
            clock: PlatformClock(platform.clone()),
            platform,
        };
        let now = sim.clock.now();
        sim.change(|_, draft| {
            for (pool, promised) in [("a", promised), ("b", 0)] {
                let template = template(pool, promised);
                draft.put(key::account(&template.account), None, &template);
            }
            for number in 0..workers {
                let row = worker(number, now);
                draft.put(key::instance(&row.id), None, &row);
            }
        })
        .await;
        for number in 0..workers {
            sim.platform.fleet().add(listed(&worker(number, now)));
        }
        sim
    }

    /// The client through which the controller `entry` calls a part of the platform.
    pub fn client(&self, entry: &str, part: &str) -> Platform {
        self.platform.client(&format!("{entry}-{part}"))
    }

    /// Makes every call of the controller `entry` hang for `hang`, as if its process were suspended.
    pub fn pause(&self, entry: &str, hang: Duration) {
        for part in PARTS {
            let client = self.client(entry, part);
            client.faults().set_outage(Some(Outage::Hang(hang)));
        }
    }

    /// Clears all faults of the controller `entry`.
    pub fn resume(&self, entry: &str) {
        for part in PARTS {
            self.client(entry, part).faults().clear();
        }
    }

    /// Starts the controller `entry`.
    pub fn start(&mut self, entry: &str) {
        let table = Arc::new(self.client(entry, "table"));
        let cell: Arc<SnapshotCell> = Arc::default();
        let controller = Controller::spawn(Components {
            identity: Identity {
                entry: name(entry),
                incarnation: Uuid::new_v4(),
            },
            ledger: Ledger::open(Arc::clone(&table) as _),
            cell: Arc::clone(&cell),
            clock: Arc::new(PlatformClock(self.platform.clone())),
            instances: Arc::new(self.client(entry, "list")),
            tasks: Arc::new(self.client(entry, "tasks")),
            jobs: Settings::default(),
            objects: table,
            keep: Keep::default(),
            probe: Arc::new(AlwaysHealthy),
            roster: Arc::new(SingleEntry {
                cell,
                loads: Arc::clone(&self.loads),
                hide_entries: Arc::clone(&self.hide_entries),
            }),
            weights: primroseroute_fleet::placement::Weights::default(),
            limits: primroseroute_fleet::lifecycle::Limits::default(),
            timers: Timers::default(),
        });
        self.controllers.insert(entry.to_owned(), controller);
    }

    /// Kills the controller `entry`; its lease has to expire.
    pub fn kill(&mut self, entry: &str) {
        let controller = self.controllers.remove(entry).expect("the controller runs");
        controller.abort();
    }

    /// Names of the running controllers.
    pub fn running(&self) -> Vec<String> {
        self.controllers.keys().cloned().collect()
    }

    /// The newest rows.
    pub async fn snapshot(&self) -> Arc<Snapshot> {
        while poll(&self.ledger, &self.cell).await.is_err() {
            sleep(SECOND).await;
        }
        self.cell.current()
    }

    pub async fn jobs(&self) -> BTreeMap<id::Job, Versioned<Row>> {
        jobs_of(self.snapshot().await.as_ref())
    }

    pub async fn state(&self, job: &str) -> State {
        self.jobs().await[&name(job)].value.state.clone()
    }

    pub async fn instance(&self, at: &str) -> instance::Row {
        self.snapshot().await.instances()[&name(at)].value.clone()
    }

    /// Waits until every job has ended, at most `limit`; returns those that have not.
    pub async fn until_ended(&self, limit: Duration) -> Vec<Row> {
        let mut open = Vec::new();
        for _ in 0..limit.as_secs() / 5 {
            let rows = self.jobs().await.into_values().map(|row| row.value);
            let waits = |row: &Row| row.state == State::Queued || row.state.instance().is_some();
            open = rows.filter(waits).collect();
            if open.is_empty() {
                break;
            }
            sleep(5 * SECOND).await;
        }
        open
    }

    /// Number of starts so far.
    pub fn starts(&self) -> usize {
        self.platform.tasks().runs().len()
    }

    /// Number of jobs that actually run on `at`.
    pub fn running_at(&self, at: &str) -> usize {
        let at: id::Instance = name(at);
        let runs = self.platform.tasks().runs();
        runs.iter()
            .filter(|run| run.instance == at && run.ended.is_none())
            .count()
    }

    /// Panics if two runs of one job have ever overlapped.
    pub fn assert_single(&self) {
        let overlaps = self.platform.tasks().overlaps();
        assert!(overlaps.is_empty(), "{overlaps:#?}");
    }
}

pub fn jobs_of(snapshot: &Snapshot) -> BTreeMap<id::Job, Versioned<Row>> {
    snapshot
        .rows_with_prefix(key::JOBS)
        .expect("job rows can be decoded")
}

/// `count` numbered names with a prefix.
pub fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{prefix}{n}")).collect()
}

/// Resources of which one worker fits four.
pub fn quarter() -> Resources {
    Resources {
        cores: 16.0,
        memory: 1e9,
        accelerators: 0.0,
    }
}

/// A run of `length` that ends with `ending`.
pub fn script(length: Duration, ending: Ending) -> Script {
    Script {
        length,
        ending,
        ..Script::default()
    }
}

/// Resources of which one worker fits 64.
pub fn small() -> Resources {
    Resources {
        cores: 1.0,
        ..quarter()
    }
}
