//! A load generator: callers of several accounts, in an open or closed loop, against entries on
//! loopback addresses.
//!
//! # Open and closed loop
//!
//! A closed loop has a fixed number of callers, each with one request at a time; it measures the
//! throughput of a system. An open loop sends at precomputed times, independent of the system's
//! responses; it measures the latency that callers see at a given load.
//!
//! # Coordinated omission
//!
//! A load generator that waits for a slow response before it sends the next request omits the
//! requests that would have waited too, so its percentiles look better than what callers see. Here
//! the latency of an open loop is measured from the request's scheduled send time, even where the
//! load generator itself sent it late.
//!
//! # Bounds
//!
//! A [`Plan`] is bounded in time, in requests and in requests in flight, and its targets are
//! loopback addresses; [`run`] rejects any other. Arrivals, accounts and targets are derived from
//! the plan's seed, so two runs of a plan send the same requests at the same times.

mod arrival;
mod client;
mod outcome;
mod plan;
mod record;
mod run;
pub mod share;

pub use arrival::Arrivals;
pub use outcome::{Outcome, Tally};
pub use plan::{InvalidPlan, Loop, MAX_IN_FLIGHT, MAX_REQUESTS, MAX_TIME, Plan, Profile, Target};
pub use run::run;
