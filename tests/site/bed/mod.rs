//! A simulated site with its entries, gateways and callers.

mod seen;
mod shapes;

pub(crate) use shapes::{configuration, job, long_running, step, task, with_standby};

use crate::figures::RecordedMetrics;
use bytes::Bytes;
use eyre::{Result, ensure};
use gotham::helpers::http::Body;
use http::{HeaderMap, Method, StatusCode, header::HOST};
use primroseroute_backoff::{self as backoff, Backoff};
use primroseroute_cell::Limits;
use primroseroute_domain::work::{Job, JobId, State};
use primroseroute_gateway::{Gateway, Parts as GatewayParts};
use primroseroute_owner::{Bounds, Brisk, Clock, Entry, Parts, Watch};
use primroseroute_platform::{
    rows::Rows,
    site::{Codec, Configuration, Instruction, Site},
};
use primroseroute_standin::site::{Caller, Conduct, Options, World, check};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// The pool that the queue `/stay/` is initially assigned to.
pub(crate) const POOL: &str = "stay";

/// A second pool, to which tests reassign the queue.
pub(crate) const OTHER: &str = "rest";

/// The standby pool, whose instances are switched off; not every site has one.
pub(crate) const STANDBY: &str = "off";

/// Number of failed runs after which a task fails.
pub(crate) const ATTEMPTS: u32 = 3;

/// Default CPU share of an entry, in thousandths of a core.
const DEFAULT_STRENGTH: u32 = 250;

/// How long a caller waits for a response. After that the outcome of its request is unknown to it, as after a
/// gateway timeout.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// Encodes request and response bodies as plain JSON of the domain types.
#[derive(Debug)]
struct JsonCodec;

impl Codec for JsonCodec {
    fn submission(&self, body: &[u8]) -> Result<Job, String> {
        let job: Job = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        job.check().map_err(|fault| fault.to_string())?;
        Ok(job)
    }

    fn request_timeout(&self, _headers: &HeaderMap) -> Option<Duration> {
        None
    }

    fn state(&self, state: State) -> Bytes {
        serde_json::to_vec(&state)
            .expect("a state serializes")
            .into()
    }

    fn queued(&self, jobs: u64) -> Bytes {
        jobs.to_string().into()
    }
}

/// One entry: its gateway, and the process that owns pools.
pub(crate) struct Node {
    pub caller: Caller,
    pub entry: Entry,
    pub gateway: Arc<Gateway>,
}

/// The simulated site, its entries, and a record of the callers' requests and the responses.
pub(crate) struct Fixture {
    pub world: World,
    pub nodes: BTreeMap<String, Node>,
    pub sent: check::Sent,
    /// Jobs whose acceptance has been confirmed to a caller.
    pub accepted: Vec<JobId>,
    /// CPU shares of the entries; [`DEFAULT_STRENGTH`] for those that are absent.
    strengths: BTreeMap<String, u32>,
    processes_started: u64,
    jobs_created: u64,
    clock: Clock,
    /// Metrics reported by the control loops of all entries.
    pub metrics: Arc<RecordedMetrics>,
    /// Time limits set by the platform, for all entries.
    pub bounds: watch::Sender<Bounds>,
}

fn options(seed: u64) -> Options {
    Options {
        seed,
        ..Options::default()
    }
}

impl Fixture {
    /// Opens a site with `entries` entries and `workers` workers in [`POOL`], and waits until every pool has an
    /// owner.
    pub(crate) async fn open(seed: u64, entries: usize, workers: usize) -> Result<Self> {
        Self::open_as(options(seed), entries, workers).await
    }

    /// Like [`Fixture::open`], on a site configured by `options`.
    pub(crate) async fn open_as(options: Options, entries: usize, workers: usize) -> Result<Self> {
        let strengths = vec![DEFAULT_STRENGTH; entries];
        Self::open_on(configuration(1, POOL), options, &strengths, workers).await
    }

