//! The demo: runs a small deployment in one process under load and faults, and checks its invariants.
//!
//! [`run`] starts the simulated platform, the workers of five services in three availability zones,
//! and three real entries over loopback. Callers of five accounts send reads and keyed holds through
//! a load balancer that follows each entry's readiness, while a fixed schedule changes templates and
//! injects faults. The runner only records what happened, as typed [`checker::Event`]s;
//! [`checker::check_history`] is a pure function that turns them into a [`checker::Report`], which names every
//! violated invariant. Tests can therefore pass it a history that violates an invariant and assert
//! that the violation is reported.
//!
//! The workload and the schedule come from a seed. The run uses real time, so figures differ between
//! runs, but the invariants have to hold in each.

mod balancer;
mod caller;
pub mod checker;
mod deployment;
mod event_log;
mod options;
mod runner;
mod schedule;

pub use options::{Options, Progress};
pub use runner::run;
