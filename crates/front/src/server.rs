//! The accept loop and the graceful stop.

use crate::{name::Names, problem};
use eyre::{Context, Result};
use gotham::{anyhow, handler::NewHandler, service::call_handler, state::State};
use http::{HeaderValue, Request, header::CONNECTION};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use primroseroute_domain::outcome::{Code, Refusal};
use std::{net::SocketAddr, panic::AssertUnwindSafe, pin::pin, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, Semaphore, watch},
    task::JoinHandle,
    time::timeout,
};

/// Pause after a failed accept, such as when file descriptors run out; without it the loop spins.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long a stopping server waits for the first request of a connection: one that a caller has
/// just opened sends within a round trip, tens of milliseconds between regions.
const FIRST_REQUEST: Duration = Duration::from_millis(500);

/// Smallest read buffer that the HTTP library takes.
const LEAST_BUFFER: usize = 8 << 10;

/// Bounds on connections and request heads.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Longest time from the first byte of a connection's turn to the end of the head.
    pub head_timeout: Duration,
    /// Most connections open at the same time.
    pub connections: usize,
}

impl Default for Options {
    /// 32 KiB of head, which holds the usual cookies and tokens; 10 s, as common servers have it;
    /// 4,096 connections, which at about 20 KiB each stay under the 128 MB of a small entry.
    fn default() -> Self {
        Self {
            head_bytes: 32 << 10,
            head_timeout: Duration::from_secs(10),
            connections: 4096,
        }
    }
}

/// How far the server is on its way to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Open,
    Retiring,
    Stopping,
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    accepting: JoinHandle<()>,
}

impl Server {
    /// Binds `address` and serves `handler` on it.
    ///
    /// # Errors
    /// Where the address cannot be bound.
    pub async fn bind<H>(address: SocketAddr, options: Options, handler: H) -> Result<Self>
    where
        H: NewHandler + 'static,
    {
        let listener = TcpListener::bind(address)
            .await
            .wrap_err_with(|| format!("binding {address} for HTTP"))?;
        let address = listener
            .local_addr()
            .wrap_err("reading the bound address")?;
        let phase = watch::Sender::new(Phase::Open);
        let accepting = tokio::spawn(accept(
            listener,
            options,
            Arc::new(handler),
            phase.subscribe(),
        ));
        Ok(Self {
            address,
            phase,
            accepting,
        })
    }

    /// The bound address, with the port that was chosen where 0 was asked for.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Goes on serving, and closes each connection after its next answer.
    ///
    /// A keep-alive connection that is closed while idle can cut a request that its caller sends
    /// at that moment. Closing with an answer cannot, so callers are moved away before the stop.
    pub fn retire(&self) {
        self.phase.send_replace(Phase::Retiring);
    }

    /// Stops accepting, waits for every request in flight, and closes every connection.
    pub async fn stop(self) {
        self.phase.send_replace(Phase::Stopping);
        if let Err(error) = self.accepting.await {
            log::error!("the accept loop ended early: {error}");
        }
    }

    /// Closes the listener and every connection at once, as a killed process would.
    pub fn abort(self) {
        self.accepting.abort();
    }
}

async fn accept<H>(
    listener: TcpListener,
    options: Options,
    handler: Arc<H>,
    mut stop: watch::Receiver<Phase>,
) where
    H: NewHandler + 'static,
{
    let names = Arc::new(Names::open());
    let room = Arc::new(Semaphore::new(options.connections));
    // Connections live and die with this task, so that `abort` is like the loss of the process.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let permit = tokio::select! {
            () = stopped(&mut stop) => break,
            Some(_) = connections.join_next() => continue,
            permit = Arc::clone(&room).acquire_owned() => permit,
        };
        let (socket, caller) = tokio::select! {
            () = stopped(&mut stop) => break,
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("accepting a connection failed: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
        };
        let connection = serve(
            socket,
            caller,
            options,
            Arc::clone(&handler),
            Arc::clone(&names),
            stop.clone(),
        );
        connections.spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    // Closing the listener resets what waits in its backlog, whose callers may have sent already.
    while let Ok(Ok((socket, caller))) = timeout(Duration::ZERO, listener.accept()).await {
        let (handler, names) = (Arc::clone(&handler), Arc::clone(&names));
        connections.spawn(serve(socket, caller, options, handler, names, stop.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn stopped(stop: &mut watch::Receiver<Phase>) {
    // A dropped sender means that the server was dropped without a stop: the loop ends too.
    let _ended = stop
        .wait_for(|phase| *phase == Phase::Stopping)
        .await
        .is_err();
}

/// Waits for the stop, and then until the connection has begun a request.
///
/// Told to close before that, the HTTP library closes a connection that was accepted a moment ago
/// while its caller's first request is on the way, and the caller cannot tell whether it ran.
async fn may_close(stop: &mut watch::Receiver<Phase>, begun: &Notify) {
    stopped(stop).await;
    if timeout(FIRST_REQUEST, begun.notified()).await.is_err() {
        log::debug!("a connection that never had a request is closed");
    }
}

/// Bytes of a request's line and headers, without the punctuation between them.
fn head_bytes<B>(request: &Request<B>) -> usize {
    let headers = request.headers().iter();
    let headers: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    let uri = request.uri().path_and_query();
    uri.map_or(0, |uri| uri.as_str().len()) + headers
}

async fn serve<H>(
    socket: TcpStream,
    caller: SocketAddr,
    options: Options,
    handler: Arc<H>,
    names: Arc<Names>,
    phase: watch::Receiver<Phase>,
) where
    H: NewHandler + 'static,
{
    // Without this a small answer waits for the caller's delayed acknowledgement, up to 40 ms.
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!("setting TCP_NODELAY for {caller} failed: {error}");
    }
    let begun = Arc::new(Notify::new());
    let mut stop = phase.clone();
    let begins = Arc::clone(&begun);
    let respond = service_fn(move |mut request: Request<Incoming>| {
        begins.notify_one();
        let name = names.ensure(request.headers_mut());
        let handler = Arc::clone(&handler);
        let phase = phase.clone();
        async move {
            let mut response = if head_bytes(&request) > options.head_bytes {
                let detail = format!("at most {} bytes", options.head_bytes);
                problem::answer(&Refusal::new(Code::HeadTooLarge, detail), &name, None)
            } else {
                let state = State::from_request(request, caller);
                let response = call_handler(handler, AssertUnwindSafe(state)).await?;
                problem::complete(response, &name)
            };
            if *phase.borrow() != Phase::Open {
                response
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            anyhow::Ok(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(options.head_timeout)
        .max_buf_size(options.head_bytes.max(LEAST_BUFFER) * 2)
        .keep_alive(true)
        .serve_connection(TokioIo::new(socket), respond);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = may_close(&mut stop, &begun) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("the connection of {caller} ended early: {error}");
    }
}
