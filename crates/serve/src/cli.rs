//! The command line of the entry's process.

use crate::{Fields, parts, signal, site};
use clap::{Parser, Subcommand};
use eyre::{Result, WrapErr};
use log::LevelFilter;
use primroseroute_entry::Entry;
use primroseroute_settings::{Error, Settings, documented};
use primroseroute_telemetry::log::Log;
use std::{path::PathBuf, process::ExitCode};

/// Serve callers, hold promises, and keep a fleet moving.
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
        /// Its settings.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Run an entry on the users' platform until SIGTERM.
    Site {
        /// The platform's settings file; without it, the file that the platform names.
        #[arg(long)]
        settings: Option<PathBuf>,
        /// Least severe level that is logged.
        #[arg(long, default_value = "info")]
        level: LevelFilter,
        /// Port of the metrics; none are served without it.
        #[arg(long)]
        metrics_port: Option<u16>,
    },
    /// Report every fault of a settings file.
    Check {
        /// The file.
        #[arg(long, required_unless_present = "platform")]
        settings: Option<PathBuf>,
        /// A settings file in the platform's format, as `site` reads it.
        #[arg(long, conflicts_with = "settings")]
        platform: Option<PathBuf>,
    },
    /// Print the documented default settings.
    Settings,
}

/// Exit code where the settings are faulty.
const FAULTY: u8 = 2;

/// Runs the command line.
///
/// # Errors
/// Where the entry cannot start.
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
            Err(error) => Ok(report(&error)),
        },
    }
}

/// Checks the file of either format; the command line takes exactly one.
fn check(settings: Option<PathBuf>, platform: Option<PathBuf>) -> ExitCode {
    let own = settings.map(|path| Settings::load(&path));
    if let Some(Err(error)) = own {
        return report(&error);
    }
    match platform.map(|path| primroseroute_adapter::Settings::load(&path)) {
        Some(Err(fault)) => site::report(&fault),
        Some(Ok(_)) | None => ExitCode::SUCCESS,
    }
}

fn report(error: &Error) -> ExitCode {
    if error.faults().is_empty() {
        eprintln!("{error}");
    }
    for fault in error.faults() {
        eprintln!("{fault}");
    }
    ExitCode::from(FAULTY)
}

async fn serve(settings: &Settings) -> Result<ExitCode> {
    let fields = Fields::of(settings);
    let log = Log::start(fields.level).wrap_err("starting the log")?;
    let stop = signal::stop()?;
    let name = fields.entry.clone();
    let entry = Entry::spawn(parts::build(fields, &settings.secrets)?)
        .await
        .wrap_err("starting the entry")?;
    log::info!(
        "entry {name} serves callers on {} and operators on {}",
        entry.callers(),
        entry.admin()
    );
    stop.await;
    log::info!("entry {name} stops");
    entry.stop().await;
    log::info!("entry {name} has stopped");
    drop(log);
    Ok(ExitCode::SUCCESS)
}
