//! A small site with entries, gateways and callers.

mod seen;
mod shapes;

pub(crate) use shapes::{configuration, job, lasting, step, task, with_standby};

use crate::figures::Figures;
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

/// The pool that the queue `/stay/` belongs to at first.
pub(crate) const POOL: &str = "stay";

/// Another pool.
pub(crate) const OTHER: &str = "rest";

/// The pool whose instances are switched off, on a site that has one.
pub(crate) const STANDBY: &str = "off";

/// Failed runs after which a task has failed.
pub(crate) const ATTEMPTS: u32 = 3;

/// Usual strength of an entry, in thousandths of a core.
const STRENGTH: u32 = 250;

/// How long a caller waits for an answer; then it knows nothing, as after a gateway's timeout.
const CALLER_WAITS: Duration = Duration::from_secs(4);

/// Bodies as plain JSON of the domain's types.
#[derive(Debug)]
struct Plain;

impl Codec for Plain {
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

/// One entry: its gateway, and the part that owns pools.
pub(crate) struct Node {
    pub caller: Caller,
    pub entry: Entry,
    pub gateway: Arc<Gateway>,
}

/// The site, its entries, and what callers sent and were told.
pub(crate) struct Bed {
    pub world: World,
    pub nodes: BTreeMap<String, Node>,
    pub sent: check::Sent,
    /// Jobs whose acceptance was confirmed to a caller.
    pub accepted: Vec<JobId>,
    /// Strengths of entries, where they aren't the usual one.
    strengths: BTreeMap<String, u32>,
    started: u64,
    ids: u64,
    clock: Clock,
    /// What all entries tell of their loops.
    pub figures: Arc<Figures>,
    /// Times that the platform sets, for all entries.
    pub bounds: watch::Sender<Bounds>,
}

fn options(seed: u64) -> Options {
    Options {
        seed,
        ..Options::default()
    }
}

impl Bed {
    /// A site with `entries` entries and `workers` workers in [`POOL`], after everything is owned.
    pub(crate) async fn open(seed: u64, entries: usize, workers: usize) -> Result<Self> {
        Self::open_as(options(seed), entries, workers).await
    }

    /// The same on a site that behaves as `options` say.
    pub(crate) async fn open_as(options: Options, entries: usize, workers: usize) -> Result<Self> {
        let strengths = vec![STRENGTH; entries];
        Self::open_on(configuration(1, POOL), options, &strengths, workers).await
    }

    /// The same with workers that take `stop` to stop a run.
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

    /// The same with workers that are back after a crash under the ids that they had.
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

    /// The same with entries of these strengths.
    pub(crate) async fn open_with_strengths(
        seed: u64,
        strengths: &[u32],
        workers: usize,
    ) -> Result<Self> {
        Self::open_on(configuration(1, POOL), options(seed), strengths, workers).await
    }

    /// The same with a pool of four more instances that are switched off.
    pub(crate) async fn open_with_standby(
        seed: u64,
        entries: usize,
        workers: usize,
    ) -> Result<Self> {
        let strengths = vec![STRENGTH; entries];
        Self::open_mixed(options(seed), &strengths, workers).await
    }

    /// The same with entries of these strengths, on a site that behaves as `options` say.
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
        let mut bed = Self {
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
            started: 0,
            ids: 0,
            clock: Clock::simulated(1_000_000),
            figures: Arc::default(),
            bounds: watch::Sender::new(Bounds {
                limits: Limits::new(6_000, 120_000),
                order_pause: Duration::from_secs(3),
                order_rate: 64.0,
            }),
        };
        for number in 0..strengths.len() {
            bed.start(&format!("e-{number}"));
        }
        sleep(Duration::from_secs(4)).await;
        Ok(bed)
    }

