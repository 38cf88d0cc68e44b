//! Controllers over the platform's stand-in, under paused time; operators write rows directly.

use async_trait::async_trait;
use parking_lot::Mutex;
use primroseroute_audit::Keep;
use primroseroute_controller::{Controller, Parts, Probe, Roster, Timers, Voice, jobs::Settings};
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
use primroseroute_view::{Cell, Snapshot, poll};
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

/// The parts of the platform, each called by a client of its own.
const PARTS: [&str; 3] = ["table", "list", "tasks"];

pub const SECOND: Duration = Duration::from_secs(1);

/// Instances of the pool `a`; one of them may be out.
pub const WORKERS: u32 = 6;

pub fn name<T: std::str::FromStr<Err = id::Malformed>>(text: &str) -> T {
    text.parse().expect("a name")
}

#[derive(Debug)]
pub struct Wall(Platform);

impl Clock for Wall {
    fn now(&self) -> time::Instant {
        self.0.now()
    }
}

#[derive(Debug)]
struct Well;

#[async_trait]
impl Probe for Well {
    async fn is_well(&self, _address: SocketAddr) -> bool {
        true
    }
}

/// One entry that acknowledges what its view has, with nothing in flight but the given loads.
#[derive(Debug)]
struct Desk {
    cell: Arc<Cell>,
    loads: Arc<Mutex<BTreeMap<id::Instance, u16>>>,
    mute: Arc<AtomicBool>,
}

#[async_trait]
impl Roster for Desk {
    async fn voices(&self) -> Result<Vec<Voice>, Refusal> {
        if self.mute.load(Ordering::Relaxed) {
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
        Ok(vec![Voice {
            entry: name("e"),
            report: Some(report),
        }])
    }
}

/// A pool of workers, controllers, and an operator.
pub struct World {
    pub platform: Platform,
    pub ledger: Ledger,
    pub loads: Arc<Mutex<BTreeMap<id::Instance, u16>>>,
    /// Whether the registrations read as empty.
    pub mute: Arc<AtomicBool>,
    controllers: BTreeMap<String, Controller>,
    pub cell: Cell,
    pub clock: Wall,
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

impl World {
    /// Six workers in pool `a`, of which `promised` are promised, and an empty pool `b`.
    pub async fn open(seed: u64, promised: u32) -> Self {
        Self::open_with(seed, promised, WORKERS).await
    }

    /// The same with this many workers.
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
        let world = Self {
            ledger: Ledger::open(Arc::new(platform.client("operator"))),
            loads: Arc::default(),
            mute: Arc::default(),
            controllers: BTreeMap::new(),
            cell: Cell::default(),
            clock: Wall(platform.clone()),
            platform,
        };
        let now = world.clock.now();
        world
            .change(|_, draft| {
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
            world.platform.fleet().add(listed(&worker(number, now)));
        }
        world
    }

    /// The client that the controller `entry` calls a part of the platform by.
    pub fn client(&self, entry: &str, part: &str) -> Platform {
        self.platform.client(&format!("{entry}-{part}"))
    }

    /// Has every call of the controller `entry` hang for `hang`, as if its process were paused.
    pub fn pause(&self, entry: &str, hang: Duration) {
        for part in PARTS {
            let client = self.client(entry, part);
            client.faults().set_outage(Some(Outage::Hang(hang)));
        }
    }

    /// Ends every fault of the controller `entry`.
    pub fn wake(&self, entry: &str) {
        for part in PARTS {
            self.client(entry, part).faults().clear();
        }
    }

    /// Starts the controller `entry`.
    pub fn start(&mut self, entry: &str) {
        let table = Arc::new(self.client(entry, "table"));
        let cell: Arc<Cell> = Arc::default();
        let controller = Controller::spawn(Parts {
            identity: Identity {
                entry: name(entry),
                incarnation: Uuid::new_v4(),
            },
            ledger: Ledger::open(Arc::clone(&table) as _),
            cell: Arc::clone(&cell),
            clock: Arc::new(Wall(self.platform.clone())),
            instances: Arc::new(self.client(entry, "list")),
            tasks: Arc::new(self.client(entry, "tasks")),
            jobs: Settings::default(),
            objects: table,
            keep: Keep::default(),
            probe: Arc::new(Well),
            roster: Arc::new(Desk {
                cell,
                loads: Arc::clone(&self.loads),
                mute: Arc::clone(&self.mute),
            }),
            weights: primroseroute_fleet::placement::Weights::default(),
            limits: primroseroute_fleet::lifecycle::Limits::default(),
            timers: Timers::default(),
        });
        self.controllers.insert(entry.to_owned(), controller);
    }

    /// Kills the controller `entry`: its lease is left to lapse.
    pub fn kill(&mut self, entry: &str) {
        let controller = self.controllers.remove(entry).expect("it runs");
        controller.abort();
    }

    /// The running controllers' names.
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

    /// Waits until every job has ended, at most `limit`; then says which haven't.
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

    /// Every start so far.
    pub fn starts(&self) -> usize {
        self.platform.tasks().runs().len()
    }

    /// Jobs whose run truly goes on at `at`.
    pub fn running_at(&self, at: &str) -> usize {
        let at: id::Instance = name(at);
        let runs = self.platform.tasks().runs();
        runs.iter()
            .filter(|run| run.instance == at && run.ended.is_none())
            .count()
    }

    /// Fails where two runs of one job were ever under way together.
    pub fn assert_single(&self) {
        let overlaps = self.platform.tasks().overlaps();
        assert!(overlaps.is_empty(), "{overlaps:#?}");
    }
}

pub fn jobs_of(snapshot: &Snapshot) -> BTreeMap<id::Job, Versioned<Row>> {
    snapshot.under(key::JOBS).expect("job rows are readable")
}

/// `count` names with a prefix.
pub fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{prefix}{n}")).collect()
}

/// So much that one worker takes four.
pub fn quarter() -> Resources {
    Resources {
        cores: 16.0,
        memory: 1e9,
        accelerators: 0.0,
    }
}

/// A script of `length` with `ending`.
pub fn script(length: Duration, ending: Ending) -> Script {
    Script {
        length,
        ending,
        ..Script::default()
    }
}

/// So much that one worker takes 64.
pub fn small() -> Resources {
    Resources {
        cores: 1.0,
        ..quarter()
    }
}
