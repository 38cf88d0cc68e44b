//! Maintenance waves (rolling reboots): selection of the next instances, and cost of a wave.
//!
//! The progress of a wave is not stored separately but derived from the instances' rows: an
//! instance is out while its row's purpose names the wave, done once it was maintained after the
//! wave began, and failed while it is quarantined with that purpose. So a new controller continues
//! from the rows alone, and an instance that moves or is lost in the meantime is never counted
//! twice.
//!
//! # Batches
//!
//! [`step`] takes out as many instances as the wave's concurrency limit allows, from the pools with
//! the most rounds left, each within its budget after the worst further loss. The limit starts
//! small and grows with each instance that came back well, so that it doubles with each batch.
//! Pools are maintained in parallel; within a pool, instances of the fullest rack or zone go first,
//! which allows the most disruptions.
//!
//! # Stopping
//!
//! A wave halts if its first instance fails, or if at least [`Limits::failures`] instances fail
//! within [`Limits::together_seconds`] and are at least [`Limits::percent`] of the instances that
//! failed or came back in that time. The percentage keeps a wave over a large fleet from stopping
//! at a few unrelated failures. A halted or aborted wave returns instances that still drain to
//! serving.

mod plan;
mod progress;
mod row;
mod select;
mod step;

pub use plan::{Batch, Plan, plan};
pub use progress::{Progress, progress};
pub use row::{Command, Limits, Order, Row, Scope, State, Window};
pub use step::{Action, step};
