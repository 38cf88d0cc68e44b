//! Tests of logging and metrics.

mod budget;
mod lines;
mod metrics;
mod site;
