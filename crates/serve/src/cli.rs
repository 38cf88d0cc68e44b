//! Command line of the entry process.

use crate::{EntryOptions, components, signal, site};
use clap::{Parser, Subcommand};
use eyre::{Result, WrapErr};
use log::LevelFilter;
use primroseroute_entry::Entry;
use primroseroute_settings::{Error, Settings, documented};
use primroseroute_telemetry::log::Log;
use std::{path::PathBuf, process::ExitCode};

/// Routes callers' requests and manages the capacity and maintenance of a fleet.
#[derive(Debug, Parser)]
#[command(name = "primroseroute", version, propagate_version = true)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run the entry until SIGTERM.
    Serve {
        /// Path of the settings file.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Run an entry on the users' platform until SIGTERM.
    Site {
        /// Settings file in the platform's format; defaults to the file named by the platform.
        #[arg(long)]
        settings: Option<PathBuf>,
        /// Least severe level that is logged.
        #[arg(long, default_value = "info")]
        level: LevelFilter,
        /// Port to serve metrics on; without it, no metrics are served.
        #[arg(long)]
        metrics_port: Option<u16>,
    },
    /// Validate a settings file and report all faults.
    Check {
        /// Path of the settings file.
        #[arg(long, required_unless_present = "platform")]
        settings: Option<PathBuf>,
        /// A settings file in the platform's format, as `site` reads it.
        #[arg(long, conflicts_with = "settings")]
        platform: Option<PathBuf>,
    },
    /// Print the documented default settings.
    Settings,
}

/// Exit code for invalid settings.
const INVALID_SETTINGS: u8 = 2;

/// Runs the command line.
///
/// # Errors
/// If the entry cannot start.
pub async fn run(cli: Cli) -> Result<ExitCode> {
    match cli.command {
        Command::Settings => {
            print!("{}", documented());
            Ok(ExitCode::SUCCESS)
        }
        Command::Check { settings, platform } => Ok(check(settings, platform)),
        Command::Site {
            settings,
            level,
            metrics_port,
        } => site::run(settings, level, metrics_port).await,
        Command::Serve { settings } => match Settings::load(&settings) {
            Ok(settings) => serve(&settings).await,
            Err(error) => Ok(print_faults(&error)),
        },
    }
}

/// Validates a settings file of either format; the command line accepts exactly one.
fn check(settings: Option<PathBuf>, platform: Option<PathBuf>) -> ExitCode {
    let loaded = settings.map(|path| Settings::load(&path));
    if let Some(Err(error)) = loaded {
        return print_faults(&error);
    }
    match platform.map(|path| primroseroute_adapter::Settings::load(&path)) {
        Some(Err(fault)) => site::print_faults(&fault),
        Some(Ok(_)) | None => ExitCode::SUCCESS,
    }
}

fn print_faults(error: &Error) -> ExitCode {
    if error.faults().is_empty() {
        eprintln!("{error}");
    }
    for fault in error.faults() {
        eprintln!("{fault}");
    }
    ExitCode::from(INVALID_SETTINGS)
}

async fn serve(settings: &Settings) -> Result<ExitCode> {
    let options = EntryOptions::of(settings);
    let log = Log::start(options.level).wrap_err("failed to start logging")?;
    let shutdown = signal::shutdown()?;
    let name = options.entry.clone();
    let entry = Entry::spawn(components::build(options, &settings.secrets)?)
        .await
        .wrap_err("failed to start the entry")?;
    log::info!(
        callers:% = entry.callers(),
        admin:% = entry.admin();
        "entry {name} serves callers on {} and operators on {}",
        entry.callers(),
        entry.admin()
    );
    shutdown.await;
    log::info!("entry {name} is stopping");
    entry.stop().await;
    log::info!("entry {name} has stopped");
    drop(log);
    Ok(ExitCode::SUCCESS)
}
