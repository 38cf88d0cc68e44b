//! One entry on the users' platform: its parts opened and put together, and its graceful stop.

use crate::{
    metered::{Metered, Observer},
    page::Page,
    signal,
};
use eyre::{Result, WrapErr};
use log::{LevelFilter, info, warn};
use primroseroute_adapter::{
    Advisor, Client, Json, LiveSetting, Settings, Site, Store, Workers, settings,
};
use primroseroute_backoff::{self as backoff, Backoff};
use primroseroute_cell::Limits;
use primroseroute_front::{Options, Server};
use primroseroute_gateway::{Components as GatewayComponents, Gateway, Readiness};
use primroseroute_owner::{AdaptiveTimeout, Bounds, Clock, Components, Entry, Watch};
use primroseroute_platform::{rows::Rows, site, worker};
use primroseroute_telemetry::{log::Log, site::Meter};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{sync::watch, time::sleep};

/// Longest timeout of the short calls that the client makes.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time without a word from the store after which the entry isn't ready: two looks for news that
/// went unanswered. Callers' new connections then go to entries that reach it.
const OUT_OF_TOUCH: u64 = 2_600;

/// How long new connections are still served after SIGTERM: the balancer looks once a second and
/// turns away after two misses.
const LOOK_AWAY: Duration = Duration::from_millis(2_300);

/// Exit code where the settings are faulty.
const FAULTY: u8 = 2;

/// Where the platform's settings file is, by its environment variable.
fn path() -> Option<PathBuf> {
    std::env::var_os(settings::PATH).map(PathBuf::from)
}

/// Tells on standard error what is wrong with a settings file, one fault a line.
pub(crate) fn report(fault: &settings::Fault) -> ExitCode {
    for line in fault.lines() {
        eprintln!("{line}");
    }
    ExitCode::from(FAULTY)
}

/// Runs an entry until SIGTERM.
///
/// # Errors
/// Where it cannot start.
pub(crate) async fn run(
    given: Option<PathBuf>,
    level: LevelFilter,
    metrics_port: Option<u16>,
) -> Result<ExitCode> {
    let Some(path) = given.or_else(path) else {
        eprintln!(
            "name the settings file by --settings or by {}",
            settings::PATH
        );
        return Ok(ExitCode::from(FAULTY));
    };
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(fault) => return Ok(report(&fault)),
    };
    let log = Log::start_on_stdout(level).wrap_err("starting the log")?;
    let stop = signal::stop()?;
    let running = Running::start(&settings, metrics_port).await?;
    info!(entry = &*settings.entry, zone = &*settings.zone, callers:% = settings.callers; "entry started");
    let changes = watch_settings(path, settings.clone(), running.live.clone());
    let changes = tokio::spawn(changes);
    stop.await;
    info!(entry = &*settings.entry; "entry stops");
    changes.abort();
    running.stop(settings.grace).await;
    info!(entry = &*settings.entry; "entry has stopped");
    drop(log);
    Ok(ExitCode::SUCCESS)
}

/// Settings that are in force while the entry runs.
#[derive(Clone, Debug)]
struct Live {
    store: LiveSetting<SocketAddr>,
    instances: LiveSetting<SocketAddr>,
    advice: LiveSetting<Option<SocketAddr>>,
    bounds: watch::Sender<Bounds>,
}

impl Live {
    fn new(settings: &Settings) -> Self {
        Self {
            store: settings.store.into(),
            instances: settings.instances.into(),
            advice: settings.advice.into(),
            bounds: watch::Sender::new(bounds(settings)),
        }
    }

    /// Puts newer settings in force: addresses from the next call on, bounds for each pool from its
    /// next takeover on.
    fn change(&self, settings: &Settings) {
        self.store.set(settings.store);
        self.instances.set(settings.instances);
        self.advice.set(settings.advice);
        self.bounds.send_replace(bounds(settings));
    }
}

fn bounds(settings: &Settings) -> Bounds {
    Bounds {
        limits: limits(settings),
        order_pause: settings.order_pause,
        order_rate: settings.order_rate,
    }
}

struct Running {
    live: Live,
    entry: Entry,
    callers: Server,
    readiness: Server,
    metrics: Option<Server>,
    stopping: Arc<AtomicBool>,
}

