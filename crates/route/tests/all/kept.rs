//! What a kept connection may carry: the answer to the request that is on it, and nothing else.

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use primroseroute_route::{
    backend::{Backend, Pool},
    problem,
};
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};

/// What the worker does on its first connection besides answering.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A second answer follows in one piece with the first.
    Doubled,
    /// An answer that nobody asked for comes once the connection is idle.
    Unasked,
    /// The connection is closed once it is idle.
    Closed,
}

fn answer(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads a request's head; false where the connection ended before it.
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

/// Answers each request with its connection's number; writes to `mark` once `fault` is over.
async fn work(listener: TcpListener, fault: Fault, mut mark: TcpStream) -> io::Result<()> {
    let (mut first, _) = listener.accept().await?;
    read_head(&mut first).await?;
    let doubled = answer("first") + &answer("stray");
    let text = match fault {
        Fault::Doubled => doubled,
        Fault::None | Fault::Unasked | Fault::Closed => answer("first"),
    };
    first.write_all(text.as_bytes()).await?;
    // The caller says when it has read its answer: from then on the connection is idle.
    mark.read_u8().await?;
    match fault {
        Fault::None | Fault::Doubled => {}
        Fault::Unasked => first.write_all(answer("stray").as_bytes()).await?,
        Fault::Closed => first.shutdown().await?,
    }
    mark.write_u8(0).await?;
    if fault == Fault::None && read_head(&mut first).await? {
        first.write_all(answer("first again").as_bytes()).await?;
    }
    let (mut second, _) = listener.accept().await?;
    read_head(&mut second).await?;
    second.write_all(answer("second").as_bytes()).await
}

async fn ask(pool: &Pool, to: SocketAddr) -> eyre::Result<Bytes> {
    let mut request = Request::new(problem::full(Bytes::new()));
    *request.uri_mut() = "/beds".parse()?;
    let until = Instant::now() + Duration::from_secs(10);
    let response = pool.send(to, request, until).await?;
    Ok(response.into_body().collect().await?.to_bytes())
}

/// The answers to two requests, one after the other, on a pool of its own.
async fn two(fault: Fault) -> eyre::Result<[Bytes; 2]> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let to = listener.local_addr()?;
    let marks = TcpListener::bind("127.0.0.1:0").await?;
    let mut mark = TcpStream::connect(marks.local_addr()?).await?;
    let (far, _) = marks.accept().await?;
    let worker = tokio::spawn(work(listener, fault, far));
    let pool = Pool::open();
    let first = ask(&pool, to).await?;
    mark.write_u8(0).await?;
    // Written after the fault and read through the same poll of the system, so the fault has come.
    mark.read_u8().await?;
    let second = ask(&pool, to).await?;
    worker.abort();
    Ok([first, second])
}

macro_rules! kept {
    ($($(#[$doc:meta])* $name:ident($fault:expr) = $second:literal;)+) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() -> eyre::Result<()> {
            assert_eq!(two($fault).await?, [Bytes::from("first"), Bytes::from($second)]);
            Ok(())
        }
    )+};
}

kept! {
    /// Without a fault the connection is used again.
    whole_answer_keeps_its_connection(Fault::None) = "first again";

    /// The worker answers twice. If the second answer stayed on the connection, the next caller
    /// would get it as its own (I3), so the connection is closed.
    doubled_answer_is_nobody_elses(Fault::Doubled) = "second";

    /// The same with a second answer that comes late. Nobody reads an idle connection; the next
    /// request's first drive finds the stray bytes before it writes, and goes elsewhere.
    unasked_answer_is_nobody_elses(Fault::Unasked) = "second";

    /// The worker closes an idle connection. The next request finds out before it writes, so it is
    /// sent on a new connection and not reported as lost.
    closed_connection_is_replaced(Fault::Closed) = "second";
}
