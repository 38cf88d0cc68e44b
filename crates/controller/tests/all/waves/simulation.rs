//! A simulated deployment: the platform, the entries and their controllers, with paused time.

use super::{entry::Entry, pausable_client::PausableClient};
use async_trait::async_trait;
use parking_lot::Mutex;
use primroseroute_audit::Keep;
use primroseroute_controller::{
    Components, Controller, Probe, RegisteredEntry, Roster, Timers, jobs,
};
use primroseroute_domain::{
    account::Template,
    id,
    instance::{Row, State},
    outcome::Refusal,
    time::{self, Clock},
};
use primroseroute_fleet::{
    check::View,
    lifecycle::Limits,
    wave::{Limits as WaveLimits, Order, Row as Wave, Scope, State as WaveState, Window},
};
use primroseroute_ledger::{Draft, Ledger, Versioned, key};
use primroseroute_peer::report::Identity;
use primroseroute_platform::fleet::{Listed, Phase};
use primroseroute_standin::platform::{Options, Platform};
use primroseroute_view::{Author, Snapshot, commit_with_retry};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep},
};
use uuid::Uuid;

/// Racks of four workers in each of three availability zones: 52 workers, of which the pools need
/// 49.
const RACKS: [usize; 3] = [5, 4, 4];
const RACK_SIZE: usize = 4;

/// Timeout of any wait in virtual time; only a hanging wave reaches it.
const TIMEOUT: Duration = Duration::from_secs(12 * 3600);

/// The platform's clock, read by every process.
#[derive(Clone, Debug)]
pub struct PlatformClock(Platform);

impl Clock for PlatformClock {
    fn now(&self) -> time::Instant {
        self.0.now()
    }
}

/// Workers that are actually lost, and when that changed.
#[derive(Debug, Default)]
pub struct Losses {
    lost: Mutex<BTreeSet<SocketAddr>>,
    log: Mutex<Vec<(Instant, BTreeSet<SocketAddr>)>>,
}

impl Losses {
    pub fn set(&self, address: SocketAddr, is_lost: bool) {
        let mut lost = self.lost.lock();
        if is_lost {
            lost.insert(address);
        } else {
            lost.remove(&address);
        }
        self.log.lock().push((Instant::now(), lost.clone()));
    }
}

#[async_trait]
impl Probe for Losses {
    async fn is_healthy(&self, address: SocketAddr) -> bool {
        !self.lost.lock().contains(&address)
    }
}

/// Registered entries: always all of them.
#[derive(Debug)]
struct StaticRoster {
    entries: Vec<Arc<Entry>>,
}

#[async_trait]
impl Roster for StaticRoster {
    async fn registered_entries(&self) -> Result<Vec<RegisteredEntry>, Refusal> {
        let registered = |entry: &Arc<Entry>| RegisteredEntry {
            entry: entry.name.clone(),
            report: Some(entry.report()),
        };
        Ok(self.entries.iter().map(registered).collect())
    }
}

/// One entry's controller, which can be paused and killed.
pub struct ControllerProcess {
    pub controller: Controller,
    pub paused: watch::Sender<bool>,
}