    /// Like [`Fixture::open`], with workers that take `stop` to stop a run.
    pub(crate) async fn open_with_slow_stops(
        seed: u64,
        entries: usize,
        workers: usize,
        stop: Duration,
    ) -> Result<Self> {
        let options = Options {
            stop,
            ..options(seed)
        };
        Self::open_as(options, entries, workers).await
    }

    /// Like [`Fixture::open`], with workers that restart under the same id after a crash.
    pub(crate) async fn open_with_same_ids(
        seed: u64,
        entries: usize,
        workers: usize,
    ) -> Result<Self> {
        let options = Options {
            same_id: 1.0,
            ..options(seed)
        };
        Self::open_as(options, entries, workers).await
    }

    /// Like [`Fixture::open`], with one entry per CPU share in `strengths`.
    pub(crate) async fn open_with_strengths(
        seed: u64,
        strengths: &[u32],
        workers: usize,
    ) -> Result<Self> {
        Self::open_on(configuration(1, POOL), options(seed), strengths, workers).await
    }

    /// Like [`Fixture::open`], with a standby pool of four additional instances that are switched off.
    pub(crate) async fn open_with_standby(
        seed: u64,
        entries: usize,
        workers: usize,
    ) -> Result<Self> {
        let strengths = vec![DEFAULT_STRENGTH; entries];
        Self::open_mixed(options(seed), &strengths, workers).await
    }

    /// Like [`Fixture::open_with_standby`], with one entry per CPU share in `strengths`, on a site configured by
    /// `options`.
    pub(crate) async fn open_mixed(
        options: Options,
        strengths: &[u32],
        workers: usize,
    ) -> Result<Self> {
        let configuration = with_standby(configuration(1, POOL));
        Self::open_on(configuration, options, strengths, workers).await
    }

    async fn open_on(
        configuration: Configuration,
        options: Options,
        strengths: &[u32],
        workers: usize,
    ) -> Result<Self> {
        let stop = u64::try_from(options.stop.as_millis())?;
        let world = World::open(options);
        let has_standby = configuration.pools.iter().any(|pool| pool.standby);
        world.instruct(Instruction::Configuration(configuration));
        if has_standby {
            for number in 0..4 {
                world.add_instance(&format!("s-{number}"), STANDBY);
            }
        }
        for number in 0..workers {
            world.add_instance(&format!("i-{number}"), POOL);
        }
        world.add_instance("j-0", OTHER);
        let mut fixture = Self {
            world,
            nodes: BTreeMap::new(),
            sent: check::Sent {
                max_attempts: ATTEMPTS as usize,
                stop,
                ..check::Sent::default()
            },
            accepted: Vec::new(),
            strengths: (0..)
                .zip(strengths)
                .map(|(number, strength)| (format!("e-{number}"), *strength))
                .collect(),
            processes_started: 0,
            jobs_created: 0,
            clock: Clock::simulated(1_000_000),
            metrics: Arc::default(),
            bounds: watch::Sender::new(Bounds {
                limits: Limits::new(6_000, 120_000),
                order_pause: Duration::from_secs(3),
                order_rate: 64.0,
            }),
        };
        for number in 0..strengths.len() {
            fixture.start(&format!("e-{number}"));
        }
        sleep(Duration::from_secs(4)).await;
        Ok(fixture)
    }

