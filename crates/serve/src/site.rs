//! An entry on the users' platform: construction, live reload of settings, graceful shutdown.

use crate::{
    metered::{Metered, Observer},
    metrics_handler::MetricsHandler,
    signal,
};
use eyre::{Result, WrapErr};
use log::{LevelFilter, info, warn};
use primroseroute_adapter::{
    Advisor, Client, Json, LiveSetting, Settings, Site, Store, Workers, settings,
};
use primroseroute_backoff::{self as backoff, Backoff};
use primroseroute_cell::Limits;
use primroseroute_domain::work::Name;
use primroseroute_front::{Options, Server, connections::Registry};
use primroseroute_gateway::{
    Components as GatewayComponents, Gateway, Monitored, Readiness, StoreHealth, admission,
    authentication,
};
use primroseroute_owner::{
    AdaptiveTimeout, Bounds, Clock, Components, Entry, PoolLoads, Watch, instructions_wait,
};
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

/// Upper bound of the client's timeout for short calls.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time beyond two polls for changes without a response after which the entry reports itself not
/// ready. New caller connections then go to entries that can reach the store.
const STORE_CONTACT_SLACK: Duration = Duration::from_millis(600);

/// How long new connections are accepted after SIGTERM: the load balancer checks readiness once a
/// second and stops routing to an entry after two failed checks.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_300);

/// Share of a process's memory, in percent, that the connections of its clients may hold together. The allocator
/// may keep about as much of what they have released; half is left for the process's own state.
const CONNECTION_MEMORY_PERCENT: usize = 25;

/// Shares of a process's sockets, in thousandths, that its listeners may have. A caller's request may need
/// another one, to the store, and what is left is for calls to workers and instances.
const CALLER_SOCKETS_PERMILLE: usize = 375;
const PROBE_SOCKETS_PERMILLE: usize = 30;

/// Bytes that the operating system receives for a connection before the process reads them; they count
/// toward its memory.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// Exit code for invalid settings.
const INVALID_SETTINGS: u8 = 2;

/// Path of the platform's settings file from its environment variable.
fn path_from_environment() -> Option<PathBuf> {
    std::env::var_os(settings::PATH).map(PathBuf::from)
}

/// Prints the faults of a settings file to standard error, one per line.
pub(crate) fn print_faults(fault: &settings::Fault) -> ExitCode {
    for line in fault.lines() {
        eprintln!("{line}");
    }
    ExitCode::from(INVALID_SETTINGS)
}

/// Runs an entry until SIGTERM.
///
/// # Errors
/// If it cannot start.
pub(crate) async fn run(
    settings_path: Option<PathBuf>,
    level: LevelFilter,
    metrics_port: Option<u16>,
) -> Result<ExitCode> {
    let Some(path) = settings_path.or_else(path_from_environment) else {
        eprintln!(
            "no settings file given; use --settings or set {}",
            settings::PATH
        );
        return Ok(ExitCode::from(INVALID_SETTINGS));
    };
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(fault) => return Ok(print_faults(&fault)),
    };
    let log = Log::start_on_stdout(level).wrap_err("failed to start logging")?;
    let shutdown = signal::shutdown()?;
    let running = RunningEntry::start(&settings, metrics_port).await?;
    let metrics = running.metrics.as_ref().map(Server::address);
    info!(
        entry = &*settings.entry,
        zone = &*settings.zone,
        callers:% = running.callers.address(),
        readiness:% = running.readiness.address(),
        metrics:serde = metrics;
        "entry started"
    );
    let watcher = watch_settings(path, settings.clone(), running.live.clone());
    let watcher = tokio::spawn(watcher);
    shutdown.await;
    info!(entry = &*settings.entry; "entry stopping");
    watcher.abort();
    running.stop(settings.grace).await;
    info!(entry = &*settings.entry; "entry stopped");
    drop(log);
    Ok(ExitCode::SUCCESS)
}

/// Settings that can change while the entry runs.
#[derive(Clone, Debug)]
struct LiveSettings {
    store: LiveSetting<SocketAddr>,
    instances: LiveSetting<SocketAddr>,
    advice: LiveSetting<Option<SocketAddr>>,
    bounds: watch::Sender<Bounds>,
    revocation_bound: LiveSetting<Option<Duration>>,
}

impl LiveSettings {
    fn new(settings: &Settings) -> Self {
        Self {
            store: settings.store.into(),
            instances: settings.instances.into(),
            advice: settings.advice.into(),
            bounds: watch::Sender::new(bounds(settings)),
            revocation_bound: settings.revocation_bound.into(),
        }
    }

