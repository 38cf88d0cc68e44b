//! The demo: a small deployment in one process, under load and faults, and its verdict.
//!
//! [`run`] starts the platform's stand-in, the workers of five services in three availability
//! zones, and three real entries over loopback. Callers of five accounts send reads and keyed holds
//! through a balancer that follows each entry's readiness, while a fixed schedule changes templates
//! and breaks things. The runner only records what happened, as typed [`judge::Event`]s;
//! [`judge::judge`] is pure and turns them into the [`judge::Report`], with every broken invariant
//! named. So a test can feed it a history that breaks an invariant and see it say so.
//!
//! The workload and the schedule come from a seed. Times are real, so figures differ between runs;
//! invariants may not.

mod balancer;
mod caller;
mod deployment;
mod journal;
pub mod judge;
mod options;
mod schedule;
mod stage;

pub use options::{Options, Progress};
pub use stage::run;
