//! Reuse of connections: a connection must only deliver the response to its current request.

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use primroseroute_route::{
    backend::{Backend, ConnectionPool},
    problem,
};
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};

/// What the worker does on its first connection besides responding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A second response follows in the same write as the first.
    DoubleResponse,
    /// An unsolicited response arrives while the connection is idle.
    Unsolicited,
    /// The connection is closed while it is idle.
    Closed,
}

fn response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads a request's head; false if the connection ended before it.
async fn read_head(socket: &mut TcpStream) -> io::Result<bool> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match socket.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(false),
            Err(error) => return Err(error),
        }
    }
    Ok(true)
}

/// Answers each request with its connection's number; writes to `mark` after injecting `fault`.
async fn run_worker(listener: TcpListener, fault: Fault, mut mark: TcpStream) -> io::Result<()> {
    let (mut first, _) = listener.accept().await?;
    read_head(&mut first).await?;
    let double = response("first") + &response("stray");
    let text = match fault {
        Fault::DoubleResponse => double,
        Fault::None | Fault::Unsolicited | Fault::Closed => response("first"),
    };
    first.write_all(text.as_bytes()).await?;
    // The caller signals when it has read the response: from then on the connection is idle.
    mark.read_u8().await?;
    match fault {
        Fault::None | Fault::DoubleResponse => {}
        Fault::Unsolicited => first.write_all(response("stray").as_bytes()).await?,
        Fault::Closed => first.shutdown().await?,
    }
    mark.write_u8(0).await?;
    if fault == Fault::None && read_head(&mut first).await? {
        first.write_all(response("first again").as_bytes()).await?;
    }
    let (mut second, _) = listener.accept().await?;
    read_head(&mut second).await?;
    second.write_all(response("second").as_bytes()).await
}

async fn send(pool: &ConnectionPool, to: SocketAddr) -> eyre::Result<Bytes> {
    let mut request = Request::new(problem::full_body(Bytes::new()));
    *request.uri_mut() = "/beds".parse()?;
    let until = Instant::now() + Duration::from_secs(10);
    let response = pool.send(to, request, until).await?;
    Ok(response.into_body().collect().await?.to_bytes())
}

/// The responses to two consecutive requests on a new pool.
async fn two_responses(fault: Fault) -> eyre::Result<[Bytes; 2]> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let to = listener.local_addr()?;
    let marks = TcpListener::bind("127.0.0.1:0").await?;
    let mut mark = TcpStream::connect(marks.local_addr()?).await?;
    let (worker_mark, _) = marks.accept().await?;
    let worker = tokio::spawn(run_worker(listener, fault, worker_mark));
    let pool = ConnectionPool::new();
    let first = send(&pool, to).await?;
    mark.write_u8(0).await?;
    // Written after the fault and read through the same poll of the system, so the fault has
    // arrived by now.
    mark.read_u8().await?;
    let second = send(&pool, to).await?;
    worker.abort();
    Ok([first, second])
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($fault:expr) = $second:literal;)+) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() -> eyre::Result<()> {
            assert_eq!(two_responses($fault).await?, [Bytes::from("first"), Bytes::from($second)]);
            Ok(())
        }
    )+};
}

cases! {
    /// Without a fault the connection is reused.
    complete_response_keeps_its_connection(Fault::None) = "first again";

    /// The worker responds twice. If the second response stayed on the connection, the next caller
    /// would receive it (invariant I3), so the connection is closed.
    double_response_closes_the_connection(Fault::DoubleResponse) = "second";

    /// The same with a late second response. Idle connections are not read; the first poll of the
    /// next request finds the stray bytes before it writes, and uses another connection.
    unsolicited_response_closes_the_connection(Fault::Unsolicited) = "second";

    /// The worker closes an idle connection. The next request detects this before it writes, so it
    /// is sent on a new connection and not reported as lost.
    closed_connection_is_replaced(Fault::Closed) = "second";
}
