//! Tests of the settings conversion, without starting a process.

mod entry_options;
mod examples;
