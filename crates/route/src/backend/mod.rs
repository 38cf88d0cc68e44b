//! Sending one attempt to a backend server.
//!
//! What matters here is what a failure proves. [`Failure::NotSent`] means that no byte of the
//! request left this process, so "not run" may be said and another worker tried. After the first
//! byte, every failure is [`Failure::Lost`]: it may have run.

mod answer;
mod idle;
mod pool;

use async_trait::async_trait;
use http::{Request, Response};
use std::{fmt, net::SocketAddr};
use tokio::time::Instant;

pub(crate) use answer::{Answer, Resumed, collect};
pub use pool::Pool;

/// A body on its way through the entry.
pub type Body = gotham::helpers::http::Body;

/// Why an attempt brought no answer, by what it proves.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// Proven: no byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection broke after the first byte: the request may have been executed.
    #[error("answer lost: {0}")]
    Lost(String),
    /// The answer did not come in time: the request may have been executed.
    #[error("no answer in time")]
    Late,
    /// The answer cannot be told whole from broken: the request may have been executed.
    #[error("answer invalid: {0}")]
    Invalid(String),
}

/// The backend servers as the request path sees them.
#[async_trait]
pub trait Backend: Send + Sync + fmt::Debug {
    /// Sends one request and returns the head of the answer, if it comes by `not_after`.
    ///
    /// Dropping the future or the answer's body early closes the connection, so that what arrives
    /// late can never be taken for the answer to another request (I3).
    ///
    /// # Errors
    /// [`Failure`], by what it proves.
    async fn send(
        &self,
        to: SocketAddr,
        request: Request<Body>,
        not_after: Instant,
    ) -> Result<Response<Body>, Failure>;

    /// Closes connections that have been idle too long.
    fn sweep(&self);
}
