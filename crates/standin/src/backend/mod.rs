//! A backend server on loopback that counts what it executes and misbehaves on demand.
//!
//! It speaks HTTP/1. Every request that it has read whole counts as executed, whatever becomes of
//! the answer, except under [`Mode::FailAll`] and for [`HEALTH_PATH`]. The answer names the request
//! that it belongs to in [`REQUEST_ID`], in its body too, so that a test sees whose answer it got.

mod answer;
mod count;
mod wire;

pub use count::Count;

use crate::listen::Listener;
use answer::Answer;
use bytes::Bytes;
use count::Ledger;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use primroseroute_domain::instance::{CONNECTIONS, SLOTS};
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

/// Header by which a request names itself; the answer repeats it.
pub const REQUEST_ID: &str = "x-request-id";

/// Header that asks for an answer of this many bytes.
pub const ANSWER_BYTES: &str = "x-answer-bytes";

/// Header that asks for the request's own body back.
pub const ECHO: &str = "x-echo";

/// Header of the answer: bytes of the request's body that arrived.
pub const BODY_BYTES: &str = "x-body-bytes";

/// Header of the answer: the name of the backend server.
pub const BACKEND: &str = "x-backend";

/// Header by which callers make a request repeatable; executions are counted by it.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Path of the health check, which executes nothing and takes no slot.
pub const HEALTH_PATH: &str = "/healthz";

/// What the backend server does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Executes and answers.
    Ok,
    /// The same, but each execution takes this much longer.
    Slow(Duration),
    /// Executes nothing and answers 503 at once.
    FailAll,
    /// Executes, then closes the connection without an answer, health checks too.
    Reset,
    /// The same, but health checks are answered.
    ResetRequests,
    /// Executes, and answers this much later, when the slot is free again.
    Late(Duration),
    /// Executes, promises more bytes than it sends, and closes.
    Truncated,
    /// Executes, answers in chunks and closes before the last one.
    TruncatedChunks,
    /// Executes and answers with bytes that are no HTTP.
    Garbage,
}

/// How the backend server is made.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name, which answers show.
    pub name: Arc<str>,
    /// Requests that it may execute at the same time; more are executed too, and counted.
    pub slots: u32,
    /// Connections that it takes; more are closed at once.
    pub connections: u32,
    /// How long an execution takes.
    pub delay: Duration,
    /// What it does at first.
    pub mode: Mode,
}

impl Default for Options {
    /// The brief's slots and connections, and no delay.
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
    ledger: Arc<Ledger>,
    /// Ends the executions under way.
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
    /// Listens on `address`, where port 0 takes any free one, and serves.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind(address: SocketAddr, options: Options) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            name: options.name,
            delay: Mutex::new(options.delay),
            mode: Mutex::new(options.mode),
            ledger: Arc::new(Ledger::new(options.slots, options.connections)),
            stopped: CancellationToken::new(),
        });
        let connections = Arc::clone(&shared);
        let listener = Listener::bind(address, move |stream| {
            serve(stream, Arc::clone(&connections))
        })
        .await?;
        Ok(Self { shared, listener })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Changes what it does with requests from now on.
    pub fn set_mode(&self, mode: Mode) {
        *self.shared.mode.lock() = mode;
    }

    /// Changes how long an execution takes.
    pub fn set_delay(&self, delay: Duration) {
        *self.shared.delay.lock() = delay;
    }

    /// What it counted so far.
    pub fn count(&self) -> Count {
        self.shared.ledger.count()
    }

    /// How often requests with this idempotency key were executed.
    pub fn executions(&self, key: &str) -> u64 {
        self.shared.ledger.executions(key)
    }

    /// Stops at once: the listener and every connection are closed, whatever is under way.
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
    let Some(_connection) = shared.ledger.connect() else {
        return;
    };
    let garbled = Arc::new(AtomicBool::new(false));
    let stream = wire::Stream::new(stream, Arc::clone(&garbled));
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        let garbled = Arc::clone(&garbled);
        async move { shared.answer(request, &garbled).await }
    });
    // A connection that ends in an error is what some modes are for.
    drop(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service)
            .await,
    );
}

/// What the backend server read of a request.
#[derive(Debug)]
struct Asked {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

impl Asked {
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
    async fn answer(
        &self,
        request: Request<Incoming>,
        garbled: &AtomicBool,
    ) -> Result<Response<answer::Body>, answer::Broken> {
        let asked = Asked::read(request).await?;
        let mode = *self.mode.lock();
        if mode == Mode::FailAll {
            self.ledger.refuse();
            return Ok(Answer::to(&asked, &self.name).status(StatusCode::SERVICE_UNAVAILABLE));
        }
        if asked.path != HEALTH_PATH {
            self.execute(&asked, mode).await;
        }
        let answer = Answer::to(&asked, &self.name);
        match mode {
            Mode::Ok | Mode::Slow(_) | Mode::FailAll => Ok(answer.whole()),
            Mode::Late(later) => {
                sleep(later).await;
                Ok(answer.whole())
            }
            Mode::ResetRequests if asked.path == HEALTH_PATH => Ok(answer.whole()),
            Mode::Reset | Mode::ResetRequests => Err(answer::Broken),
            Mode::Truncated => Ok(answer.truncated()),
            Mode::TruncatedChunks => Ok(answer.truncated_chunks()),
            Mode::Garbage => {
                garbled.store(true, Ordering::Relaxed);
                Ok(answer.whole())
            }
        }
    }

    async fn execute(&self, asked: &Asked, mode: Mode) {
        let slot = self.ledger.execute(asked.header(IDEMPOTENCY_KEY));
        let slower = match mode {
            Mode::Slow(slower) => slower,
            _ => Duration::ZERO,
        };
        let delay = *self.delay.lock() + slower;
        if delay.is_zero() {
            return;
        }
        // A caller that gives up closes the connection, and the library drops its request. A real
        // execution goes on and keeps its slot, so this one has a task of its own.
        let stopped = self.stopped.clone();
        let execution = tokio::spawn(async move {
            let _slot = slot;
            stopped.run_until_cancelled(sleep(delay)).await;
        });
        // It neither panics nor is aborted, unless the runtime shuts down.
        drop(execution.await);
    }
}