    /// Starts a process for the entry `name`, in place of one that was killed.
    pub(crate) fn start(&mut self, name: &str) {
        self.started += 1;
        self.world
            .conduct(name, |conduct| *conduct = Conduct::default());
        // Calls of the killed process go by another name, and stay dead.
        let caller = self.world.caller(&format!("{name}#{}", self.started));
        let store = Backoff::new("store", self.started);
        let instances = Backoff::new("instances", self.started);
        let site: Arc<dyn Site> = Arc::new(caller.clone());
        let site: Arc<dyn Site> = Arc::new(backoff::Site::new(site, store.clone(), instances));
        let rows: Arc<dyn Rows> = Arc::new(Brisk::new(Arc::new(caller.clone())));
        let (watch, _tasks) = Watch::spawn(&site, self.clock, self.started);
        let gateway = Gateway::open(GatewayParts {
            configuration: watch.configuration.clone(),
            rows: Arc::clone(&rows),
            codec: Arc::new(Plain),
            clock: Arc::new(self.clock),
            observer: None,
        });
        let entry = Entry::spawn(Parts {
            entry: name.into(),
            incarnation: self.started,
            strength: self.strengths.get(name).copied().unwrap_or(STRENGTH),
            clock: self.clock,
            bounds: self.bounds.subscribe(),
            rows: Arc::new(backoff::Rows::new(Arc::clone(&rows), store)),
            loads: Arc::new(backoff::Rows::new(
                rows,
                Backoff::high_priority("pools", self.started),
            )),
            site,
            workers: Arc::new(caller.clone()),
            advisor: Arc::new(caller.clone()),
            watch,
            observer: Arc::<Figures>::clone(&self.figures),
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

    /// The name by which the newest process of an entry calls.
    pub(crate) fn calls(&self, name: &str) -> String {
        self.nodes[name].caller.name().to_owned()
    }

    /// Kills an entry's process: none of its calls goes out or comes back any more.
    pub(crate) fn kill(&mut self, name: &str) {
        let calls = self.calls(name);
        self.world.conduct(&calls, |conduct| conduct.dead = true);
        self.nodes.remove(name);
    }

    /// Tells an entry to stop; it gives up what it has meanwhile.
    pub(crate) fn stop(&mut self, name: &str) {
        if let Some(node) = self.nodes.remove(name) {
            tokio::spawn(node.entry.stop());
        }
    }

    /// Sets how the calls of an entry's newest process fare.
    pub(crate) fn conduct(&self, name: &str, set: impl FnOnce(&mut Conduct)) {
        self.world.conduct(&self.calls(name), set);
    }

    /// Sets how the calls of all entries fare.
    pub(crate) fn conduct_all(&self, set: impl Fn(&mut Conduct)) {
        for name in self.nodes.keys() {
            self.conduct(name, &set);
        }
    }

    pub(crate) fn id(&mut self) -> JobId {
        self.ids += 1;
        JobId::parse(&format!("{:016x}", self.ids)).expect("16 digits")
    }

    async fn ask(
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
        let Ok(response) = timeout(CALLER_WAITS, answer).await else {
            return (StatusCode::GATEWAY_TIMEOUT, String::new());
        };
        let (head, body) = response.into_parts();
        let body = http_body_util::BodyExt::collect(body).await;
        let bytes = body
            .map(http_body_util::Collected::to_bytes)
            .unwrap_or_default();
        (head.status, String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Submits a job under an id; the answer's status.
    pub(crate) async fn send(&mut self, entry: &str, id: &JobId, job: &Job) -> StatusCode {
        self.sent.jobs.insert(id.clone(), job.clone());
        let body = serde_json::to_vec(job).expect("a job serializes");
        let body = primroseroute_front::problem::full_body(body);
        let path = format!("/stay/{id}");
        let (status, _body) = self.ask(entry, Method::POST, &path, body).await;
        if status.is_success() && !self.accepted.contains(id) {
            self.accepted.push(id.clone());
        }
        status
    }

    /// Submits a job that must be accepted.
    pub(crate) async fn submit(&mut self, entry: &str, job: &Job) -> Result<JobId> {
        let id = self.id();
        let status = self.send(entry, &id, job).await;
        ensure!(status.is_success(), "{id} got {status}");
        Ok(id)
    }

    pub(crate) async fn cancel(&mut self, entry: &str, id: &JobId) -> StatusCode {
        self.sent.cancel_sent.insert(id.clone());
        let path = format!("/stay/{id}");
        let body = primroseroute_front::problem::full_body("");
        let (status, _body) = self.ask(entry, Method::DELETE, &path, body).await;
        if status.is_success() {
            let now = self.world.now();
            self.sent.cancelled.entry(id.clone()).or_insert(now);
        }
        status
    }

    /// A job's state at an entry, or the status without one.
    pub(crate) async fn state(&self, entry: &str, id: &JobId) -> Result<State, StatusCode> {
        let path = format!("/stay/{id}");
        let body = primroseroute_front::problem::full_body("");
        let (status, text) = self.ask(entry, Method::GET, &path, body).await;
        if status.is_success() {
            Ok(serde_json::from_str(&text).expect("a state"))
        } else {
            Err(status)
        }
    }

    pub(crate) async fn queued(&self, entry: &str) -> u64 {
        let body = primroseroute_front::problem::full_body("");
        let (_status, text) = self.ask(entry, Method::GET, "/stay/", body).await;
        text.parse().unwrap_or(u64::MAX)
    }

    /// Waits until a job has `state`, for `seconds` at most.
    pub(crate) async fn until(
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
        eyre::bail!("{id} isn't {state:?} after {seconds} s but {last:?}")
    }

    /// The entry that owns a pool, by what the store says.
    pub(crate) async fn owner(&self, pool: &str) -> Result<String> {
        let row = self.owner_row(pool).await?;
        let value = row.and_then(|row| row.value).unwrap_or_default();
        let owner: primroseroute_cell::row::Owner = serde_json::from_slice(&value)?;
        ensure!(!owner.released, "{pool} was given up by {}", owner.entry);
        Ok(owner.entry.to_string())
    }

    /// The fencing token of a pool's owner: it changes with each takeover, also by the same entry.
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

    /// An entry that doesn't own a pool.
    pub(crate) async fn bystander(&self, pool: &str) -> Result<String> {
        let owner = self.owner(pool).await?;
        let other = self.nodes.keys().find(|name| **name != owner);
        other.cloned().ok_or_else(|| eyre::eyre!("no other entry"))
    }

    /// Fails with the first broken promise.
    pub(crate) fn judge(&self) -> Result<()> {
        let breaches = check::check(&self.sent, &self.world.journal());
        match breaches.first() {
            None => Ok(()),
            Some(first) => eyre::bail!("{} breaches, the first: {first}", breaches.len()),
        }
    }
}

pub(crate) async fn seconds(count: u64) {
    sleep(Duration::from_secs(count)).await;
}
