//! Tests of the settings.

mod document;
mod faults;
mod secrets;
