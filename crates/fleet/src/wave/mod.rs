//! Maintenance waves: which instances to take out next, and what a wave would cost.
//!
//! A wave's progress is not kept beside the instances' rows but read off them: an instance is out
//! while its row's purpose names the wave, done once it was maintained after the wave began, and
//! failed while it is quarantined with that purpose. So a new controller goes on from the rows
//! alone, and an instance that moves or is lost in between is never counted twice.
//!
//! # Batches
//!
//! [`step`] takes out as many as the width allows, from the pools that have the most rounds before
//! them, each within its budget after the worst further loss. The width begins small and grows
//! with each instance that came back well, so that it doubles with each batch. Pools go side by
//! side; within a pool those of the fullest rack or zone go first, which leaves the most room.
//!
//! # Stopping
//!
//! A wave halts where its first instance fails, or where at least [`Limits::failures`] fail within
//! [`Limits::together_seconds`] and are at least [`Limits::percent`] of what ended in that time.
//! The rate keeps a wave over a large fleet from stopping at a few failures that have nothing to
//! do with each other. A halted or aborted wave lets what still drains serve again.

mod plan;
mod progress;
mod row;
mod select;
mod step;

pub use plan::{Batch, Plan, plan};
pub use progress::{Progress, progress};
pub use row::{Command, Limits, Order, Row, Scope, State, Window};
pub use step::{Action, step};
