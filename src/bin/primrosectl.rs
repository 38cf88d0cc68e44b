//! Command line for operators; `primrosectl --help` lists the commands.

use clap::Parser;
use primroseroute_ctl::{Cli, exit, run};
use std::{io::stdout, process::ExitCode};

#[tokio::main]
async fn main() -> ExitCode {
    let code = run(Cli::parse(), &mut stdout())
        .await
        .unwrap_or_else(|report| {
            eprintln!("primrosectl: {report:#}");
            exit::FAILED
        });
    ExitCode::from(code)
}
