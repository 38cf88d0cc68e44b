//! Sending one attempt to a backend server.
//!
//! A failure states whether the request may have been executed. [`Failure::NotSent`] means that no
//! byte of the request left this process, so it may be reported as not run and retried on another
//! worker. After the first byte, every failure is ambiguous: the request may have been executed.

mod idle;
mod pool;
mod response;

use async_trait::async_trait;
use http::{Request, Response};
use std::{fmt, net::SocketAddr};
use tokio::time::Instant;

pub use pool::ConnectionPool;
pub(crate) use response::{PrefixedBody, ReceivedResponse, buffer_response};

/// The body of a request or response that passes through the entry.
pub type Body = gotham::helpers::http::Body;

/// Why an attempt got no response, by whether the request may have been executed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection broke after the first byte: the request may have been executed.
    #[error("answer lost: {0}")]
    ConnectionLost(String),
    /// The response did not arrive in time: the request may have been executed.
    #[error("no answer in time")]
    TimedOut,
    /// The response is invalid, for instance without a determinable end: the request may have been
    /// executed.
    #[error("answer invalid: {0}")]
    InvalidResponse(String),
}

/// Transport to the backend servers.
#[async_trait]
pub trait Backend: Send + Sync + fmt::Debug {
    /// Sends one request and returns the head of the response, if it arrives by `not_after`.
    ///
    /// Dropping the future or the response's body early closes the connection, so that a late
    /// response can never be taken for the response to another request (invariant I3).
    ///
    /// # Errors
    /// [`Failure`], by whether the request may have been executed.
    async fn send(
        &self,
        to: SocketAddr,
        request: Request<Body>,
        not_after: Instant,
    ) -> Result<Response<Body>, Failure>;

    /// Closes connections that have been idle too long.
    fn sweep(&self);
}
