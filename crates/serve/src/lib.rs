//! The `primroseroute` process: command line, construction of the entry from its settings, signals.
//!
//! `serve` runs until SIGTERM or SIGINT, then shuts down gracefully and exits with 0. `check` reports
//! all faults of a settings file; `settings` prints the documented defaults.

mod cli;
mod components;
mod entry_options;
mod metered;
mod metrics_handler;
mod signal;
mod site;

pub use cli::{Cli, run};
pub use entry_options::EntryOptions;
