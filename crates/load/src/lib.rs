//! A load tool: callers of several accounts, in open or closed loop, against entries on loopback.
//!
//! # Open and closed loop
//!
//! A closed loop has a fixed number of callers, each with one request at a time; it finds how much
//! a system can do. An open loop sends at times that were drawn beforehand, whatever the system
//! does; it shows what callers see at a given load.
//!
//! # Coordinated omission
//!
//! A tool that waits for a slow answer before it sends the next request leaves out the requests
//! that would have waited too, and its percentiles look better than what callers see. Here the
//! latency of an open loop counts from the time at which the request was due, also where the tool
//! itself was late to send it.
//!
//! # Bounds
//!
//! A [`Plan`] is bounded in time, in requests and in requests in flight, and its targets are
//! loopback addresses; [`run`] refuses any other. Arrivals, accounts and targets are drawn from the
//! plan's seed, so two runs of a plan send the same requests at the same times.

mod arrival;
mod client;
mod outcome;
mod plan;
mod record;
mod run;
pub mod share;

pub use arrival::Arrivals;
pub use outcome::{Outcome, Tally};
pub use plan::{Invalid, Loop, MAX_IN_FLIGHT, MAX_REQUESTS, MAX_TIME, Plan, Profile, Target};
pub use run::run;
