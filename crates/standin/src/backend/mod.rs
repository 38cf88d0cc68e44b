//! A backend server on loopback that counts its executions and can be made to misbehave.
//!
//! It speaks HTTP/1. Every request that was received completely counts as executed, whether or not
//! its response arrives, except under [`Mode::FailAll`] and for [`HEALTH_PATH`]. The response
//! repeats the request's [`REQUEST_ID`] in the header and the body, so that a test can detect a
//! response that was delivered to the wrong request.

mod count;
mod response;
mod wire;

pub use count::Count;

use crate::listen::Listener;
use bytes::Bytes;
use count::Counters;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use primroseroute_domain::instance::{CONNECTIONS, SLOTS};
use response::PreparedResponse;
use std::{
    fmt, io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{net::TcpStream, time::sleep};
use tokio_util::sync::CancellationToken;

/// Header with the id of a request; the response repeats it.
pub const REQUEST_ID: &str = "x-request-id";

/// Request header: size of the response body in bytes.
pub const ANSWER_BYTES: &str = "x-answer-bytes";

/// Request header: the response body repeats the request body.
pub const ECHO: &str = "x-echo";

/// Response header: bytes of the request body that arrived.
pub const BODY_BYTES: &str = "x-body-bytes";

/// Response header: the name of the backend server.
pub const BACKEND: &str = "x-backend";

/// Request header with the idempotency key; executions are counted by it.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Path of the health check, which counts no execution and uses no slot.
pub const HEALTH_PATH: &str = "/healthz";

/// How the backend server handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Executes and responds.
    Ok,
    /// Like `Ok`, but each execution takes this much longer.
    Slow(Duration),
    /// Executes nothing and responds with 503 at once.
    FailAll,
    /// Executes, then closes the connection without a response; health checks included.
    Reset,
    /// Like `Reset`, but health checks succeed.
    ResetRequests,
    /// Executes, frees the slot and responds this much later.
    Late(Duration),
    /// Executes, announces a larger content length than it sends, and closes the connection.
    Truncated,
    /// Executes, responds with chunked encoding and closes the connection before the last chunk.
    TruncatedChunks,
    /// Executes and responds with bytes that are not HTTP.
    Garbage,
}

/// Configuration of a backend server.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name, sent in the [`BACKEND`] header.
    pub name: Arc<str>,
    /// Requests that may execute at the same time. Requests beyond that are executed too, and
    /// counted as overruns.
    pub slots: u32,
    /// Limit of open connections; further ones are closed at once.
    pub connections: u32,
    /// Duration of an execution.
    pub delay: Duration,
    /// Initial mode.
    pub mode: Mode,
}

impl Default for Options {
    /// The slots and connections of every instance, and no delay.
    fn default() -> Self {
        Self {
            name: "backend".into(),
            slots: SLOTS,
            connections: CONNECTIONS,
            delay: Duration::ZERO,
            mode: Mode::Ok,
        }
    }
}

#[derive(Debug)]
struct Shared {
    name: Arc<str>,
    delay: Mutex<Duration>,
    mode: Mutex<Mode>,
    counters: Arc<Counters>,
    /// Ends running executions.
    stopped: CancellationToken,
}

/// A running backend server; it stops when the handle is dropped.
pub struct Backend {
    shared: Arc<Shared>,
    listener: Listener,
}

impl fmt::Debug for Backend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Backend")
            .field("name", &self.shared.name)
            .field("address", &self.listener.address())
            .finish_non_exhaustive()
    }
}

impl Backend {
    /// Listens on `address`, where port 0 selects any free port, and serves.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind(address: SocketAddr, options: Options) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            name: options.name,
            delay: Mutex::new(options.delay),
            mode: Mutex::new(options.mode),
            counters: Arc::new(Counters::new(options.slots, options.connections)),
            stopped: CancellationToken::new(),
        });
        let connection_shared = Arc::clone(&shared);
        let listener = Listener::bind(address, move |stream| {
            serve(stream, Arc::clone(&connection_shared))
        })
        .await?;
        Ok(Self { shared, listener })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Changes how it handles requests from now on.
    pub fn set_mode(&self, mode: Mode) {
        *self.shared.mode.lock() = mode;
    }

    /// Changes the duration of an execution.
    pub fn set_delay(&self, delay: Duration) {
        *self.shared.delay.lock() = delay;
    }

    /// The counters so far.
    pub fn count(&self) -> Count {
        self.shared.counters.count()
    }

    /// Number of executions under this idempotency key.
    pub fn executions(&self, key: &str) -> u64 {
        self.shared.counters.executions(key)
    }

    /// Closes the listener and every connection at once and ends running executions.
    pub fn stop(&self) {
        self.listener.stop();
        self.shared.stopped.cancel();
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let Some(_connection) = shared.counters.open_connection() else {
        return;
    };
    let garbled = Arc::new(AtomicBool::new(false));
    let stream = wire::Stream::new(stream, Arc::clone(&garbled));
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        let garbled = Arc::clone(&garbled);
        async move { shared.handle(request, &garbled).await }
    });
    // Some modes end the connection with an error on purpose.
    drop(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service)
            .await,
    );
}

/// A request that was received completely.
#[derive(Debug)]
struct ReceivedRequest {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

impl ReceivedRequest {
    async fn read(request: Request<Incoming>) -> Result<Self, hyper::Error> {
        let (head, body) = request.into_parts();
        Ok(Self {
            method: head.method,
            path: head.uri.path().to_owned(),
            headers: head.headers,
            body: body.collect().await?.to_bytes(),
        })
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl Shared {
    async fn handle(
        &self,
        request: Request<Incoming>,
        garbled: &AtomicBool,
    ) -> Result<Response<response::Body>, response::Aborted> {
        let received = ReceivedRequest::read(request).await?;
        let mode = *self.mode.lock();
        if mode == Mode::FailAll {
            self.counters.count_refusal();
            return Ok(PreparedResponse::new(&received, &self.name)
                .with_status(StatusCode::SERVICE_UNAVAILABLE));
        }
        if received.path != HEALTH_PATH {
            self.execute(&received, mode).await;
        }
        let response = PreparedResponse::new(&received, &self.name);
        match mode {
            Mode::Ok | Mode::Slow(_) | Mode::FailAll => Ok(response.complete()),
            Mode::Late(later) => {
                sleep(later).await;
                Ok(response.complete())
            }
            Mode::ResetRequests if received.path == HEALTH_PATH => Ok(response.complete()),
            Mode::Reset | Mode::ResetRequests => Err(response::Aborted),
            Mode::Truncated => Ok(response.truncated()),
            Mode::TruncatedChunks => Ok(response.truncated_chunks()),
            Mode::Garbage => {
                garbled.store(true, Ordering::Relaxed);
                Ok(response.complete())
            }
        }
    }

    async fn execute(&self, received: &ReceivedRequest, mode: Mode) {
        let slot = self
            .counters
            .begin_execution(received.header(IDEMPOTENCY_KEY));
        let extra = match mode {
            Mode::Slow(extra) => extra,
            _ => Duration::ZERO,
        };
        let delay = *self.delay.lock() + extra;
        if delay.is_zero() {
            return;
        }
        // A caller that gives up closes the connection, and hyper drops the request's future. A real
        // execution continues and keeps its slot, so it runs in a task of its own.
        let stopped = self.stopped.clone();
        let execution = tokio::spawn(async move {
            let _slot = slot;
            stopped.run_until_cancelled(sleep(delay)).await;
        });
        // The task neither panics nor is aborted, unless the runtime shuts down.
        drop(execution.await);
    }
}
