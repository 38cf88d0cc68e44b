//! Background work of a pool's services: which job runs where, and what becomes of it.
//!
//! Decisions only: [`Board`] takes in rows, reports and the state of the instances, and gives out
//! a [`Plan`] of rows to commit and calls to make. It has no clock, does no I/O and draws no random
//! numbers; the controller role drives it and a successor builds it again from the rows.
//!
//! * [`Shares`]: weighted dominant-resource fairness over accounts.
//! * [`Sizes`]: sizes learned from lagging reports, since declared ones are off by ten times.
//! * [`Faults`]: whether the job or the instance is at fault, and bounds until that is known.
//! * [`Board`]: runs and their leases, the queue, drains, throttling, cancellations.
//!
//! # Never two runs of one job
//!
//! A start has a token that is committed with the row before the call, and the platform refuses a
//! token that is not newer. A second start is planned only when the first has ended by a report, or
//! when its lease has surely lapsed: it is renewed no further, no renewal is on its way, and the
//! lease and a margin have passed since the last one returned. See [`lease::Run`].

mod action;
mod amount;
mod board;
mod fault;
pub mod lease;
mod limits;
mod row;
mod share;
mod size;
mod worker;

pub use action::{Action, Plan};
pub use board::Board;
pub use fault::{Faults, Sort};
pub use limits::Limits;
pub use row::{Kind, Reason, Row, State};
pub use share::{Place, Shares};
pub use size::Sizes;
pub use worker::{Availability, Worker};
