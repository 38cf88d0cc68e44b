//! Telemetry of an entry: logs as JSON lines, and metrics in the Prometheus text format.
//!
//! * [`log`]: one JSON object per line; lines about one request carry its id.
//! * [`budget`]: rate limiting per log statement, and a writer that never blocks.
//! * [`Meter`]: typed instruments on top of OpenTelemetry. It is passed in at construction and there
//!   is no global instance, so that several entries in one process have separate metrics.
//!
//! * [`site::Meter`]: the same for the job path.
//!
//! Label values come from the configuration and from closed sets, never from caller input: a caller
//! that invents names could otherwise exhaust the entry's memory with time series.

pub mod budget;
pub mod log;
pub mod meter;
pub mod site;

pub use meter::Meter;
