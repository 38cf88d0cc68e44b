//! A deployment with its platform, its entries and their controllers, under paused time.

use super::{entry::Entry, stall::Stall};
use async_trait::async_trait;
use parking_lot::Mutex;
use primroseroute_audit::Keep;
use primroseroute_controller::{Controller, Parts, Probe, Roster, Timers, Voice, jobs};
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
use primroseroute_view::{Author, Snapshot, amend};
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

/// Racks of four in each of three zones: 52 workers, of which the pools need 49.
const RACKS: [usize; 3] = [5, 4, 4];
const RACK: usize = 4;

/// Longest virtual time that anything may take; only a wave that hangs gets there.
const PATIENCE: Duration = Duration::from_secs(12 * 3600);

/// The platform's clock as every process reads it.
#[derive(Clone, Debug)]
pub struct PlatformClock(Platform);

impl Clock for PlatformClock {
    fn now(&self) -> time::Instant {
        self.0.now()
    }
}

/// Workers that are truly lost, and when that changed.
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
    async fn is_well(&self, address: SocketAddr) -> bool {
        !self.lost.lock().contains(&address)
    }
}

/// The registered entries: all of them, always.
#[derive(Debug)]
struct All {
    entries: Vec<Arc<Entry>>,
}

#[async_trait]
impl Roster for All {
    async fn voices(&self) -> Result<Vec<Voice>, Refusal> {
        let voice = |entry: &Arc<Entry>| Voice {
            entry: entry.name.clone(),
            report: Some(entry.report()),
        };
        Ok(self.entries.iter().map(voice).collect())
    }
}

/// One entry's controller, which may be paused and killed.
pub struct Seat {
    pub controller: Controller,
    pub paused: watch::Sender<bool>,
}

pub struct World {
    pub platform: Platform,
    pub entries: Vec<Arc<Entry>>,
    pub seats: Vec<Seat>,
    pub losses: Arc<Losses>,
    pub random: ChaCha8Rng,
    pub workers: Vec<Listed>,
    /// Workers whose reboot never came back, or that an operator held out: a wave reports them as
    /// failed or skipped and ends without them.
    pub held: BTreeSet<id::Instance>,
    onlooker: Ledger,
    started: Instant,
    runs: u128,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for World {
    fn drop(&mut self) {
        for seat in &self.seats {
            seat.controller.abort();
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
    let files = fs::read_dir(folder).expect("the folder is committed");
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
            for slot in 0..RACK {
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

impl World {
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
        let mut world = Self {
            onlooker: Ledger::open(Arc::new(platform.client("onlooker"))),
            platform,
            entries,
            seats: Vec::new(),
            losses: Arc::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            workers: workers(),
            held: BTreeSet::new(),
            started: Instant::now(),
            runs: 0,
            tasks,
        };
        world.apply(&templates(folder)).await;
        for index in 0..world.entries.len() {
            let seat = world.seat(index);
            world.seats.push(seat);
        }
        for listed in &world.workers {
            world.platform.fleet().add(listed.clone());
        }
        world.until_placed().await;
        world
    }

    async fn apply(&self, templates: &[Template]) {
        let head = self.onlooker.head().await.expect("the store answers");
        let id = Uuid::from_u128(u128::MAX);
        let mut draft = Draft::new(head, self.platform.now(), "operator:test", "set-up", id);
        for template in templates {
            draft.put(key::account(&template.account), None, template);
        }
        self.onlooker
            .commit(&draft)
            .await
            .expect("nothing is in the way");
    }

    /// A new run of the controller of the entry `index`.
    pub fn seat(&mut self, index: usize) -> Seat {
        self.runs += 1;
        let entry = &self.entries[index];
        let paused = watch::Sender::new(false);
        let client = self.platform.client(&format!("controller-{index}"));
        let stall = Arc::new(Stall::open(client.clone(), paused.subscribe()));
        let controller = Controller::spawn(Parts {
            identity: Identity {
                entry: entry.name.clone(),
                incarnation: Uuid::from_u128(self.runs),
            },
            ledger: Ledger::open(Arc::clone(&stall) as _),
            cell: Arc::default(),
            clock: Arc::new(PlatformClock(self.platform.clone())),
            instances: stall,
            objects: Arc::new(client.clone()),
            tasks: Arc::new(client),
            jobs: jobs::Settings::default(),
            keep: Keep::default(),
            probe: Arc::clone(&self.losses) as _,
            roster: Arc::new(All {
                entries: self.entries.clone(),
            }),
            weights: primroseroute_fleet::placement::Weights::default(),
            limits: Limits::default(),
            timers: Timers {
                cycle: Duration::from_secs(2),
                ..Timers::default()
            },
        });
        Seat { controller, paused }
    }

    /// Kills the controller of the entry `index` and starts another run of it.
    pub fn restart(&mut self, index: usize) {
        self.seats[index].controller.abort();
        let seat = self.seat(index);
        self.seats[index] = seat;
    }

    async fn rows(&self) -> Vec<Row> {
        loop {
            match self.onlooker.scan::<Versioned<Row>>(key::INSTANCES).await {
                Ok(rows) => return rows.into_iter().map(|(_, row)| row.value).collect(),
                Err(_) => sleep(Duration::from_secs(1)).await,
            }
        }
    }

    /// Waits until every worker is known and placement has come to rest.
    async fn until_placed(&self) {
        let give_up = Instant::now() + PATIENCE;
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

    /// Makes one change as an operator would; a refusal is the operator's to live with.
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
        let cell = primroseroute_view::Cell::default();
        amend(&self.onlooker, &cell, &clock, &author, decide)
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

    /// Ends every fault: what is cut, paused, lost or out by an operator comes back.
    pub async fn heal(&mut self) {
        self.platform.faults().clear();
        for entry in &self.entries {
            entry.cut.store(false, std::sync::atomic::Ordering::SeqCst);
        }
        for seat in &self.seats {
            seat.paused.send_replace(false);
        }
        for listed in &self.workers {
            self.losses.set(listed.address, false);
            let reboot =
                primroseroute_standin::platform::fleet::Reboot::Takes(Duration::from_secs(60));
            self.platform.fleet().set_reboot(&listed.id, reboot);
        }
        super::fault::release_all(self).await;
    }

    /// Waits until the wave has ended for good; a halted one is resumed, as an operator would.
    pub async fn until_ended(&self, name: &str) -> Wave {
        let name: id::Wave = name.parse().expect("a name");
        let give_up = Instant::now() + PATIENCE;
        loop {
            let found = self.onlooker.read::<Wave>(&key::wave(&name)).await;
            let wave = found
                .expect("the store answers")
                .expect("the wave is there")
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

    /// Every instance was rebooted, but for those that the wave reports as failed or could not have:
    /// their reboots hung, an operator held them out, or they were lost.
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
            "seed {seed}: {wave:?} has ended and left {left:?}"
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

    /// Which instances were truly lost, from when on.
    pub fn losses(&self) -> Vec<(Instant, BTreeSet<id::Instance>)> {
        let name = |address: &SocketAddr| {
            let worker = self
                .workers
                .iter()
                .find(|listed| listed.address == *address);
            worker.expect("every address is a worker's").id.clone()
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
