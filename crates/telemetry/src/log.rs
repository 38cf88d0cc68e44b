//! Logging: one JSON object per line.
//!
//! The `log` crate has one logger per process, so all entries in a process share one [`Log`]; lines
//! about one entry or request identify it in their fields, as in
//! `info!(request_id = id; "retrying request")`.

use crate::budget::Outlet;
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::{LevelFilter, Record};
use std::{fmt, io};

/// Field with the id of the request that a line concerns.
pub const REQUEST_ID: &str = "request_id";

/// Field with the name of the entry that a line concerns.
pub const ENTRY: &str = "entry";

/// Common prefix of the module paths of this project's crates.
const CRATE_PREFIX: &str = "primroseroute";

/// Logging could not be started.
#[derive(Debug, thiserror::Error)]
#[error("the logger cannot be initialized")]
pub struct Error(#[from] FlexiLoggerError);

/// The logger of the process; dropping it flushes buffered lines.
pub struct Log {
    handle: LoggerHandle,
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log").finish_non_exhaustive()
    }
}

/// Logs this project's crates at `level`, and libraries at warnings and errors only, since those
/// contain no secrets.
fn specification(level: LevelFilter) -> LogSpecification {
    LogSpecification::builder()
        .default(level.min(LevelFilter::Warn))
        .module(CRATE_PREFIX, level)
        .build()
}

impl Log {
    /// Starts logging to standard error at `level`.
    ///
    /// # Errors
    /// [`Error`] if the process already has a logger.
    pub fn start(level: LevelFilter) -> Result<Self, Error> {
        let logger = Logger::with(specification(level))
            .format(line)
            .log_to_stderr();
        Ok(Self {
            handle: logger.start()?,
        })
    }

    /// Starts logging to standard output at `level`, rate-limited per log statement and non-blocking.
    ///
    /// # Errors
    /// [`Error`] if the process already has a logger, or the writer thread cannot be started.
    pub fn start_on_stdout(level: LevelFilter) -> Result<Self, Error> {
        let outlet = Outlet::spawn(io::stdout()).map_err(FlexiLoggerError::OutputIo)?;
        let logger = Logger::with(specification(level)).log_to_writer(Box::new(outlet));
        Ok(Self {
            handle: logger.start()?,
        })
    }

    /// Changes the level of subsequent lines.
    pub fn set_level(&self, level: LevelFilter) {
        self.handle.set_new_spec(specification(level));
    }
}

/// Writes `record` as one JSON object: level, timestamp, source location, fields and text.
///
/// # Errors
/// Errors of `w`.
pub fn line(w: &mut dyn io::Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    flexi_logger::json_format(w, now, record)
}
