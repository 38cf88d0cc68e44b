//! Tests of the request path's decisions.
//!
//! The modules that start with `twin` compare a decision with a naive version of it that keeps the
//! whole history and works everything out anew; `checker` watches a whole pool from outside.

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
