//! Instruments of the job path, rendered in the Prometheus text format.

use crate::meter::{Error, Instruments, counter, duration_histogram, end_label, gauge};
use opentelemetry::{
    KeyValue, StringValue,
    metrics::{self, Counter, Gauge, Histogram},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use primroseroute_domain::work::{End, Name};
use primroseroute_platform::Error as PlatformError;
use prometheus::{Registry, TextEncoder, proto::MetricType};
use std::{fmt, time::Duration};

/// Label value of responses to requests that name no configured queue.
const NONE: &str = "-";

/// The instruments of one entry; clones share them.
#[derive(Clone)]
pub struct Meter {
    registry: Registry,
    /// Keeps the instruments connected to the registry.
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    admission_decisions: Counter<u64>,
    cancels: Counter<u64>,
    cancelled_submissions: Counter<u64>,
    connections: Gauge<u64>,
    connection_bytes: Gauge<u64>,
    connection_bytes_limit: Gauge<u64>,
    connections_closed: Counter<u64>,
    answer_seconds: Histogram<f64>,
    calls: Counter<u64>,
    call_seconds: Histogram<f64>,
    starts: Counter<u64>,
    ends: Counter<u64>,
    lost: Counter<u64>,
    takeovers: Counter<u64>,
    pools_owned: Gauge<u64>,
    pools_unowned: Gauge<u64>,
    running_cpu: Gauge<u64>,
    waiting_cpu: Gauge<u64>,
    expected_wait: Gauge<u64>,
    queued_jobs: Gauge<u64>,
    pools: PoolGauges,
    polls_fenced: Counter<u64>,
    runs_moved: Counter<u64>,
    commit_seconds: Histogram<f64>,
    jobs_read_seconds: Histogram<f64>,
    round_seconds: Histogram<f64>,
    order_seconds: Histogram<f64>,
}

/// Gauges by pool of what keeps work from going on.
#[derive(Clone)]
struct PoolGauges {
    slow_workers: Gauge<u64>,
    held_jobs: Gauge<u64>,
    unplaceable_steps: Gauge<u64>,
    tombstones: Gauge<u64>,
}

impl PoolGauges {
    fn open(meter: &metrics::Meter) -> Self {
        let gauge = |name, description| gauge(meter, name, description);
        Self {
            slow_workers: gauge("slow_workers", "Workers that are slow, by pool"),
            held_jobs: gauge(
                "held_jobs",
                "Jobs whose progress the store refuses, by pool",
            ),
            unplaceable_steps: gauge(
                "unplaceable_steps",
                "Waiting steps whose tasks no instance of the fleet can run, by pool",
            ),
            tombstones: gauge(
                "tombstones",
                "Ids that were cancelled before a job was stored, by pool",
            ),
        }
    }
}

impl fmt::Debug for Meter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Meter").finish_non_exhaustive()
    }
}

fn named(key: &'static str, name: Option<&Name>) -> KeyValue {
    match name {
        Some(name) => KeyValue::new(key, StringValue::from(Name::clone(name))),
        None => KeyValue::new(key, NONE),
    }
}

fn end_kind_label(end: End) -> &'static str {
    match end {
        End::Done => "done",
        End::Failed => "failed",
        End::Stopped => "stopped",
        End::Lapsed => "lapsed",
        End::Broken => "broken",
        End::Alone => "alone",
    }
}

