use eyre::{Result, ensure, eyre};
use gotham::helpers::http::Body;
use http::Response;
use primroseroute_front::{
    IncomingRequest, Options, Server,
    connections::{Observer, Reason, Registry},
    handler_fn,
    problem::full_body,
    upload,
};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Notify,
    time::timeout,
};

/// How long an answer may take before a test fails.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Largest body that the handler reads.
const MAX_BODY_BYTES: usize = 100_000;

/// Memory of all connections: enough for two bodies of the largest size, and not for three.
const MEMORY_BYTES: usize = 400 << 10;

/// Defines one multi-threaded tokio test per case; a case that returns an error fails.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() -> Result<()> {
            $body.await
        }
    )*};
}

cases! {
    /// A new request that is refused for the memory of clients that stand still.
    stalled_upload_gives_way_to_a_newcomer => stalled_upload();
    /// A complete request that is cut off while memory is short.
    complete_request_is_kept => complete_request();
    /// A client that can't connect, since others hold all connections.
    idle_connection_gives_way_to_a_newcomer => idle_connection();
    /// An upload that is closed though memory is free.
    slow_upload_is_completed_in_calm => slow_upload();
    /// Memory that stays counted after its request.
    memory_is_released_after_each_request => released();
    /// Memory of a request that goes on after its client has left, and isn't counted any more.
    memory_is_counted_until_the_handler_drops_it => held();
    /// A stop that cuts off a complete request.
    stop_waits_for_a_complete_request => stop();
}

#[derive(Debug, Default)]
struct Closed {
    memory: AtomicU64,
    connections: AtomicU64,
    stop: AtomicU64,
}

impl Observer for Closed {
    fn connections_closed(&self, reason: Reason, count: u64) {
        let counter = match reason {
            Reason::Memory => &self.memory,
            Reason::Connections => &self.connections,
            Reason::Stop => &self.stop,
        };
        counter.fetch_add(count, Ordering::Relaxed);
    }
}

/// Lets the handler respond to requests for `/wait`.
#[derive(Debug, Default)]
struct Gate {
    entered: Notify,
    released: Notify,
}

struct Fixture {
    server: Server,
    registry: Registry,
    closed: Arc<Closed>,
    gate: Arc<Gate>,
}

impl Fixture {
    async fn open(max_connections: usize) -> Result<Self> {
        let closed = Arc::<Closed>::default();
        let registry = Registry::open(MEMORY_BYTES, Some(Arc::clone(&closed) as _));
        let options = Options {
            max_connections,
            shutdown_grace: Duration::from_millis(50),
            stall_timeout: Duration::from_millis(100),
            registry: registry.clone(),
            ..Options::default()
        };
        let gate = Arc::<Gate>::default();
        let handler = handler_fn(Arc::clone(&gate), respond);
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Ok(Self {
            server: Server::bind(any, options, handler).await?,
            registry,
            closed,
            gate,
        })
    }

    async fn connect(&self) -> Result<TcpStream> {
        Ok(TcpStream::connect(self.server.address()).await?)
    }

    /// Sends a request with a body of which `sent` bytes follow.
    async fn send(&self, path: &str, length: usize, sent: usize) -> Result<TcpStream> {
        let mut connection = self.connect().await?;
        let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
        connection.write_all(head.as_bytes()).await?;
        connection.write_all(&vec![b'x'; sent]).await?;
        Ok(connection)
    }

