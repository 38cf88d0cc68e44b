//! Tests of logs and metrics.

mod budget;
mod lines;
mod metrics;
mod site;
