//! Tests of the load tool.

mod plan;
mod runs;
mod shares;
