//! The entry process; `primroseroute --help` lists the commands.

use clap::Parser;
use primroseroute_serve::{Cli, run};
use std::{io, num::NonZero, process::ExitCode, thread::available_parallelism};
use tokio::runtime::{Builder, Runtime};

/// Builds a runtime for the number of processor cores available to the process.
///
/// On a single core, worker threads would only add wake-ups and hand-overs, which a small entry cannot afford.
fn runtime() -> io::Result<Runtime> {
    let cores = available_parallelism().map_or(1, NonZero::get);
    let mut builder = if cores > 1 {
        Builder::new_multi_thread()
    } else {
        Builder::new_current_thread()
    };
    builder.enable_all().build()
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = runtime().map_err(Into::into);
    let result = result.and_then(|runtime| runtime.block_on(run(cli)));
    result.unwrap_or_else(|report| {
        eprintln!("primroseroute: {report:#}");
        ExitCode::FAILURE
    })
}
