//! Tests of the request path decisions.
//!
//! Modules whose names start with `twin` compare an implementation with a naive reference that keeps
//! the whole history and recomputes everything; `checker` checks invariants of a whole pool.

mod basics;
mod bed;
mod checker;
mod ejection;
mod goals;
mod lending;
#[path = "../../benches/sim/mod.rs"]
mod sim;
mod twin_choice;
mod twin_division;
mod twin_fair;
mod twin_measures;
