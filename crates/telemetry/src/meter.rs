//! Typed instruments, rendered in the Prometheus text format.

use opentelemetry::{
    KeyValue, StringValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::{
    error::OTelSdkError,
    metrics::{Instrument, SdkMeterProvider, Stream},
};
use primroseroute_domain::{
    change::Seq,
    id,
    outcome::{Code, Verdict},
};
use primroseroute_platform::error::Error as PlatformError;
use prometheus::{Registry, TextEncoder};
use std::{fmt, sync::Arc, time::Duration};

/// Namespace of every metric.
const NAMESPACE: &str = "primroseroute";

/// Bucket boundaries of durations in seconds: from half the latency between two availability zones to
/// the longest default timeout.
const DURATION_BUCKETS: [f64; 14] = [
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0,
];

/// Maximum number of time series per instrument: 300 services, each with a handful of calling
/// accounts and result codes, need a few thousand. The library's default of 2,000 would merge the
/// excess into one series.
const MAX_SERIES: usize = 20_000;

/// Label value of requests without an account or service.
const NONE: &str = "-";

/// Error of setting up or rendering the metrics.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exporter could not be registered.
    #[error("failed to set up the metrics exporter")]
    Open(#[from] OTelSdkError),
    /// The metrics could not be rendered as text.
    #[error("the metrics cannot be rendered")]
    Render(#[from] prometheus::Error),
}

/// A finished request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The calling account, if known.
    pub account: Option<&'a id::Account>,
    /// The requested service, if any.
    pub service: Option<&'a id::Service>,
    /// The result code; `None` if the backend server's response was forwarded.
    pub code: Option<Code>,
    /// The verdict reported to the caller.
    pub verdict: Verdict,
    /// Time from the request head to the end of the response.
    pub duration: Duration,
}

/// Defines enums for closed sets of label values.
macro_rules! labels {
    ($($(#[$doc:meta])* $set:ident { $($(#[$value_doc:meta])* $value:ident = $label:literal,)+ })+) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $set {
            $($(#[$value_doc])* $value,)+
        }

        impl $set {
            fn label(self) -> &'static str {
                match self { $(Self::$value => $label),+ }
            }
        }
    )+};
}

labels! {
    /// A kind of call to the platform.
    StoreCall {
        /// Reading one row.
        Read = "read",
        /// Scanning rows.
        Scan = "scan",
        /// Committing a transaction.
        Commit = "commit",
        /// Any call of the object store.
        Object = "object",
        /// Any call on instances.
        Instances = "instances",
        /// Any call on tasks.
        Tasks = "tasks",
    }
}

pub(crate) fn end_label(error: Option<&PlatformError>) -> &'static str {
    match error {
        None => "ok",
        Some(PlatformError::Unavailable(_)) => "unavailable",
        Some(PlatformError::Throttled) => "throttled",
        Some(PlatformError::Unknown(_)) => "unknown",
        Some(PlatformError::Invalid(_)) => "invalid",
    }
}

fn label(key: &'static str, value: &'static str) -> KeyValue {
    KeyValue::new(key, value)
}

/// A label that shares the string of the name instead of copying it.
fn named<N: Clone + Into<Arc<str>>>(key: &'static str, name: Option<&N>) -> KeyValue {
    match name {
        Some(name) => KeyValue::new(key, StringValue::from(name.clone().into())),
        None => label(key, NONE),
    }
}

/// Label with the number of the code; 0 if a backend server's response was forwarded.
fn code_label(code: Option<Code>) -> KeyValue {
    KeyValue::new("code", i64::from(code.map_or(0, Code::number)))
}

/// The instruments of one entry; clones share them.
#[derive(Clone)]
pub struct Meter {
    registry: Registry,
    /// Keeps the instruments connected to the registry.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    request_seconds: Histogram<f64>,
    queue_depth: Gauge<u64>,
    retries: Counter<u64>,
    ejected: Gauge<u64>,
    store_calls: Counter<u64>,
    store_seconds: Histogram<f64>,
    view_seq: Gauge<u64>,
}

impl fmt::Debug for Meter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Meter").finish_non_exhaustive()
    }
}