    /// Applies reloaded settings: addresses from the next call on, the admission switch from the
    /// next decision on, and other bounds of each pool from its next takeover on.
    fn apply(&self, settings: &Settings) {
        self.store.set(settings.store);
        self.instances.set(settings.instances);
        self.advice.set(settings.advice);
        self.bounds.send_replace(bounds(settings));
        self.revocation_bound.set(settings.revocation_bound);
    }
}

fn bounds(settings: &Settings) -> Bounds {
    Bounds {
        limits: limits(settings),
        order_pause: settings.order_pause,
        order_rate: settings.order_rate,
        configuration_bound: settings.configuration_bound,
        admission: settings.admission,
    }
}

/// Tells the gateway how current the configuration is.
#[derive(Debug)]
struct Currency {
    watch: Watch,
    revocation_bound: LiveSetting<Option<Duration>>,
}

impl authentication::Currency for Currency {
    fn configuration_age(&self) -> Option<Duration> {
        self.watch.configuration_age()
    }

    fn revocation_bound(&self) -> Option<Duration> {
        self.revocation_bound.get()
    }
}

/// Tells the gateway what the owners of pools publish.
#[derive(Debug)]
struct Loads(PoolLoads);

impl admission::Loads for Loads {
    fn is_enabled(&self) -> bool {
        self.0.is_enabled()
    }

    fn published(&self, pool: &Name) -> Option<admission::Published> {
        let received = self.0.received(pool)?;
        Some(admission::Published {
            load: received.load,
            version: received.version,
            age: received.at.elapsed(),
        })
    }

    fn confirmed_age(&self) -> Option<Duration> {
        self.0.confirmed_age()
    }
}

struct RunningEntry {
    live: LiveSettings,
    entry: Entry,
    callers: Server,
    readiness: Server,
    metrics: Option<Server>,
    stopping: Arc<AtomicBool>,
}

