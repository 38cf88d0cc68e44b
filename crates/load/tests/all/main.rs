//! Tests of the load generator.

mod plan;
mod runs;
mod shares;
