//! The signals that ask for a graceful stop.

use eyre::{Result, WrapErr};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// A future that ends with the first SIGTERM or SIGINT.
///
/// The handlers are in place on return: a signal that comes while the entry starts is not lost.
///
/// # Errors
/// Where the handlers cannot be installed.
pub(crate) fn stop() -> Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("handling SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("handling SIGINT")?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

/// SIGHUPs, by which the platform tells that the settings file has changed.
///
/// # Errors
/// Where the handler cannot be installed.
pub(crate) fn hangup() -> Result<Signal> {
    signal(SignalKind::hangup()).wrap_err("handling SIGHUP")
}
