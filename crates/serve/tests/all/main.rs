//! Tests of the settings conversion, without starting a process.

mod examples;
mod fields;
