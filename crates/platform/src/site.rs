//! Interface to a site: its workers, instances, configuration and requested maintenance waves.

use crate::{
    Error,
    rows::{Feed, Version},
};
use async_trait::async_trait;
use bytes::Bytes;
pub use primroseroute_accounts::Account;
use primroseroute_domain::work::{Demand, Job, Name, State};
use std::{collections::BTreeSet, fmt, net::SocketAddr, time::Duration};

/// A worker's registration data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Worker id; a later incarnation may have the same.
    pub id: Name,
    /// Start time of this incarnation in Unix milliseconds by the worker's own clock; 0 if it reports none.
    pub born: u64,
    /// Pool that the worker belongs to.
    pub pool: Name,
    /// Listen address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Whether the worker is about to leave and accepts no new tasks.
    pub draining: bool,
    /// Total resources.
    pub capacity: Demand,
    /// Labels, among them its kind and its rack.
    pub labels: BTreeSet<Name>,
}

/// A change to the list of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Worker id.
    pub id: Name,
    /// Registration data; `None` if the registration was removed.
    pub worker: Option<Worker>,
}

/// A queue of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Queue name.
    pub name: Name,
    /// Host of the requests that the queue accepts.
    pub host: Name,
    /// Path prefix of the requests that the queue accepts.
    pub path: Name,
    /// Pool that runs the jobs.
    pub pool: Name,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task is failed.
    pub max_attempts: u32,
    /// Factor on the length of a job's critical path in its latency objective.
    pub stretch: f64,
    /// Constant term of the latency objective, in milliseconds.
    pub target_ms: u64,
    /// Whether starting a task requires a ticket of the advice service.
    pub needs_ticket: bool,
    /// Whether its calls need no key.
    pub public: bool,
}

/// A pool of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Pool name.
    pub name: Name,
    /// Whether its workers reject tasks that exceed their capacity.
    pub rejects_overload: bool,
    /// Whether its instances are switched off.
    pub standby: bool,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a request head.
    pub head_timeout: Duration,
    /// Time limit for an idle connection.
    pub idle_timeout: Duration,
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version number; a higher one replaces a lower one.
    pub number: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Pools.
    pub pools: Vec<Pool>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Limits on callers' requests.
    pub limits: RequestLimits,
}

/// A requested maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// Wave number.
    pub number: u64,
    /// Instances to maintain.
    pub instances: Vec<Name>,
    /// How long the whole wave may take.
    pub duration: Duration,
    /// Maximum number of instances in maintenance at the same time.
    pub maximum: usize,
}

/// A row that an operator has written.
#[derive(Clone, Debug, PartialEq)]
pub enum Instruction {
    /// A configuration.
    Configuration(Configuration),
    /// A wave.
    Wave(Wave),
}

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// Up.
    Up,
    /// Moving to another pool.
    Moving,
    /// In maintenance.
    Maintenance,
    /// Down.
    Down,
}

/// An instance of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Instance name, which is kept through moves and maintenance.
    pub name: Name,
    /// Pool.
    pub pool: Name,
    /// State.
    pub state: InstanceState,
    /// Worker that runs on the instance, if any.
    pub worker: Option<Name>,
    /// Total resources of a worker on the instance, if the platform tells.
    pub capacity: Option<Demand>,
    /// Labels of a worker on the instance.
    pub labels: Vec<Name>,
}

/// Outcome of an order to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order was accepted, or had already been carried out.
    Taken,
    /// The instance is not up, or is leaving.
    Busy,
    /// The order was rejected permanently.
    Refused,
}

/// Lease holder on whose behalf an order is sent to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseHolder {
    /// Name of the entry.
    pub entry: Name,
    /// Fencing token, which increases with each order.
    pub token: u64,
}

/// Access to the site.
#[async_trait]
pub trait Site: Send + Sync + fmt::Debug {
    /// Reads all registered workers, and the position from which the feed continues.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no side effects.
    async fn workers(&self) -> Result<(Vec<Registration>, Version), Error>;

    /// Waits up to `wait` for changes to the registered workers after version `after`.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no side effects.
    async fn worker_feed(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Feed<Registration>, Error>;

    /// Reads all rows that operators have written, and the position from which the feed continues.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no side effects.
    async fn instructions(&self) -> Result<(Vec<Instruction>, Version), Error>;

    /// Waits up to `wait` for changes to the rows that operators write after version `after`.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no side effects.
    async fn instruction_feed(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Feed<Instruction>, Error>;

    /// Reports to operators whether a wave is complete.
    ///
    /// # Errors
    /// Any [`Error`]; the write is idempotent.
    async fn report_wave(&self, number: u64, complete: bool) -> Result<(), Error>;

    /// Reads all instances.
    ///
    /// # Errors
    /// Any [`Error`]; a read has no side effects.
    async fn instances(&self) -> Result<Vec<Instance>, Error>;

    /// Starts maintenance of an instance immediately; everything that runs on it is terminated.
    ///
    /// Dropping the call takes the order back if it hasn't arrived: instances may not check fencing tokens, and it must
    /// not be carried out after a later holder's.
    ///
    /// # Errors
    /// [`Error::Unknown`] if the order may have been carried out.
    async fn maintain(
        &self,
        instance: &Name,
        wave: u64,
        holder: &LeaseHolder,
    ) -> Result<OrderOutcome, Error>;

    /// Moves an instance to another pool immediately; everything that runs on it is terminated.
    ///
    /// Dropping the call takes the order back if it hasn't arrived, as for [`Self::maintain`].
    ///
    /// # Errors
    /// [`Error::Unknown`] if the order may have been carried out.
    async fn relocate(
        &self,
        instance: &Name,
        pool: &Name,
        holder: &LeaseHolder,
    ) -> Result<OrderOutcome, Error>;
}

/// Encoding of callers' requests and responses.
pub trait Codec: Send + Sync + fmt::Debug {
    /// Decodes the body of a job submission.
    ///
    /// # Errors
    /// A description of the fault, which is returned to the caller.
    fn submission(&self, body: &[u8]) -> Result<Job, String>;

    /// Returns the key that a request carries, if any.
    fn key<'a>(&self, headers: &'a http::HeaderMap) -> Option<&'a [u8]>;

    /// Returns how long the caller waits for a response, if its headers specify it.
    fn request_timeout(&self, headers: &http::HeaderMap) -> Option<Duration>;

    /// Encodes a job's state.
    fn state(&self, state: State) -> Bytes;

    /// Encodes the number of jobs in a queue that have no started task.
    fn queued(&self, jobs: u64) -> Bytes;
}
