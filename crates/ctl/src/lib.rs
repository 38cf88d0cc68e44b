//! `primrosectl`, the operators' command line.
//!
//! Each command is one request to the admin address of any entry, or several with `--wait` and
//! `--follow`. Output is a table for people or JSON for programs; [`exit`] lists the exit codes.

mod cli;
mod command;
pub mod exit;
mod output;
mod wait;

pub use cli::Cli;
pub use command::run;
