//! HTTP/1 connections to backend servers, one request at a time on each.

use super::{Backend, Body, Failure, idle::Shelf};
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
/// milliseconds between regions; a second also covers one lost SYN, which is sent again after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Connections to backend servers over TCP.
#[derive(Debug, Default)]
pub struct Pool {
    shelf: Arc<Shelf>,
}

impl Pool {
    /// Opens a pool without connections.
    pub fn open() -> Self {
        Self::default()
    }

    async fn connect(
        &self,
        to: SocketAddr,
        not_after: Instant,
    ) -> Result<SendRequest<Body>, Failure> {
        let give_up = not_after.min(Instant::now() + CONNECT_TIMEOUT);
        let not_sent = |error: &dyn std::fmt::Display| Failure::NotSent(format!("{to}: {error}"));
        let socket = match timeout_at(give_up, TcpStream::connect(to)).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(error)) => return Err(not_sent(&error)),
            Err(elapsed) => return Err(not_sent(&elapsed)),
        };
        // Without this the end of a small request waits for the worker's delayed acknowledgement.
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

/// How one try on one connection ended.
enum Tried {
    Answered(Response<Incoming>),
    /// The connection was closed before a byte of the request was written; here it is again.
    Unsent(Request<Body>, String),
    Failed(Failure),
}

async fn try_send(
    sender: &mut SendRequest<Body>,
    request: Request<Body>,
    to: SocketAddr,
    not_after: Instant,
) -> Tried {
    match timeout_at(not_after, sender.try_send_request(request)).await {
        Ok(Ok(response)) => Tried::Answered(response),
        Err(_elapsed) => Tried::Failed(Failure::Late),
        Ok(Err(mut failed)) => {
            let unsent = failed.take_message();
            let error = format!("{to}: {}", failed.into_error());
            unsent.map_or_else(
                || Tried::Failed(Failure::Lost(error.clone())),
                |request| Tried::Unsent(request, error.clone()),
            )
        }
    }
}

#[async_trait]
impl Backend for Pool {
    async fn send(
        &self,
        to: SocketAddr,
        mut request: Request<Body>,
        not_after: Instant,
    ) -> Result<Response<Body>, Failure> {
        // A kept connection may have been closed by the worker meanwhile. hyper hands the request
        // back where it wrote no byte of it, which proves that trying the next one is safe; the
        // last try is a new connection.
        while let Some(mut sender) = self.shelf.take(to) {
            match try_send(&mut sender, request, to, not_after).await {
                Tried::Answered(response) => return Ok(self.lease(to, sender, response)),
                Tried::Unsent(unsent, _error) => request = unsent,
                Tried::Failed(failure) => return Err(failure),
            }
        }
        let mut sender = self.connect(to, not_after).await?;
        match try_send(&mut sender, request, to, not_after).await {
            Tried::Answered(response) => Ok(self.lease(to, sender, response)),
            Tried::Unsent(_unsent, error) => Err(Failure::NotSent(error)),
            Tried::Failed(failure) => Err(failure),
        }
    }

    fn sweep(&self) {
        self.shelf.sweep();
    }
}

impl Pool {
    fn lease(
        &self,
        to: SocketAddr,
        sender: SendRequest<Body>,
        response: Response<Incoming>,
    ) -> Response<Body> {
        let home = Home {
            shelf: Arc::clone(&self.shelf),
            to,
            sender,
        };
        response.map(|incoming| {
            Body::new(Leased {
                incoming,
                home: Some(home),
            })
        })
    }
}

struct Home {
    shelf: Arc<Shelf>,
    to: SocketAddr,
    sender: SendRequest<Body>,
}

/// An answer's body that gives its connection back only at its proper end.
///
/// Dropped earlier, or ended by an error, it drops the sender too, and hyper closes the connection:
/// the rest of the answer can then never be read as the answer to the next request.
struct Leased {
    incoming: Incoming,
    home: Option<Home>,
}

impl HttpBody for Leased {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match polled {
            Poll::Ready(None) => {
                if let Some(Home { shelf, to, sender }) = self.home.take() {
                    shelf.put(to, sender);
                }
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                self.home = None;
                Poll::Ready(Some(Err(io::Error::other(error))))
            }
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        // The connection goes back when the end is polled, so the end must be polled.
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
