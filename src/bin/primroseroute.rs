//! The entry's process; `primroseroute --help` lists the commands.

use clap::Parser;
use primroseroute_serve::{Cli, run};
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    run(Cli::parse()).await.unwrap_or_else(|report| {
        eprintln!("primroseroute: {report:#}");
        ExitCode::FAILURE
    })
}
