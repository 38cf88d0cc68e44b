//! What an entry tells of itself: logs as JSON lines, and metrics in Prometheus form.
//!
//! * [`log`]: one JSON object a line on standard error; what concerns one request carries its id.
//! * [`budget`]: a bound on the lines of one kind, and a way out that never blocks.
//! * [`Meter`]: typed instruments over OpenTelemetry. It is handed in at construction and there is
//!   no global one, so that many entries in one process keep their figures apart.
//!
//! * [`site::Meter`]: the same for the job path.
//!
//! Labels come from the configuration and from closed sets, never from what a caller sent: a caller
//! who makes names up could otherwise fill the entry's memory with series.

pub mod budget;
pub mod log;
pub mod meter;
pub mod site;

pub use meter::Meter;