    /// Starts a process for the entry `name`, replacing one that was stopped or killed.
    pub(crate) fn start(&mut self, name: &str) {
        self.processes_started += 1;
        self.world
            .conduct(name, |conduct| *conduct = Conduct::default());
        // Each process has its own caller name, so calls of a killed one stay dead.
        let caller = self
            .world
            .caller(&format!("{name}#{}", self.processes_started));
        let store = Backoff::new("store", self.processes_started);
        let instances = Backoff::new("instances", self.processes_started);
        let site: Arc<dyn Site> = Arc::new(caller.clone());
        let site: Arc<dyn Site> = Arc::new(backoff::Site::new(site, store.clone(), instances));
        let rows: Arc<dyn Rows> = Arc::new(Brisk::new(Arc::new(caller.clone())));
        let (watch, _tasks) = Watch::spawn(&site, self.clock, self.processes_started);
        let gateway = Gateway::open(GatewayParts {
            configuration: watch.configuration.clone(),
            rows: Arc::clone(&rows),
            codec: Arc::new(JsonCodec),
            clock: Arc::new(self.clock),
            observer: None,
        });
        let entry = Entry::spawn(Parts {
            entry: name.into(),
            incarnation: self.processes_started,
            strength: self
                .strengths
                .get(name)
                .copied()
                .unwrap_or(DEFAULT_STRENGTH),
            clock: self.clock,
            bounds: self.bounds.subscribe(),
            rows: Arc::new(backoff::Rows::new(Arc::clone(&rows), store)),
            loads: Arc::new(backoff::Rows::new(
                rows,
                Backoff::high_priority("pools", self.processes_started),
            )),
            site,
            workers: Arc::new(caller.clone()),
            advisor: Arc::new(caller.clone()),
            watch,
            observer: Arc::<RecordedMetrics>::clone(&self.metrics),
        });
        self.nodes.insert(
            name.into(),
            Node {
                caller,
                entry,
                gateway,
            },
        );
    }

    /// The caller name of an entry's newest process.
    pub(crate) fn caller_name(&self, name: &str) -> String {
        self.nodes[name].caller.name().to_owned()
    }

    /// Kills an entry's process: none of its calls is sent or answered any more.
    pub(crate) fn kill(&mut self, name: &str) {
        let calls = self.caller_name(name);
        self.world.conduct(&calls, |conduct| conduct.dead = true);
        self.nodes.remove(name);
    }

    /// Shuts an entry down gracefully, in the background; it releases what it owns.
    pub(crate) fn stop(&mut self, name: &str) {
        if let Some(node) = self.nodes.remove(name) {
            tokio::spawn(node.entry.stop());
        }
    }

    /// Injects faults into the calls of an entry's newest process.
    pub(crate) fn conduct(&self, name: &str, set: impl FnOnce(&mut Conduct)) {
        self.world.conduct(&self.caller_name(name), set);
    }

    /// Injects faults into the calls of all entries.
    pub(crate) fn conduct_all(&self, set: impl Fn(&mut Conduct)) {
        for name in self.nodes.keys() {
            self.conduct(name, &set);
        }
    }

    pub(crate) fn next_job_id(&mut self) -> JobId {
        self.jobs_created += 1;
        JobId::parse(&format!("{:016x}", self.jobs_created)).expect("16 digits")
    }