impl Meter {
    /// Creates a separate set of instruments.
    ///
    /// # Errors
    /// [`Error::Open`] if the exporter cannot be registered; cannot happen with a new registry.
    pub fn open() -> Result<Self, Error> {
        let Instruments {
            registry,
            provider,
            meter,
        } = Instruments::new()?;
        let counter = |name, description| counter(&meter, name, description);
        let gauge = |name, description| gauge(&meter, name, description);
        let durations = |name, description| duration_histogram(&meter, name, description);
        Ok(Self {
            answers: counter("answers", "Answers to callers, by queue and status"),
            admission_decisions: counter(
                "admission_decisions",
                "Submissions that a pool was asked to take, by pool and outcome",
            ),
            cancels: counter("cancels", "Answers to cancels, by outcome"),
            cancelled_submissions: counter(
                "cancelled_submissions",
                "Submissions refused since their jobs were cancelled before",
            ),
            connections: gauge("connections", "Open connections of all listeners"),
            connection_bytes: gauge(
                "connection_bytes",
                "Memory that connections and their requests hold",
            ),
            connection_bytes_limit: gauge(
                "connection_bytes_limit",
                "Memory that connections and their requests may hold",
            ),
            connections_closed: counter(
                "connections_closed",
                "Connections closed whose clients kept the entry waiting, by reason",
            ),
            answer_seconds: durations(
                "answer_duration",
                "Time from a request's head to its answer",
            ),
            calls: counter(
                "calls",
                "Calls to the platform and to workers, by how they ended",
            ),
            call_seconds: durations(
                "call_duration",
                "Time of calls to the platform and to workers",
            ),
            starts: counter("starts", "Starts of runs, by what came of them"),
            ends: counter("ends", "Ends of runs, by how"),
            lost: counter("runs_lost", "Runs that were lost without an end, by cause"),
            takeovers: counter("takeovers", "Pools that this entry took over"),
            pools_owned: gauge("pools_owned", "Pools that this entry owns"),
            pools_unowned: gauge(
                "pools_unowned",
                "Pools without a live owner, as this entry sees it",
            ),
            running_cpu: gauge("running_millicores", "CPU of tasks that have runs, by pool"),
            waiting_cpu: gauge(
                "waiting_millicores",
                "CPU of tasks that could start and wait, by pool",
            ),
            expected_wait: gauge(
                "expected_wait_milliseconds",
                "Published wait of a job, by pool and by whether it is within its account's entitlement",
            ),
            queued_jobs: gauge("queued_jobs", "Jobs of which no task has started, by queue"),
            pools: PoolGauges::open(&meter),
            polls_fenced: counter(
                "polls_fenced",
                "Status polls that workers refused for their fencing token, by pool",
            ),
            runs_moved: counter(
                "runs_moved",
                "Runs that were stopped on slow workers to be started elsewhere, by pool",
            ),
            commit_seconds: durations(
                "commit_duration",
                "Time of an owner's commits, retries included",
            ),
            jobs_read_seconds: durations(
                "jobs_read_age",
                "Age of the newest answer of the feed of a pool's jobs, at each round",
            ),
            round_seconds: durations(
                "round_duration",
                "Time of a round of a pool's loop, its commit included",
            ),
            order_seconds: durations(
                "order_wait",
                "Time of orders to workers from the decision until they are sent",
            ),
            registry,
            _provider: provider,
        })
    }

    /// Records a response to a caller.
    pub fn response_sent(&self, queue: Option<&Name>, status: u16, duration: Duration) {
        let queue = named("queue", queue);
        self.answer_seconds
            .record(duration.as_secs_f64(), std::slice::from_ref(&queue));
        let status = KeyValue::new("status", i64::from(status));
        self.answers.add(1, &[queue, status]);
    }

    /// Counts a decision whether a pool takes a job.
    pub fn admission_decided(&self, pool: &Name, outcome: &'static str) {
        let outcome = KeyValue::new("outcome", outcome);
        self.admission_decisions
            .add(1, &[named("pool", Some(pool)), outcome]);
    }