impl Running {
    async fn start(settings: &Settings, metrics_port: Option<u16>) -> Result<Self> {
        let clock = Clock::start();
        let live = Live::new(settings);
        let client = Client::open(CLIENT_TIMEOUT);
        let store = Store::open(client.clone(), live.store.clone());
        let meter = Meter::open().wrap_err("opening the metrics")?;
        let observer = Arc::new(Observer(meter.clone()));
        let rows: Arc<dyn Rows> = Arc::new(store.clone());
        let rows: Arc<dyn Rows> = Arc::new(Metered::new(rows, meter.clone()));
        let rows: Arc<dyn Rows> = Arc::new(AdaptiveTimeout::new(rows));
        let incarnation = rand::random::<u64>() >> 1;
        let store_backoff = Backoff::new("store", incarnation);
        let site = Site::open(client.clone(), store, live.instances.clone());
        let site = backoff::Site::new(
            Arc::new(site),
            store_backoff.clone(),
            Backoff::new("instances", incarnation),
        );
        let site: Arc<dyn site::Site> = Arc::new(site);
        let workers: Arc<dyn worker::Workers> = Arc::new(Workers::open(client.clone()));
        let advisor = Arc::new(Advisor::open(client, live.advice.clone()));
        let workers: Arc<dyn worker::Workers> = Arc::new(Metered::new(workers, meter.clone()));
        let (watch, _follow) = Watch::spawn(&site, clock, incarnation);
        let stopping = Arc::new(AtomicBool::new(false));
        let readiness = readiness(&watch, clock, &stopping);
        let gateway = Gateway::open(GatewayComponents {
            configuration: watch.configuration.clone(),
            rows: Arc::clone(&rows),
            codec: Arc::new(Json),
            clock: Arc::new(clock),
            observer: Some(Arc::clone(&observer) as _),
        });
        let options = Options::default();
        let callers = Server::bind(settings.callers, options, gateway.handler()).await?;
        let readiness = Server::bind(settings.readiness, options, readiness).await?;
        let metrics = match metrics_port {
            Some(port) => {
                let address = SocketAddr::new(settings.callers.ip(), port);
                Some(Server::bind(address, options, Page::new(meter)).await?)
            }
            None => None,
        };
        let entry = Entry::spawn(Components {
            entry: Arc::clone(&settings.entry),
            incarnation,
            strength: settings.strength,
            clock,
            bounds: live.bounds.subscribe(),
            rows: Arc::new(backoff::Rows::new(Arc::clone(&rows), store_backoff)),
            takeover_rows: Arc::new(backoff::Rows::new(
                rows,
                Backoff::high_priority("pools", incarnation),
            )),
            site,
            workers,
            advisor,
            watch,
            observer,
        });
        Ok(Self {
            live,
            entry,
            callers,
            readiness,
            metrics,
            stopping,
        })
    }

    /// Turns the balancer away and gives up pools at once; goes on serving callers until the
    /// balancer has noticed, and finishes what is in flight.
    async fn stop(self, grace: Duration) {
        self.stopping.store(true, Ordering::Relaxed);
        self.callers.disable_keep_alive();
        let serving = async {
            sleep(LOOK_AWAY.min(grace / 2)).await;
            self.callers.stop().await;
        };
        tokio::join!(self.entry.stop(), serving);
        self.readiness.abort();
        if let Some(metrics) = self.metrics {
            metrics.abort();
        }
    }
}

fn readiness(watch: &Watch, clock: Clock, stopping: &Arc<AtomicBool>) -> Readiness {
    let configuration = watch.configuration.clone();
    let last_contact = watch.last_contact.clone();
    let stopping = Arc::clone(stopping);
    Readiness::new(Arc::new(move || {
        let configured = configuration.borrow().is_some();
        let silent = clock.now().saturating_sub(*last_contact.borrow());
        configured && silent < OUT_OF_TOUCH && !stopping.load(Ordering::Relaxed)
    }))
}

fn limits(settings: &Settings) -> Limits {
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    Limits::new(millis(settings.max_lease), millis(settings.state_retention))
}

/// How often the settings file is read for changes that no signal tells of.
const REREAD: Duration = Duration::from_secs(2);

/// Reads the settings again at SIGHUP and at intervals, and puts what has changed in force. The entry's
/// name, its zone and the addresses that it listens on stay as they are until the next start.
async fn watch_settings(path: PathBuf, known: Settings, live: Live) {
    let mut known = known;
    let Ok(mut hangup) = signal::hangup() else {
        warn!("SIGHUP can't be handled; the settings file is read at intervals only");
        return;
    };
    loop {
        tokio::select! {
            _ = hangup.recv() => info!("SIGHUP: the settings are read again"),
            () = sleep(REREAD) => {}
        }
        if let Some(newer) = reread(&path, &known) {
            live.change(&newer);
            known = newer;
        }
    }
}

/// The settings, if they have changed and aren't faulty.
fn reread(path: &Path, known: &Settings) -> Option<Settings> {
    match Settings::load(path) {
        Ok(newer) if newer != *known => {
            let restart = newer.entry != known.entry
                || newer.zone != known.zone
                || newer.callers != known.callers
                || newer.readiness != known.readiness
                || newer.grace != known.grace;
            info!(restart; "the settings have changed");
            Some(newer)
        }
        Ok(_same) => None,
        Err(fault) => {
            warn!(fault:% = fault; "the changed settings are faulty and ignored");
            None
        }
    }
}
