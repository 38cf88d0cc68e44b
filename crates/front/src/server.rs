//! The accept loop and graceful shutdown.

use crate::{problem, request_id::RequestIds};
use eyre::{Context, Result};
use futures::FutureExt;
use gotham::{anyhow, handler::NewHandler, service::call_handler, state::State};
use http::{HeaderValue, Request, header::CONNECTION};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::{GracefulShutdown, Watcher},
};
use primroseroute_domain::outcome::{Code, Refusal};
use std::{net::SocketAddr, panic::AssertUnwindSafe, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    task::JoinHandle,
    time::{sleep, timeout},
};

/// Delay after a failed accept, such as when file descriptors run out; avoids a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Limits on connections and request heads.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Largest request head in bytes.
    pub max_head_bytes: usize,
    /// Longest time to receive a request head.
    pub head_timeout: Duration,
    /// Most open connections.
    pub max_connections: usize,
    /// How long open connections are still served after the listener has closed.
    pub shutdown_grace: Duration,
}

impl Default for Options {
    /// 32 KiB of head, enough for the usual cookies and tokens; 10 s, as in common servers; 4,096
    /// connections, which at about 20 KiB each stay under the 128 MB of a small entry; half a second
    /// of shutdown grace, far more than the round trip of a request sent while the listener closes.
    fn default() -> Self {
        Self {
            max_head_bytes: 32 << 10,
            head_timeout: Duration::from_secs(10),
            max_connections: 4096,
            shutdown_grace: Duration::from_millis(500),
        }
    }
}

/// Phase of the server's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    Draining,
    Stopping,
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    accept_loop: JoinHandle<()>,
}

impl Server {
    /// Binds `address` and serves `handler` on it.
    ///
    /// # Errors
    /// If the address cannot be bound.
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
        let phase = watch::Sender::new(Phase::Serving);
        let accept_loop = tokio::spawn(run_accept_loop(
            listener,
            options,
            Arc::new(handler),
            phase.subscribe(),
        ));
        Ok(Self {
            address,
            phase,
            accept_loop,
        })
    }

    /// The bound address, with the assigned port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Continues to serve, but closes each connection after its next response.
    ///
    /// Closing an idle keep-alive connection can interrupt a request that its caller sends at the
    /// same moment. Closing with a response cannot, so connections are closed this way before the
    /// server stops.
    pub fn disable_keep_alive(&self) {
        self.phase.send_replace(Phase::Draining);
    }

    /// Stops accepting, waits for every request in flight, and closes every connection.
    pub async fn stop(self) {
        self.phase.send_replace(Phase::Stopping);
        if let Err(error) = self.accept_loop.await {
            log::error!("accept loop failed: {error}");
        }
    }

    /// Closes the listener and every connection immediately, as a killed process would.
    pub fn abort(self) {
        self.accept_loop.abort();
    }
}

async fn run_accept_loop<H>(
    listener: TcpListener,
    options: Options,
    handler: Arc<H>,
    mut phase: watch::Receiver<Phase>,
) where
    H: NewHandler + 'static,
{
    let graceful = GracefulShutdown::new();
    let request_ids = Arc::new(RequestIds::new());
    let connection_limit = Arc::new(Semaphore::new(options.max_connections));
    // Connections end with this task, so that `abort` has the same effect as the loss of the process.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let permit = tokio::select! {
            () = stopping(&mut phase) => break,
            Some(_) = connections.join_next() => continue,
            permit = Arc::clone(&connection_limit).acquire_owned() => permit,
        };
        let (socket, caller) = tokio::select! {
            () = stopping(&mut phase) => break,
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("accepting a connection failed: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
        };
        let connection = serve(
            socket,
            caller,
            options,
            Arc::clone(&handler),
            Arc::clone(&request_ids),
            phase.clone(),
            graceful.watcher(),
        );
        connections.spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    // Established connections that have not been accepted are reset when the listener closes, although
    // their callers may have sent a request: they are served first.
    while let Some(Ok((socket, caller))) = listener.accept().now_or_never() {
        connections.spawn(serve(
            socket,
            caller,
            options,
            Arc::clone(&handler),
            Arc::clone(&request_ids),
            phase.clone(),
            graceful.watcher(),
        ));
    }
    drop(listener);
    // A request may be in transit on a connection that appears idle. Closing immediately would
    // interrupt it, and its caller could not know whether it ran; every response from here on closes
    // its connection, so a connection that is still open after the wait has been idle for that long.
    let all_closed = async { while connections.join_next().await.is_some() {} };
    if timeout(options.shutdown_grace, all_closed).await.is_err() {
        graceful.shutdown().await;
        while connections.join_next().await.is_some() {}
    }
}

async fn stopping(phase: &mut watch::Receiver<Phase>) {
    // The sender is dropped if the server is dropped without a stop: the loop ends then too.
    let _ended = phase
        .wait_for(|current| *current == Phase::Stopping)
        .await
        .is_err();
}

/// Size of a request's target and headers in bytes, without separators.
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
    request_ids: Arc<RequestIds>,
    phase: watch::Receiver<Phase>,
    watcher: Watcher,
) where
    H: NewHandler + 'static,
{
    // With Nagle's algorithm a small response waits for the caller's delayed acknowledgement, up to
    // 40 ms.
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!("setting TCP_NODELAY for {caller} failed: {error}");
    }
    let respond = service_fn(move |mut request: Request<Incoming>| {
        let request_id = request_ids.ensure(request.headers_mut());
        let handler = Arc::clone(&handler);
        let phase = phase.clone();
        async move {
            let mut response = if head_bytes(&request) > options.max_head_bytes {
                let detail = format!("at most {} bytes", options.max_head_bytes);
                problem::error_response(
                    &Refusal::new(Code::HeadTooLarge, detail),
                    &request_id,
                    None,
                )
            } else {
                let state = State::from_request(request, caller);
                let response = call_handler(handler, AssertUnwindSafe(state)).await?;
                problem::add_problem_details(response, &request_id)
            };
            if *phase.borrow() != Phase::Serving {
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
        .max_buf_size(options.max_head_bytes.max(MIN_BUFFER_BYTES) * 2)
        .keep_alive(true)
        .serve_connection(TokioIo::new(socket), respond);
    if let Err(error) = watcher.watch(connection).await {
        log::debug!("connection of {caller} ended early: {error}");
    }
}
