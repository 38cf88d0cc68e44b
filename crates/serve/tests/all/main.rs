//! Tests of the entry's process, without the process.

mod examples;
mod fields;
