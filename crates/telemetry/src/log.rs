//! Logs: one JSON object a line on standard error.
//!
//! The `log` crate has one logger for the process, so there is one [`Log`] for all entries in it;
//! a line that concerns one entry or request says so in its fields, as in
//! `info!(request_id = id; "sent again")`.

use crate::budget::Outlet;
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::{LevelFilter, Record};
use std::{fmt, io};

/// Field that names the request a line is about.
pub const REQUEST_ID: &str = "request_id";

/// Field that names the entry a line is about.
pub const ENTRY: &str = "entry";

/// Start of the module paths of this system.
const OWN: &str = "primroseroute";

/// Why logging could not be started.
#[derive(Debug, thiserror::Error)]
#[error("logging cannot be started")]
pub struct Error(#[from] FlexiLoggerError);

/// The process's logger; lines that are under way are written when it is dropped.
pub struct Log {
    handle: LoggerHandle,
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log").finish_non_exhaustive()
    }
}

/// Own lines down to `level`; of libraries only warnings and errors, which name no secrets.
fn specification(level: LevelFilter) -> LogSpecification {
    LogSpecification::builder()
        .default(level.min(LevelFilter::Warn))
        .module(OWN, level)
        .build()
}

impl Log {
    /// Starts logging to standard error, down to `level`.
    ///
    /// # Errors
    /// [`Error`] where the process has a logger already.
    pub fn start(level: LevelFilter) -> Result<Self, Error> {
        let logger = Logger::with(specification(level))
            .format(line)
            .log_to_stderr();
        Ok(Self {
            handle: logger.start()?,
        })
    }

    /// Starts logging to standard output, down to `level`: bounded by kind, and never blocking.
    ///
    /// # Errors
    /// [`Error`] where the process has a logger already, or no thread can be started.
    pub fn start_on_stdout(level: LevelFilter) -> Result<Self, Error> {
        let outlet = Outlet::spawn(io::stdout()).map_err(FlexiLoggerError::OutputIo)?;
        let logger = Logger::with(specification(level)).log_to_writer(Box::new(outlet));
        Ok(Self {
            handle: logger.start()?,
        })
    }

    /// Changes the level from now on.
    pub fn set_level(&self, level: LevelFilter) {
        self.handle.set_new_spec(specification(level));
    }
}

/// Writes `record` as one JSON object: level, timestamp, place in the code, fields and text.
///
/// # Errors
/// Those of `w`.
pub fn line(w: &mut dyn io::Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    flexi_logger::json_format(w, now, record)
}
