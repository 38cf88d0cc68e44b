//! `primroseroute`, the entry as a process: its command line, settings turned into parts, signals.
//!
//! `serve` runs until SIGTERM or SIGINT, then stops gracefully and exits with 0. `check` reports
//! every fault of a settings file; `settings` prints the documented default.

mod cli;
mod fields;
mod metered;
mod page;
mod parts;
mod signal;
mod site;

pub use cli::{Cli, run};
pub use fields::Fields;