pub struct Simulation {
    pub platform: Platform,
    pub entries: Vec<Arc<Entry>>,
    pub controllers: Vec<ControllerProcess>,
    pub losses: Arc<Losses>,
    pub random: ChaCha8Rng,
    pub workers: Vec<Listed>,
    /// Workers whose reboot hung, or that an operator took out: a wave reports them as failed or
    /// skipped and ends without them.
    pub held: BTreeSet<id::Instance>,
    observer: Ledger,
    started: Instant,
    incarnations: u128,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Simulation {
    fn drop(&mut self) {
        for process in &self.controllers {
            process.controller.abort();
        }
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn templates(folder: &str) -> Vec<Template> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(folder);
    let files = fs::read_dir(folder).expect("the example folder exists");
    let text = |file: std::io::Result<fs::DirEntry>| {
        fs::read_to_string(file.expect("an entry").path()).expect("a text file")
    };
    files
        .map(|file| serde_saphyr::from_str(&text(file)).expect("a template"))
        .collect()
}

fn workers() -> Vec<Listed> {
    let mut workers = Vec::new();
    for (zone, racks) in RACKS.iter().enumerate() {
        for rack in 0..*racks {
            for slot in 0..RACK_SIZE {
                let port = u16::try_from(1 + workers.len()).expect("few workers");
                workers.push(Listed {
                    id: format!("z{zone}-r{rack}-w{slot}").parse().expect("a name"),
                    address: ([127, 0, 0, 1], port).into(),
                    zone: format!("z{zone}").parse().expect("a name"),
                    rack: format!("z{zone}-r{rack}").parse().expect("a name"),
                    phase: Phase::Live,
                    boots: 1,
                });
            }
        }
    }
    workers
}

impl Simulation {
    /// The deployment with all workers placed and serving.
    pub async fn open(folder: &str, seed: u64) -> Self {
        let options = Options {
            latency: Duration::from_millis(5),
            jitter: Duration::from_millis(10),
            rates: None,
            list_lag: Duration::from_secs(3),
            ..Options::default()
        };
        let platform = Platform::open(seed, options);
        platform.keep_journal();
        let entries: Vec<_> = (0..3)
            .map(|index| Entry::open(&format!("entry-{index}"), &platform, seed * 10 + index))
            .collect();
        let tasks = entries
            .iter()
            .map(|entry| tokio::spawn(Arc::clone(entry).run()))
            .collect();
        let mut sim = Self {
            observer: Ledger::open(Arc::new(platform.client("onlooker"))),
            platform,
            entries,
            controllers: Vec::new(),
            losses: Arc::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            workers: workers(),
            held: BTreeSet::new(),
            started: Instant::now(),
            incarnations: 0,
            tasks,
        };
        sim.apply(&templates(folder)).await;
        for index in 0..sim.entries.len() {
            let process = sim.start_controller(index);
            sim.controllers.push(process);
        }
        for listed in &sim.workers {
            sim.platform.fleet().add(listed.clone());
        }
        sim.until_placed().await;
        sim
    }

    async fn apply(&self, templates: &[Template]) {
        let head = self.observer.head().await.expect("the store answers");
        let id = Uuid::from_u128(u128::MAX);
        let mut draft = Draft::new(head, self.platform.now(), "operator:test", "set-up", id);
        for template in templates {
            draft.put(key::account(&template.account), None, template);
        }
        self.observer
            .commit(&draft)
            .await
            .expect("no concurrent change");
    }

    /// Starts a new incarnation of the controller of entry `index`.
    pub fn start_controller(&mut self, index: usize) -> ControllerProcess {
        self.incarnations += 1;
        let entry = &self.entries[index];
        let paused = watch::Sender::new(false);
        let client = self.platform.client(&format!("controller-{index}"));
        let pausable_client = Arc::new(PausableClient::open(client.clone(), paused.subscribe()));
        let controller = Controller::spawn(Components {
            identity: Identity {
                entry: entry.name.clone(),
                incarnation: Uuid::from_u128(self.incarnations),
            },
            ledger: Ledger::open(Arc::clone(&pausable_client) as _),
            cell: Arc::default(),
            clock: Arc::new(PlatformClock(self.platform.clone())),
            instances: pausable_client,
            objects: Arc::new(client.clone()),
            tasks: Arc::new(client),
            jobs: jobs::Settings::default(),
            keep: Keep::default(),
            probe: Arc::clone(&self.losses) as _,
            roster: Arc::new(StaticRoster {
                entries: self.entries.clone(),
            }),
            weights: primroseroute_fleet::placement::Weights::default(),
            limits: Limits::default(),
            timers: Timers {
                cycle: Duration::from_secs(2),
                ..Timers::default()
            },
        });
        ControllerProcess { controller, paused }
    }

    /// Kills the controller of entry `index` and starts a new incarnation.
    pub fn restart(&mut self, index: usize) {
        self.controllers[index].controller.abort();
        let process = self.start_controller(index);
        self.controllers[index] = process;
    }

    async fn rows(&self) -> Vec<Row> {
        loop {
            match self.observer.scan::<Versioned<Row>>(key::INSTANCES).await {
                Ok(rows) => return rows.into_iter().map(|(_, row)| row.value).collect(),
                Err(_) => sleep(Duration::from_secs(1)).await,
            }
        }
    }

    /// Waits until every worker is registered and placement is stable.
    async fn until_placed(&self) {
        let give_up = Instant::now() + TIMEOUT;
        let mut before = Vec::new();
        loop {
            let rows = self.rows().await;
            let is_settled = |row: &Row| matches!(row.state, State::Serving | State::Probation);
            if rows.len() == self.workers.len() && rows.iter().all(is_settled) && rows == before {
                return;
            }
            assert!(Instant::now() < give_up, "{rows:?}");
            before = rows;
            sleep(Duration::from_secs(60)).await;
        }
    }

    /// Commits one change as an operator would, without retrying after a refusal.
    pub async fn operate(
        &self,
        decide: &(dyn Fn(&Snapshot, &mut Draft) -> Result<(), Refusal> + Sync),
    ) -> Result<(), Refusal> {
        let author = Author {
            actor: "operator:test".into(),
            reason: "test".into(),
            guards: Vec::new(),
        };
        let clock = PlatformClock(self.platform.clone());
        let cell = primroseroute_view::SnapshotCell::default();
        commit_with_retry(&self.observer, &cell, &clock, &author, decide)
            .await
            .map(|_done| ())
    }

    /// Starts a wave over all instances.
    pub async fn start_wave(&self, name: &str) {
        let order = Order {
            id: name.parse().expect("a name"),
            scope: Scope::default(),
            window: Window::default(),
            limits: WaveLimits {
                reboot_seconds: 60,
                ..WaveLimits::default()
            },
        };
        let now = self.platform.now();
        let decide = |_: &Snapshot, draft: &mut Draft| {
            draft.put(key::wave(&order.id), None, &Wave::begin(order.clone(), now));
            Ok(())
        };
        self.operate(&decide).await.expect("the store answers");
    }

    /// Clears every fault: partitions, pauses, losses, and drains by operators.
    pub async fn clear_faults(&mut self) {
        self.platform.faults().clear();
        for entry in &self.entries {
            entry
                .partitioned
                .store(false, std::sync::atomic::Ordering::SeqCst);
        }
        for process in &self.controllers {
            process.paused.send_replace(false);
        }
        for listed in &self.workers {
            self.losses.set(listed.address, false);
            let reboot =
                primroseroute_standin::platform::fleet::Reboot::Takes(Duration::from_secs(60));
            self.platform.fleet().set_reboot(&listed.id, reboot);
        }
        super::fault::release_all(self).await;
    }

    /// Waits until the wave has ended; resumes it when it halts, as an operator would.
    pub async fn until_ended(&self, name: &str) -> Wave {
        let name: id::Wave = name.parse().expect("a name");
        let give_up = Instant::now() + TIMEOUT;
        loop {
            let found = self.observer.read::<Wave>(&key::wave(&name)).await;
            let wave = found
                .expect("the store answers")
                .expect("the wave exists")
                .value;
            if wave.state == WaveState::Halted {
                super::fault::resume(self, &name).await;
            }
            if wave.state.has_ended() {
                return wave;
            }
            assert!(Instant::now() < give_up, "{wave:?}");
            sleep(Duration::from_secs(10)).await;
        }
    }

    /// Asserts that every instance was rebooted, except for those that the wave reports as failed
    /// or could not reboot: their reboots hung, an operator took them out, or they were lost.
    pub fn assert_all_maintained(&self, wave: &Wave, seed: u64) {
        let losses = self.losses();
        let excused = |id: &id::Instance| {
            self.held.contains(id) || losses.iter().any(|(_, lost)| lost.contains(id))
        };
        let truth = self.platform.fleet().truth();
        let is_left = |listed: &&Listed| listed.boots < 2 && !excused(&listed.id);
        let left: Vec<_> = truth.iter().filter(is_left).collect();
        assert!(
            left.is_empty(),
            "seed {seed}: {wave:?} has ended without rebooting {left:?}"
        );
        let twice: Vec<_> = truth.iter().filter(|listed| listed.boots > 2).collect();
        assert!(
            twice.is_empty(),
            "seed {seed}: {twice:?} were rebooted more than once"
        );
    }

    pub fn views(&self) -> BTreeMap<id::Entry, Vec<(Instant, View)>> {
        self.entries
            .iter()
            .map(|entry| (entry.name.clone(), entry.log()))
            .collect()
    }

    /// Which instances were actually lost, from which time on.
    pub fn losses(&self) -> Vec<(Instant, BTreeSet<id::Instance>)> {
        let name = |address: &SocketAddr| {
            let worker = self
                .workers
                .iter()
                .find(|listed| listed.address == *address);
            worker
                .expect("every address belongs to a worker")
                .id
                .clone()
        };
        let log = self.losses.log.lock();
        log.iter()
            .map(|(at, lost)| (*at, lost.iter().map(name).collect()))
            .collect()
    }

    pub fn epoch(&self) -> Instant {
        self.started
    }
}