fn with_series_limit(_: &Instrument) -> Option<Stream> {
    Stream::builder()
        .with_cardinality_limit(MAX_SERIES)
        .build()
        .ok()
}

/// A new registry with the meter that feeds it.
pub(crate) struct Instruments {
    pub registry: Registry,
    /// Keeps the instruments connected to the registry.
    pub provider: SdkMeterProvider,
    pub meter: opentelemetry::metrics::Meter,
}

impl Instruments {
    pub(crate) fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(NAMESPACE)
            .without_target_info()
            .scope_info_enabled(false)
            .build()?;
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_view(with_series_limit)
            .build();
        let meter = provider.meter(NAMESPACE);
        Ok(Self {
            registry,
            provider,
            meter,
        })
    }
}

pub(crate) fn counter(
    meter: &opentelemetry::metrics::Meter,
    name: &'static str,
    description: &'static str,
) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

pub(crate) fn gauge(
    meter: &opentelemetry::metrics::Meter,
    name: &'static str,
    description: &'static str,
) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}

/// A histogram of durations.
pub(crate) fn duration_histogram(
    meter: &opentelemetry::metrics::Meter,
    name: &'static str,
    description: &'static str,
) -> Histogram<f64> {
    let histogram = meter
        .f64_histogram(name)
        .with_description(description)
        .with_unit("s");
    histogram.with_boundaries(DURATION_BUCKETS.to_vec()).build()
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
            requests: counter("requests", "Finished requests"),
            request_seconds: durations("request_duration", "Time from a request's head to its end"),
            queue_depth: gauge("queue_depth", "Requests that wait for a slot"),
            retries: counter("retries", "Further attempts, by the code of the failed one"),
            ejected: gauge("ejected", "Workers that are out of the choice"),
            store_calls: counter("store_calls", "Calls to the platform, by how they ended"),
            store_seconds: durations("store_call_duration", "Time of calls to the platform"),
            view_seq: gauge("view_seq", "Newest change in force on this entry"),
            registry,
            _provider: provider,
        })
    }

    /// Counts a finished request.
    pub fn request(&self, request: Request<'_>) {
        let service = named("service", request.service);
        let duration = request.duration.as_secs_f64();
        self.request_seconds
            .record(duration, std::slice::from_ref(&service));
        let labels = [
            named("account", request.account),
            service,
            code_label(request.code),
            label("verdict", request.verdict.as_str()),
        ];
        self.requests.add(1, &labels);
    }

    /// Sets the number of queued requests of `account` for `service`.
    pub fn queue_depth(&self, account: &id::Account, service: &id::Service, depth: u64) {
        let labels = [
            named("account", Some(account)),
            named("service", Some(service)),
        ];
        self.queue_depth.record(depth, &labels);
    }

    /// Counts a retry after an attempt that failed with `code`.
    pub fn retry(&self, service: &id::Service, code: Code) {
        let labels = [named("service", Some(service)), code_label(Some(code))];
        self.retries.add(1, &labels);
    }

    /// Sets the number of ejected workers of `pool`.
    pub fn ejected(&self, pool: &id::Pool, workers: u64) {
        self.ejected.record(workers, &[named("pool", Some(pool))]);
    }

    /// Records a call to the platform with its duration and its error, if any.
    pub fn store_call(&self, call: StoreCall, error: Option<&PlatformError>, duration: Duration) {
        let call = label("call", call.label());
        self.store_seconds
            .record(duration.as_secs_f64(), std::slice::from_ref(&call));
        self.store_calls
            .add(1, &[call, label("end", end_label(error))]);
    }

    /// Sets the newest change in effect on this entry.
    pub fn view(&self, seq: Seq) {
        self.view_seq.record(seq.0, &[]);
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// [`Error::Render`] if the registry contains something that the format cannot represent.
    pub fn render(&self) -> Result<String, Error> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}