    /// Counts an answer to a cancel.
    pub fn cancel_answered(&self, outcome: &'static str) {
        self.cancels.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a submission that is refused since its job was cancelled before.
    pub fn cancelled_submission_refused(&self) {
        self.cancelled_submissions.add(1, &[]);
    }

    /// Sets the number of open connections.
    pub fn connections_open(&self, connections: u64) {
        self.connections.record(connections, &[]);
    }

    /// Sets the memory that connections hold, and that they may hold, in bytes.
    pub fn connections_held(&self, bytes: u64, limit: u64) {
        self.connection_bytes.record(bytes, &[]);
        self.connection_bytes_limit.record(limit, &[]);
    }

    /// Counts connections that are closed since their clients keep the entry waiting.
    pub fn connections_closed(&self, reason: &'static str, count: u64) {
        self.connections_closed
            .add(count, &[KeyValue::new("reason", reason)]);
    }

    /// Records a call with its duration and its error, if any.
    pub fn call_finished(
        &self,
        call: &'static str,
        error: Option<&PlatformError>,
        duration: Duration,
    ) {
        let call = KeyValue::new("call", call);
        self.call_seconds
            .record(duration.as_secs_f64(), std::slice::from_ref(&call));
        self.calls
            .add(1, &[call, KeyValue::new("end", end_label(error))]);
    }

    /// Counts an attempted start of a run by its outcome.
    pub fn start_finished(&self, outcome: &'static str) {
        self.starts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a run that ended.
    pub fn run_ended(&self, end: End) {
        self.ends
            .add(1, &[KeyValue::new("how", end_kind_label(end))]);
    }

    /// Counts runs that were lost without reporting an end.
    pub fn runs_lost(&self, cause: &'static str, runs: u64) {
        self.lost.add(runs, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a takeover of a pool.
    pub fn pool_taken_over(&self, pool: &Name) {
        self.takeovers.add(1, &[named("pool", Some(pool))]);
    }

    /// Sets the number of pools that this entry owns.
    pub fn pools_owned(&self, pools: u64) {
        self.pools_owned.record(pools, &[]);
    }

    /// Sets the number of pools that have no live owner, as this entry sees it.
    pub fn pools_unowned(&self, pools: u64) {
        self.pools_unowned.record(pools, &[]);
    }

    /// Sets the demand of a pool's tasks in thousandths of a core: of those that have runs, and of
    /// those that could start and wait.
    pub fn demand(&self, pool: &Name, running: u64, waiting: u64) {
        let pool = named("pool", Some(pool));
        self.running_cpu
            .record(running, std::slice::from_ref(&pool));
        self.waiting_cpu.record(waiting, &[pool]);
    }

    /// Sets the waits that a pool publishes: of a job within its account's entitlement, and of one
    /// beyond it.
    pub fn expected_waits(&self, pool: &Name, within: Duration, beyond: Duration) {
        for (entitlement, wait) in [("within", within), ("beyond", beyond)] {
            let wait = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            let labels = [
                named("pool", Some(pool)),
                KeyValue::new("entitlement", entitlement),
            ];
            self.expected_wait.record(wait, &labels);
        }
    }

    /// Sets the number of jobs of a queue that have not started.
    pub fn jobs_queued(&self, queue: &Name, jobs: u64) {
        self.queued_jobs
            .record(jobs, &[named("queue", Some(queue))]);
    }

    /// Sets the number of slow workers of a pool.
    pub fn slow_workers(&self, pool: &Name, workers: u64) {
        self.pools
            .slow_workers
            .record(workers, &[named("pool", Some(pool))]);
    }

    /// How many jobs of a pool are held since the store refuses their progress.
    pub fn held_jobs(&self, pool: &Name, jobs: u64) {
        self.pools
            .held_jobs
            .record(jobs, &[named("pool", Some(pool))]);
    }

    /// A worker of a pool has refused a poll for its fencing token.
    pub fn poll_fenced(&self, pool: &Name) {
        self.polls_fenced.add(1, &[named("pool", Some(pool))]);
    }

    /// How many waiting steps of a pool no instance of the fleet can run.
    pub fn unplaceable_steps(&self, pool: &Name, steps: u64) {
        self.pools
            .unplaceable_steps
            .record(steps, &[named("pool", Some(pool))]);
    }

    /// Sets the number of cancelled ids of a pool that tombstones hold.
    pub fn tombstones(&self, pool: &Name, tombstones: u64) {
        self.pools
            .tombstones
            .record(tombstones, &[named("pool", Some(pool))]);
    }

    /// Counts runs that are moved off slow workers of a pool.
    pub fn runs_moved(&self, pool: &Name, runs: u64) {
        self.runs_moved.add(runs, &[named("pool", Some(pool))]);
    }

    /// Records the duration of an owner's commit.
    pub fn commit_finished(&self, duration: Duration) {
        self.commit_seconds.record(duration.as_secs_f64(), &[]);
    }

    /// Records the age of the latest response of the change feed of a pool's jobs.
    pub fn jobs_feed_age(&self, pool: &Name, ago: Duration) {
        self.jobs_read_seconds
            .record(ago.as_secs_f64(), &[named("pool", Some(pool))]);
    }

    /// Records the duration of a round of a pool's decision loop.
    pub fn round_finished(&self, pool: &Name, duration: Duration) {
        self.round_seconds
            .record(duration.as_secs_f64(), &[named("pool", Some(pool))]);
    }

    /// Records how long an order to a worker was queued.
    pub fn order_waited(&self, order: &'static str, waited: Duration) {
        self.order_seconds
            .record(waited.as_secs_f64(), &[KeyValue::new("order", order)]);
    }

    /// Renders all metrics in the Prometheus text format, histograms last: a collector may keep only
    /// the beginning, and they take most of the text.
    ///
    /// # Errors
    /// [`Error::Render`] if the registry contains something that the format cannot represent.
    pub fn render(&self) -> Result<String, Error> {
        let mut families = self.registry.gather();
        families.sort_by_key(|family| family.get_field_type() == MetricType::HISTOGRAM);
        Ok(TextEncoder::new().encode_to_string(&families)?)
    }
}
