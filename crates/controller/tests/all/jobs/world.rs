//! Controllers over the platform's stand-in, under paused time; operators write rows directly.

use async_trait::async_trait;
use parking_lot::Mutex;
use primroseroute_audit::Keep;
use primroseroute_controller::{Controller, Parts, Probe, Roster, Timers, Voice, jobs::Settings};
use primroseroute_domain::{
    account::{Budget, Pool, Survive, Template},
    id,
    instance::{self, Purpose},
    outcome::Refusal,
    time::{self, Clock},
};
use primroseroute_jobs::{Kind, Row, State};
use primroseroute_ledger::{Draft, Ledger, Versioned, key};
use primroseroute_peer::report::{Drain, Identity, Load, Report};
use primroseroute_platform::{
    fleet::{Listed, Phase},
    task::{Resources, Token},
};
use primroseroute_standin::platform::{
    Options, Platform,
    task::{Ending, Script},
};
use primroseroute_view::{Author, Cell, Snapshot, amend, poll};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::sleep;
use uuid::Uuid;

pub const SECOND: Duration = Duration::from_secs(1);

/// Instances of the pool `a`; one of them may be out.
pub const WORKERS: u32 = 6;

pub fn name<T: std::str::FromStr<Err = id::Malformed>>(text: &str) -> T {
    text.parse().expect("a name")
}

#[derive(Debug)]
struct Wall(Platform);

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
}

#[async_trait]
impl Roster for Desk {
    async fn voices(&self) -> Result<Vec<Voice>, Refusal> {
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
    controllers: BTreeMap<String, Controller>,
    cell: Cell,
    clock: Wall,
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
                for number in 0..WORKERS {
                    let row = worker(number, now);
                    draft.put(key::instance(&row.id), None, &row);
                }
            })
            .await;
        for number in 0..WORKERS {
            world.platform.fleet().add(listed(&worker(number, now)));
        }
        world
    }

    /// An operator's change, tried until the store takes it.
    pub async fn change(&self, decide: impl Fn(&Snapshot, &mut Draft) + Sync) {
        let author = Author {
            actor: "operator:test".into(),
            reason: "".into(),
            guards: Vec::new(),
        };
        let decide = |snapshot: &Snapshot, draft: &mut Draft| {
            decide(snapshot, draft);
            Ok(())
        };
        while let Err(refusal) =
            amend(&self.ledger, &self.cell, &self.clock, &author, &decide).await
        {
            let _ = refusal;
            sleep(SECOND).await;
        }
    }

    /// Starts the controller `entry`, which calls the platform as the client of its name.
    pub fn start(&mut self, entry: &str) {
        let client = Arc::new(self.platform.client(entry));
        let cell: Arc<Cell> = Arc::default();
        let controller = Controller::spawn(Parts {
            identity: Identity {
                entry: name(entry),
                incarnation: Uuid::new_v4(),
            },
            ledger: Ledger::open(Arc::clone(&client) as _),
            cell: Arc::clone(&cell),
            clock: Arc::new(Wall(self.platform.clone())),
            instances: Arc::clone(&client) as _,
            tasks: Arc::clone(&client) as _,
            jobs: Settings::default(),
            objects: client,
            keep: Keep::default(),
            probe: Arc::new(Well),
            roster: Arc::new(Desk {
                cell,
                loads: Arc::clone(&self.loads),
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

    /// Submits jobs of `kind` in one change.
    pub async fn submit(&self, jobs: &[String], kind: &str, declared: Resources) {
        let now = self.clock.now();
        self.change(|_, draft| {
            for job in jobs {
                let kind = Kind(kind.into());
                let row = Row::submit(name(job), name("a"), name("a"), kind, declared, now);
                let row = Row {
                    token: Token(draft.seq().0),
                    ..row
                };
                draft.put(key::job(&row.id), None, &row);
            }
        })
        .await;
    }

    /// Cancels jobs as an operator does, in one change.
    pub async fn cancel(&self, jobs: &[String]) {
        self.change(|snapshot, draft| {
            let rows = jobs_of(snapshot);
            for job in jobs {
                let Some(found) = rows.get(&name(job)) else {
                    continue;
                };
                let state = match &found.value.state {
                    State::Running(at) => State::Cancelling(at.clone()),
                    State::Queued | State::Parked(_) => State::Cancelled,
                    _ => continue,
                };
                let row = Row {
                    state,
                    ..found.value.clone()
                };
                draft.put(key::job(&row.id), Some(found.version), &row);
            }
        })
        .await;
    }

    /// Writes the instance `at` in `state`.
    pub async fn put(&self, at: &str, state: instance::State, purpose: Option<Purpose>) {
        let at: id::Instance = name(at);
        let now = self.clock.now();
        self.change(|snapshot, draft| {
            let found = &snapshot.instances()[&at];
            let row = instance::Row {
                state,
                purpose: purpose.clone(),
                since: now,
                ..found.value.clone()
            };
            draft.put(key::instance(&at), Some(found.version), &row);
        })
        .await;
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

fn jobs_of(snapshot: &Snapshot) -> BTreeMap<id::Job, Versioned<Row>> {
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
