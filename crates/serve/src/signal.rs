//! Handlers for process signals.

use eyre::{Result, WrapErr};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Returns a future that completes at the first SIGTERM or SIGINT.
///
/// The handlers are installed before this returns, so that a signal that arrives while the entry
/// starts is not lost.
///
/// # Errors
/// If the handlers cannot be installed.
pub(crate) fn shutdown() -> Result<impl Future<Output = ()>> {
    let mut terminate =
        signal(SignalKind::terminate()).wrap_err("failed to install the SIGTERM handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).wrap_err("failed to install the SIGINT handler")?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

/// Stream of SIGHUP signals, by which the platform announces a changed settings file.
///
/// # Errors
/// If the handler cannot be installed.
pub(crate) fn hangup() -> Result<Signal> {
    signal(SignalKind::hangup()).wrap_err("failed to install the SIGHUP handler")
}