impl RunningEntry {
    async fn start(settings: &Settings, metrics_port: Option<u16>) -> Result<Self> {
        let clock = Clock::start();
        let live = LiveSettings::new(settings);
        let client = Client::open(CLIENT_TIMEOUT);
        let store = Store::open(client.clone(), live.store.clone());
        let meter = Meter::open().wrap_err("failed to set up metrics")?;
        let observer = Arc::new(Observer(meter.clone()));
        let rows: Arc<dyn Rows> = Arc::new(store.clone());
        let rows: Arc<dyn Rows> = Arc::new(Metered::new(rows, meter.clone()));
        let rows: Arc<dyn Rows> = Arc::new(AdaptiveTimeout::new(rows));
        let store_health = Arc::<StoreHealth>::default();
        let rows: Arc<dyn Rows> = Arc::new(Monitored::new(rows, Arc::clone(&store_health)));
        let incarnation = rand::random::<u64>() >> 1;
        let store_backoff = Backoff::new("store", incarnation);
        let site: Arc<dyn site::Site> =
            Arc::new(Site::open(client.clone(), store, live.instances.clone()));
        let site = backoff::Site::new(
            Arc::new(Monitored::new(site, Arc::clone(&store_health))),
            store_backoff.clone(),
            Backoff::new("instances", incarnation),
        );
        let site: Arc<dyn site::Site> = Arc::new(site);
        let workers: Arc<dyn worker::Workers> = Arc::new(Workers::open(client.clone()));
        let advisor = Arc::new(Advisor::open(client, live.advice.clone()));
        let workers: Arc<dyn worker::Workers> = Arc::new(Metered::new(workers, meter.clone()));
        let bounds = [settings.configuration_bound, settings.revocation_bound];
        let wait = instructions_wait(bounds.into_iter().flatten().min());
        let (watch, _follow) = Watch::spawn(&site, clock, wait, incarnation);
        let stopping = Arc::new(AtomicBool::new(false));
        let readiness = readiness(&watch, clock, 2 * wait, &store_health, &stopping);
        let (loads, _follow) = PoolLoads::spawn(
            Arc::new(backoff::Rows::new(Arc::clone(&rows), store_backoff.clone())),
            watch.configuration.clone(),
            live.bounds.subscribe(),
            incarnation,
        );
        let gateway = Gateway::open(GatewayComponents {
            configuration: watch.configuration.clone(),
            currency: Arc::new(Currency {
                watch: watch.clone(),
                revocation_bound: live.revocation_bound.clone(),
            }),
            loads: Arc::new(Loads(loads)),
            rows: Arc::clone(&rows),
            store_health,
            codec: Arc::new(Json),
            clock: Arc::new(clock),
            observer: Some(Arc::clone(&observer) as _),
        });
        let connection_memory = settings.memory / 100 * CONNECTION_MEMORY_PERCENT;
        let registry = Registry::open(connection_memory, Some(Arc::clone(&observer) as _));
        let options = |permille: usize| Options {
            max_connections: (settings.sockets * permille / 1_000).max(1),
            receive_buffer: Some(RECEIVE_BUFFER_BYTES),
            registry: registry.clone(),
            ..Options::default()
        };
        let caller_options = options(CALLER_SOCKETS_PERMILLE);
        let callers = Server::bind(settings.callers, caller_options, gateway.handler()).await?;
        let probe_options = options(PROBE_SOCKETS_PERMILLE);
        let readiness = Server::bind(settings.readiness, probe_options.clone(), readiness).await?;
        let metrics = match metrics_port {
            Some(port) => {
                let address = SocketAddr::new(settings.callers.ip(), port);
                let handler = MetricsHandler::new(meter, registry);
                Some(Server::bind(address, probe_options, handler).await?)
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

    /// Reports the entry not ready and releases its pools at once. Keeps serving callers until the
    /// load balancer has noticed, and completes requests in flight.
    async fn stop(self, grace: Duration) {
        self.stopping.store(true, Ordering::Relaxed);
        self.callers.disable_keep_alive();
        let stop_callers = async {
            sleep(DEREGISTRATION_DELAY.min(grace / 2)).await;
            self.callers.stop().await;
        };
        tokio::join!(self.entry.stop(), stop_callers);
        self.readiness.abort();
        if let Some(metrics) = self.metrics {
            metrics.abort();
        }
    }
}

/// The check whether the entry is ready: it has a configuration, reaches the store, and isn't
/// stopping. `two_polls` is the time that two polls for changes take while nothing changes.
fn readiness(
    watch: &Watch,
    clock: Clock,
    two_polls: Duration,
    store_health: &Arc<StoreHealth>,
    stopping: &Arc<AtomicBool>,
) -> Readiness {
    let configuration = watch.configuration.clone();
    let last_contact = watch.last_contact.clone();
    let store_health = Arc::clone(store_health);
    let stopping = Arc::clone(stopping);
    let timeout = two_polls + STORE_CONTACT_SLACK;
    let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
    Readiness::new(Arc::new(move || {
        let configured = configuration.borrow().is_some();
        let since_contact = clock.now().saturating_sub(*last_contact.borrow());
        let in_contact = since_contact < timeout_ms && !store_health.is_failing();
        configured && in_contact && !stopping.load(Ordering::Relaxed)
    }))
}

fn limits(settings: &Settings) -> Limits {
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    Limits {
        worker_speed: settings.worker_speed,
        ..Limits::new(millis(settings.max_lease), millis(settings.state_retention))
    }
}

/// Interval of reading the settings file for changes that no signal announced.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings on SIGHUP and periodically, and applies changes. The entry's name, its zone
/// and its listen addresses stay unchanged until the next start.
async fn watch_settings(path: PathBuf, current: Settings, live: LiveSettings) {
    let mut current = current;
    let Ok(mut hangup) = signal::hangup() else {
        warn!("failed to install the SIGHUP handler; the settings file is read at intervals only");
        return;
    };
    loop {
        tokio::select! {
            _ = hangup.recv() => info!("received SIGHUP; reloading settings"),
            () = sleep(RELOAD_INTERVAL) => {}
        }
        if let Some(reloaded) = load_if_changed(&path, &current) {
            live.apply(&reloaded);
            current = reloaded;
        }
    }
}

/// Returns the settings in the file if they are valid and differ from `current`.
fn load_if_changed(path: &Path, current: &Settings) -> Option<Settings> {
    match Settings::load(path) {
        Ok(reloaded) if reloaded != *current => {
            let restart = reloaded.entry != current.entry
                || reloaded.zone != current.zone
                || reloaded.callers != current.callers
                || reloaded.readiness != current.readiness
                || reloaded.grace != current.grace;
            info!(restart; "settings changed");
            Some(reloaded)
        }
        Ok(_unchanged) => None,
        Err(fault) => {
            warn!(fault:% = fault; "changed settings are invalid; keeping the current settings");
            None
        }
    }
}