    async fn request(
        &self,
        entry: &str,
        method: Method,
        path: &str,
        body: Body,
    ) -> (StatusCode, String) {
        let mut headers = HeaderMap::new();
        headers.insert(HOST, "stay.example".parse().expect("a host"));
        let uri = path.parse().expect("a path");
        let gateway = Arc::clone(&self.nodes[entry].gateway);
        let answer = gateway.serve(method, uri, headers, body);
        let Ok(response) = timeout(CALLER_TIMEOUT, answer).await else {
            return (StatusCode::GATEWAY_TIMEOUT, String::new());
        };
        let (head, body) = response.into_parts();
        let body = http_body_util::BodyExt::collect(body).await;
        let bytes = body
            .map(http_body_util::Collected::to_bytes)
            .unwrap_or_default();
        (head.status, String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Submits a job with the given id; returns the response status.
    pub(crate) async fn send(&mut self, entry: &str, id: &JobId, job: &Job) -> StatusCode {
        self.sent.jobs.insert(id.clone(), job.clone());
        let body = serde_json::to_vec(job).expect("a job serializes");
        let body = primroseroute_front::problem::full(body);
        let path = format!("/stay/{id}");
        let (status, _body) = self.request(entry, Method::POST, &path, body).await;
        if status.is_success() && !self.accepted.contains(id) {
            self.accepted.push(id.clone());
        }
        status
    }

    /// Submits a job with a new id; fails unless it is accepted.
    pub(crate) async fn submit(&mut self, entry: &str, job: &Job) -> Result<JobId> {
        let id = self.next_job_id();
        let status = self.send(entry, &id, job).await;
        ensure!(status.is_success(), "{id} got {status}");
        Ok(id)
    }

    pub(crate) async fn cancel(&mut self, entry: &str, id: &JobId) -> StatusCode {
        self.sent.cancel_sent.insert(id.clone());
        let path = format!("/stay/{id}");
        let body = primroseroute_front::problem::full("");
        let (status, _body) = self.request(entry, Method::DELETE, &path, body).await;
        if status.is_success() {
            let now = self.world.now();
            self.sent.cancelled.entry(id.clone()).or_insert(now);
        }
        status
    }

    /// A job's state as reported by an entry, or the response status if that isn't a success.
    pub(crate) async fn state(&self, entry: &str, id: &JobId) -> Result<State, StatusCode> {
        let path = format!("/stay/{id}");
        let body = primroseroute_front::problem::full("");
        let (status, text) = self.request(entry, Method::GET, &path, body).await;
        if status.is_success() {
            Ok(serde_json::from_str(&text).expect("a state"))
        } else {
            Err(status)
        }
    }

    pub(crate) async fn queued(&self, entry: &str) -> u64 {
        let body = primroseroute_front::problem::full("");
        let (_status, text) = self.request(entry, Method::GET, "/stay/", body).await;
        text.parse().unwrap_or(u64::MAX)
    }

    /// Waits until a job has `state`, for at most `seconds`.
    pub(crate) async fn wait_for_state(
        &self,
        entry: &str,
        id: &JobId,
        state: State,
        seconds: u64,
    ) -> Result<()> {
        let mut last = None;
        for _tenth in 0..seconds * 10 {
            let shown = self.state(entry, id).await;
            if shown == Ok(state) {
                return Ok(());
            }
            last = Some(shown);
            sleep(Duration::from_millis(100)).await;
        }
        eyre::bail!("{id} is not {state:?} after {seconds} s, last response: {last:?}")
    }

    /// The entry that owns a pool, according to the store.
    pub(crate) async fn owner(&self, pool: &str) -> Result<String> {
        let row = self.owner_row(pool).await?;
        let value = row.and_then(|row| row.value).unwrap_or_default();
        let owner: primroseroute_cell::row::Owner = serde_json::from_slice(&value)?;
        ensure!(
            !owner.released,
            "{pool} has been released by {}",
            owner.entry
        );
        Ok(owner.entry.to_string())
    }

    /// The fencing token of a pool's owner. It changes with each takeover, even by the same entry.
    pub(crate) async fn token(&self, pool: &str) -> Result<u64> {
        let row = self.owner_row(pool).await?;
        row.map(|row| row.version)
            .ok_or_else(|| eyre::eyre!("{pool} has no owner"))
    }

    async fn owner_row(&self, pool: &str) -> Result<Option<primroseroute_platform::rows::Row>> {
        let place = primroseroute_cell::row::owner(pool);
        let rows = self.world.caller("observer");
        let row = primroseroute_platform::rows::read_row(&rows, place).await?;
        Ok(row)
    }

    /// An entry that does not own `pool`.
    pub(crate) async fn non_owner(&self, pool: &str) -> Result<String> {
        let owner = self.owner(pool).await?;
        let other = self.nodes.keys().find(|name| **name != owner);
        other
            .cloned()
            .ok_or_else(|| eyre::eyre!("no entry other than the owner"))
    }

    /// Checks the guarantees to callers and workers; reports the first violation.
    pub(crate) fn check_invariants(&self) -> Result<()> {
        let breaches = check::check(&self.sent, &self.world.journal());
        match breaches.first() {
            None => Ok(()),
            Some(first) => eyre::bail!("{} violations, first: {first}", breaches.len()),
        }
    }
}

pub(crate) async fn sleep_secs(count: u64) {
    sleep(Duration::from_secs(count)).await;
}
