//! Tests of the request path decisions.
//!
//! Modules whose names start with `reference` compare an implementation with a naive reference that
//! keeps the whole history and recomputes everything; `checker` checks invariants of a whole pool.

mod basics;
mod checker;
mod ejection;
mod fixture;
mod goals;
mod lending;
mod reference_allocation;
mod reference_choice;
mod reference_fair;
mod reference_measures;
#[path = "../../benches/sim/mod.rs"]
mod sim;
