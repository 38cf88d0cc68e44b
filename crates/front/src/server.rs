//! The accept loop and graceful shutdown.

use crate::{
    connections::{Connection, Registry, Socket},
    problem,
    request_id::RequestIds,
    upload::{Download, Streamed},
};
use eyre::{Context, Result};
use futures::FutureExt;
use gotham::{
    anyhow, handler::NewHandler, helpers::http::Body, service::call_handler, state::State,
};
use http::{HeaderValue, Request, Response, header::CONNECTION};
use http_body::Body as HttpBody;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::{GracefulShutdown, Watcher},
};
use primroseroute_domain::outcome::{Code, Refusal};
use std::{io, net::SocketAddr, panic::AssertUnwindSafe, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    task::{JoinHandle, JoinSet},
    time::{sleep, timeout},
};

/// Delay after a failed accept, such as when file descriptors run out; avoids a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Connections that the operating system keeps until they are accepted.
const BACKLOG: u32 = 1024;

/// Interval at which a full listener looks for a connection to close.
const MAKE_ROOM_INTERVAL: Duration = Duration::from_millis(20);

/// Memory of the connections of a server that shares it with no other.
const OWN_MEMORY_BYTES: usize = 32 << 20;

/// Limits on connections and request heads.
#[derive(Clone, Debug)]
pub struct Options {
    /// Largest request head in bytes.
    pub max_head_bytes: usize,
    /// Longest time to receive a request head.
    pub head_timeout: Duration,
    /// Most open connections.
    pub max_connections: usize,
    /// How long open connections are still served after the listener has closed.
    pub shutdown_grace: Duration,
    /// How long a stopping server waits for the end of a request that is being received, and for a client
    /// that reads nothing of its response.
    pub stall_timeout: Duration,
    /// Bytes that the operating system receives for a connection before they are read; its own default if
    /// `None`.
    pub receive_buffer: Option<u32>,
    /// The connections of this process, which share its memory.
    pub registry: Registry,
}

