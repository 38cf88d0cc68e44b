//! Pooled HTTP/1 connections to backend servers, each with one request at a time.

use super::{Backend, Body, Failure, idle::IdleConnections};
use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, Response};
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout_at},
};

/// Longest time to open a connection. One-way latency is about 1 ms within a region and tens of
/// milliseconds between regions; this also covers one lost SYN, which is retransmitted after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// TCP connections to backend servers.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Arc<IdleConnections>,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new() -> Self {
        Self::default()
    }

    async fn connect(
        &self,
        to: SocketAddr,
        not_after: Instant,
    ) -> Result<SendRequest<Body>, Failure> {
        let connect_deadline = not_after.min(Instant::now() + CONNECT_TIMEOUT);
        let not_sent = |error: &dyn std::fmt::Display| Failure::NotSent(format!("{to}: {error}"));
        let socket = match timeout_at(connect_deadline, TcpStream::connect(to)).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(error)) => return Err(not_sent(&error)),
            Err(elapsed) => return Err(not_sent(&elapsed)),
        };
        // With Nagle's algorithm the end of a small request waits for the worker's delayed
        // acknowledgement.
        socket.set_nodelay(true).map_err(|error| not_sent(&error))?;
        let (sender, connection) = http1::handshake(TokioIo::new(socket))
            .await
            .map_err(|error| not_sent(&error))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {to} ended early: {error}");
            }
        });
        Ok(sender)
    }
}

/// Outcome of sending a request on one connection.
enum SendOutcome {
    Responded(Response<Incoming>),
    /// The connection was closed before a byte of the request was written; returns the request.
    NotSent(Request<Body>, String),
    Failed(Failure),
}

async fn try_send(
    sender: &mut SendRequest<Body>,
    request: Request<Body>,
    to: SocketAddr,
    not_after: Instant,
) -> SendOutcome {
    match timeout_at(not_after, sender.try_send_request(request)).await {
        Ok(Ok(response)) => SendOutcome::Responded(response),
        Err(_elapsed) => SendOutcome::Failed(Failure::TimedOut),
        Ok(Err(mut failed)) => {
            let returned = failed.take_message();
            let error = format!("{to}: {}", failed.into_error());
            returned.map_or_else(
                || SendOutcome::Failed(Failure::ConnectionLost(error.clone())),
                |request| SendOutcome::NotSent(request, error.clone()),
            )
        }
    }
}

#[async_trait]
impl Backend for ConnectionPool {
    async fn send(
        &self,
        to: SocketAddr,
        mut request: Request<Body>,
        not_after: Instant,
    ) -> Result<Response<Body>, Failure> {
        // The worker may have closed an idle connection in the meantime. hyper returns the request
        // if it wrote no byte of it, so trying the next connection is safe; the last one is new.
        while let Some(mut sender) = self.idle.take(to) {
            match try_send(&mut sender, request, to, not_after).await {
                SendOutcome::Responded(response) => {
                    return Ok(self.pooled_response(to, sender, response));
                }
                SendOutcome::NotSent(returned, _error) => request = returned,
                SendOutcome::Failed(failure) => return Err(failure),
            }
        }
        let mut sender = self.connect(to, not_after).await?;
        match try_send(&mut sender, request, to, not_after).await {
            SendOutcome::Responded(response) => Ok(self.pooled_response(to, sender, response)),
            SendOutcome::NotSent(_request, error) => Err(Failure::NotSent(error)),
            SendOutcome::Failed(failure) => Err(failure),
        }
    }

    fn sweep(&self) {
        self.idle.sweep();
    }
}

impl ConnectionPool {
    fn pooled_response(
        &self,
        to: SocketAddr,
        sender: SendRequest<Body>,
        response: Response<Incoming>,
    ) -> Response<Body> {
        let connection = PooledConnection {
            idle: Arc::clone(&self.idle),
            to,
            sender,
        };
        response.map(|incoming| {
            Body::new(PooledBody {
                incoming,
                connection: Some(connection),
            })
        })
    }
}

struct PooledConnection {
    idle: Arc<IdleConnections>,
    to: SocketAddr,
    sender: SendRequest<Body>,
}

/// A response body that returns its connection to the pool only when it was read to its end.
///
/// Dropped earlier, or ended by an error, it drops the sender too, and hyper closes the connection:
/// the rest of the response can then never be read as the response to the next request.
struct PooledBody {
    incoming: Incoming,
    connection: Option<PooledConnection>,
}

impl HttpBody for PooledBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match polled {
            Poll::Ready(None) => {
                if let Some(PooledConnection { idle, to, sender }) = self.connection.take() {
                    idle.put(to, sender);
                }
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                self.connection = None;
                Poll::Ready(Some(Err(io::Error::other(error))))
            }
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        // The connection is returned when the end is polled, so the end must be polled.
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
