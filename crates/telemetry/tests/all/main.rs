//! Tests of logs and metrics.

mod lines;
mod metrics;
