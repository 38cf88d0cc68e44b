//! Scheduling of the background jobs of a pool's services.
//!
//! Decisions only: [`Scheduler`] takes rows, reports and the state of the instances, and returns a
//! [`Plan`] of rows to commit and calls to make. It has no clock, does no I/O and draws no random
//! numbers; the controller role drives it, and a new controller rebuilds it from the rows.
//!
//! * [`Shares`]: weighted dominant-resource fairness over accounts.
//! * [`SizeEstimator`]: sizes estimated from lagging reports, since declared ones are off by up to a
//!   factor of ten.
//! * [`FaultTracker`]: whether a job or an instance is faulty, and limits until that is known.
//! * [`Scheduler`]: runs and their leases, the queue, drains, throttling, cancellations.
//!
//! # Never two runs of one job
//!
//! A start has a token that is committed with the row before the call, and the platform refuses a
//! token that is not newer. A second start is planned only after a report that the first has ended,
//! or after its lease has certainly expired: it is no longer renewed, no renewal is in flight, and
//! the lease and a margin have passed since the last one returned. See [`lease::Run`].

mod action;
mod amount;
mod fault;
pub mod lease;
mod limits;
mod row;
mod scheduler;
mod share;
mod size;
mod worker;

pub use action::{Action, Plan};
pub use fault::{FaultTracker, JobClass};
pub use limits::Limits;
pub use row::{Kind, Reason, Row, State};
pub use scheduler::Scheduler;
pub use share::{ShareRank, Shares};
pub use size::SizeEstimator;
pub use worker::{Availability, Worker};