impl Default for Options {
    /// 32 KiB of head, enough for the usual cookies and tokens; 10 s, as in common servers; 4,096
    /// connections, of which as many stay open as 32 MiB hold; half a second of shutdown grace, far more
    /// than the round trip of a request sent while the listener closes; 2 s for a client that makes a
    /// stopping server wait, after which a load balancer has long sent its requests elsewhere.
    fn default() -> Self {
        Self {
            max_head_bytes: 32 << 10,
            head_timeout: Duration::from_secs(10),
            max_connections: 4096,
            shutdown_grace: Duration::from_millis(500),
            stall_timeout: Duration::from_secs(2),
            receive_buffer: None,
            registry: Registry::open(OWN_MEMORY_BYTES, None),
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
    #[expect(
        clippy::unused_async,
        reason = "an async function is called within the runtime that it needs"
    )]
    pub async fn bind<H>(address: SocketAddr, options: Options, handler: H) -> Result<Self>
    where
        H: NewHandler + 'static,
    {
        let listener = listen(address, options.receive_buffer)
            .wrap_err_with(|| format!("binding {address} for HTTP"))?;
        let address = listener
            .local_addr()
            .wrap_err("reading the bound address")?;
        let phase = watch::Sender::new(Phase::Serving);
        let acceptor = Acceptor {
            limit: Arc::new(Semaphore::new(options.max_connections)),
            address,
            options,
            handler: Arc::new(handler),
            request_ids: Arc::new(RequestIds::new()),
            phase: phase.subscribe(),
            graceful: GracefulShutdown::new(),
            connections: JoinSet::new(),
        };
        let accept_loop = tokio::spawn(acceptor.run(listener));
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

/// Listens on `address`.
///
/// The buffer's size is set on the listener, since a connection takes it over before it is accepted.
fn listen(address: SocketAddr, receive_buffer: Option<u32>) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if let Some(bytes) = receive_buffer
        && let Err(error) = socket.set_recv_buffer_size(bytes)
    {
        log::warn!("setting the receive buffer of {address} failed: {error}");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts the connections of a listener.
struct Acceptor<H> {
    address: SocketAddr,
    options: Options,
    handler: Arc<H>,
    request_ids: Arc<RequestIds>,
    phase: watch::Receiver<Phase>,
    limit: Arc<Semaphore>,
    graceful: GracefulShutdown,
    /// Connections end with this task, so that `abort` has the same effect as the loss of the process.
    connections: JoinSet<()>,
}

impl<H: NewHandler + 'static> Acceptor<H> {
    async fn run(mut self, listener: TcpListener) {
        let mut phase = self.phase.clone();
        loop {
            let (socket, client) = tokio::select! {
                () = stopping(&mut phase) => break,
                Some(_) = self.connections.join_next() => continue,
                accepted = listener.accept() => match accepted {
                    Ok(accepted) => accepted,
                    Err(error) => {
                        log::warn!("accepting a connection failed: {error}");
                        sleep(ACCEPT_RETRY_DELAY).await;
                        continue;
                    }
                },
            };
            let permit = tokio::select! {
                biased;
                permit = self.permit() => Some(permit),
                () = stopping(&mut phase) => None,
            };
            self.spawn(socket, client, permit);
        }
        // Established connections that have not been accepted are reset when the listener closes, although
        // their callers may have sent a request: they are served first.
        while let Ok(permit) = Arc::clone(&self.limit).try_acquire_owned()
            && let Some(Ok((socket, client))) = listener.accept().now_or_never()
        {
            self.spawn(socket, client, Some(permit));
        }
        drop(listener);
        self.stop().await;
    }

    /// Waits until there may be another connection; one whose client keeps the server waiting is closed for it.
    async fn permit(&self) -> OwnedSemaphorePermit {
        loop {
            if let Ok(permit) = Arc::clone(&self.limit).try_acquire_owned() {
                return permit;
            }
            self.options.registry.make_room(self.address);
            let released = Arc::clone(&self.limit).acquire_owned();
            if let Ok(Ok(permit)) = timeout(MAKE_ROOM_INTERVAL, released).await {
                return permit;
            }
        }
    }

    fn spawn(
        &mut self,
        socket: TcpStream,
        client: SocketAddr,
        permit: Option<OwnedSemaphorePermit>,
    ) {
        let connection = self.options.registry.add(self.address, client);
        let serving = serve(
            socket,
            client,
            connection,
            self.options.clone(),
            Arc::clone(&self.handler),
            Arc::clone(&self.request_ids),
            self.phase.clone(),
            self.graceful.watcher(),
        );
        self.connections.spawn(async move {
            serving.await;
            drop(permit);
        });
    }

    async fn stop(mut self) {
        // A request may be in transit on a connection that appears idle. Closing immediately would
        // interrupt it, and its caller could not know whether it ran; every response from here on closes
        // its connection, so a connection that is still open after the wait has been idle for that long.
        let Options {
            shutdown_grace,
            stall_timeout,
            registry,
            ..
        } = self.options;
        let connections = &mut self.connections;
        let all_closed = async { while connections.join_next().await.is_some() {} };
        if timeout(shutdown_grace, all_closed).await.is_ok() {
            return;
        }
        let all_closed = async {
            self.graceful.shutdown().await;
            while self.connections.join_next().await.is_some() {}
        };
        let close_waiting = async {
            loop {
                sleep(stall_timeout).await;
                registry.close_waiting(self.address, stall_timeout);
            }
        };
        tokio::select! {
            () = all_closed => {}
            () = close_waiting => {}
        }
    }
}

async fn stopping(phase: &mut watch::Receiver<Phase>) {
    // The sender is dropped if the server is dropped without a stop: the loop ends then too.
    let _ended = phase
        .wait_for(|current| *current == Phase::Stopping)
        .await
        .is_err();
}

/// Bytes of a response's body that are in memory.
fn held_bytes(response: &Response<Body>) -> usize {
    if let Some(streamed) = response.extensions().get::<Streamed>() {
        return streamed.buffered;
    }
    let length = response.body().size_hint().exact().unwrap_or_default();
    usize::try_from(length).unwrap_or(usize::MAX)
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

#[expect(clippy::too_many_arguments, reason = "the parts of one connection")]
async fn serve<H>(
    socket: TcpStream,
    caller: SocketAddr,
    connection: Connection,
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
    let closed = connection.clone();
    let io = TokioIo::new(Socket::new(socket, connection.clone()));
    let respond = service_fn(move |mut request: Request<Incoming>| {
        let connection = connection.clone();
        connection.head_received(request.body().is_end_stream());
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
                let mut state = State::from_request(request, caller);
                state.put(connection.clone());
                let response = call_handler(handler, AssertUnwindSafe(state)).await?;
                problem::add_problem_details(response, &request_id)
            };
            if *phase.borrow() != Phase::Serving {
                response
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            connection.response_begins(held_bytes(&response));
            anyhow::Ok(response.map(|body| Download::boxed(body, connection)))
        }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(options.head_timeout)
        .max_buf_size(options.max_head_bytes.max(MIN_BUFFER_BYTES) * 2)
        .keep_alive(true)
        .serve_connection(io, respond);
    tokio::select! {
        biased;
        () = closed.closed() => {}
        served = watcher.watch(serving) => {
            if let Err(error) = served {
                log::debug!("connection of {caller} ended early: {error}");
            }
        }
    }
}