    /// Waits until the connections hold at least this much.
    async fn wait_until_held(&self, bytes: usize) -> Result<()> {
        let held = async {
            while self.registry.usage().bytes < bytes {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        Ok(timeout(TIMEOUT, held).await?)
    }

    /// Waits until no connection holds a request.
    async fn wait_until_released(&self) -> Result<()> {
        let released = async {
            while self.registry.usage().bytes >= MAX_BODY_BYTES {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        Ok(timeout(TIMEOUT, released).await?)
    }
}

async fn respond(gate: Arc<Gate>, request: IncomingRequest) -> Response<Body> {
    let must_wait = request.uri.path() == "/wait";
    if request.uri.path() == "/detached" {
        let connection = request.body.connection();
        let body = request.body.collect(MAX_BODY_BYTES, 1).await;
        tokio::spawn(async move {
            gate.entered.notify_one();
            gate.released.notified().await;
            drop((body, connection));
        });
        return std::future::pending().await;
    }
    let body = request.body.collect(MAX_BODY_BYTES, 1).await;
    if must_wait {
        gate.entered.notify_one();
        gate.released.notified().await;
    }
    let text = match body {
        Ok(body) => format!("{} bytes", body.len()),
        Err(upload::Error::TooLarge) => "too large".to_owned(),
        Err(error) => error.to_string(),
    };
    Response::new(full_body(text))
}

/// The last line of the next response.
async fn answer(connection: &mut TcpStream) -> Result<String> {
    let reading = async {
        let mut response = Vec::new();
        loop {
            let text = String::from_utf8_lossy(&response);
            if let Some((_head, body)) = text.split_once("\r\n\r\n")
                && !body.is_empty()
            {
                return Ok(body.to_owned());
            }
            if connection.read_buf(&mut response).await? == 0 {
                return Err(eyre!("closed without an answer"));
            }
        }
    };
    timeout(TIMEOUT, reading).await?
}

async fn stalled_upload() -> Result<()> {
    let fixture = Fixture::open(100).await?;
    let mut stalled = Vec::new();
    for _ in 0..2 {
        stalled.push(
            fixture
                .send("/", MAX_BODY_BYTES, MAX_BODY_BYTES - 1)
                .await?,
        );
    }
    fixture.wait_until_held(2 * MAX_BODY_BYTES).await?;
    let mut newcomer = fixture.send("/", MAX_BODY_BYTES, MAX_BODY_BYTES).await?;
    assert_eq!(answer(&mut newcomer).await?, "100000 bytes");
    ensure!(
        answer(&mut stalled[0]).await.is_err(),
        "the oldest upload is kept"
    );
    assert!(fixture.closed.memory.load(Ordering::Relaxed) >= 1);
    assert!(fixture.registry.usage().bytes <= MEMORY_BYTES);
    Ok(())
}

async fn complete_request() -> Result<()> {
    let fixture = Fixture::open(100).await?;
    let mut complete = fixture.send("/wait", 50_000, 50_000).await?;
    fixture.gate.entered.notified().await;
    let mut crowd = Vec::new();
    for _ in 0..8 {
        // A connection that gives way may be reset while its body is sent.
        crowd.extend(fixture.send("/", MAX_BODY_BYTES, MAX_BODY_BYTES - 1).await);
    }
    let is_closing = async {
        while fixture.closed.memory.load(Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, is_closing).await?;
    fixture.gate.released.notify_one();
    assert_eq!(answer(&mut complete).await?, "50000 bytes");
    Ok(())
}

async fn idle_connection() -> Result<()> {
    let fixture = Fixture::open(2).await?;
    let mut idle = [fixture.connect().await?, fixture.connect().await?];
    let mut newcomer = fixture.send("/", 1, 1).await?;
    assert_eq!(answer(&mut newcomer).await?, "1 bytes");
    ensure!(
        answer(&mut idle[0]).await.is_err(),
        "the oldest connection is kept"
    );
    assert_eq!(fixture.closed.connections.load(Ordering::Relaxed), 1);
    Ok(())
}

async fn slow_upload() -> Result<()> {
    let fixture = Fixture::open(100).await?;
    let mut connection = fixture.send("/", MAX_BODY_BYTES, 0).await?;
    for _ in 0..100 {
        connection
            .write_all(&vec![b'x'; MAX_BODY_BYTES / 100])
            .await?;
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(answer(&mut connection).await?, "100000 bytes");
    Ok(())
}

async fn released() -> Result<()> {
    let fixture = Fixture::open(100).await?;
    let mut connection = fixture.connect().await?;
    // The buffers of the connection alone: a request may be counted for a moment after its answer.
    fixture.wait_until_held(1).await?;
    let before = fixture.registry.usage();
    connection
        .write_all(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\nx")
        .await?;
    assert_eq!(answer(&mut connection).await?, "1 bytes");
    for _ in 0..20 {
        let head =
            format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n");
        connection.write_all(head.as_bytes()).await?;
        connection.write_all(&vec![b'x'; MAX_BODY_BYTES]).await?;
        assert_eq!(answer(&mut connection).await?, "100000 bytes");
    }
    // The next request may be read only after the response before it was flushed.
    let released = async {
        while fixture.registry.usage() != before {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, released).await?;
    drop(connection);
    let removed = async {
        while fixture.registry.usage().connections > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, removed).await?;
    assert_eq!(fixture.registry.usage().bytes, 0);
    Ok(())
}

async fn held() -> Result<()> {
    let fixture = Fixture::open(100).await?;
    let connection = fixture
        .send("/detached", MAX_BODY_BYTES, MAX_BODY_BYTES)
        .await?;
    fixture.gate.entered.notified().await;
    drop(connection);
    // Another request shows that the server has gone on.
    let mut other = fixture.send("/", 1, 1).await?;
    assert_eq!(answer(&mut other).await?, "1 bytes");
    assert!(fixture.registry.usage().bytes >= MAX_BODY_BYTES);
    fixture.gate.released.notify_one();
    fixture.wait_until_released().await
}

async fn stop() -> Result<()> {
    let fixture = Fixture::open(100).await?;
    let mut complete = fixture.send("/wait", 10, 10).await?;
    fixture.gate.entered.notified().await;
    let mut unfinished = fixture.send("/", 10, 9).await?;
    fixture.wait_until_held(64 << 10).await?;
    let Fixture { server, gate, .. } = fixture;
    let stopping = tokio::spawn(server.stop());
    ensure!(
        answer(&mut unfinished).await.is_err(),
        "the unfinished request is answered"
    );
    gate.released.notify_one();
    assert_eq!(answer(&mut complete).await?, "10 bytes");
    Ok(timeout(TIMEOUT, stopping).await??)
}
