//! Bad input gets a numbered error, harms no other request, and is not logged in the clear.

mod callers;
mod operators;
mod secrets;

use crate::LIMIT;
use eyre::Result;
use http::Method;
use primroseroute_testbed::{Caller, Layout, Said, Site, caller_token, platform};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Limits small enough that a test reaches them at once.
const HEAD: usize = 8 << 10;
const BODY: usize = 10_000;

/// Longest time for a head; the case that waits for it asserts only that the connection ends.
const HEAD_TIME: Duration = Duration::from_millis(200);

/// One entry before the pools of two accounts; `tour` may not call `stay`.
async fn site() -> Result<Site> {
    let layout = Layout {
        entries: 0,
        pools: vec![("stay".to_owned(), 2), ("tour".to_owned(), 1)],
        ..Layout::small()
    };
    let mut site = Site::open(layout, platform::Options::default()).await?;
    site.start_with("entry-0", |mut parts| {
        parts.server_options.max_head_bytes = HEAD;
        parts.server_options.head_timeout = HEAD_TIME;
        parts.request_options.max_body_bytes = BODY;
        parts
    })
    .await?;
    site.converge().await?;
    Ok(site)
}

/// A good request is served, and it is the only one that was executed.
async fn unharmed(site: &Site) {
    let caller = Caller::open(caller_token("stay"));
    let to = site.any().callers;
    let answer = caller
        .send(to, Method::POST, "/stay/beds", &[], "bed", LIMIT)
        .await;
    assert_eq!(answer.said, Said::Completed, "{answer:?}");
    let executed: u64 = site.workers.values().map(|w| w.count().executions).sum();
    assert_eq!(executed, 1, "a refused request was executed");
}

#[derive(Clone, Copy)]
enum Port {
    Callers,
    Admin,
}

impl Port {
    fn of(self, site: &Site) -> SocketAddr {
        match self {
            Self::Callers => site.any().callers,
            Self::Admin => site.any().entry.admin(),
        }
    }
}

/// Bytes that are no HTTP are answered by the HTTP library, which knows no codes, or by nothing.
async fn garbage(port: Port) -> Result<()> {
    let site = site().await?;
    let garbage: [&[u8]; 4] = [
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost a\r\n\r\n",
        b"POST /stay/beds HTTP/1.1\r\nhost: a\r\ncontent-length: many\r\n\r\n",
    ];
    for bytes in garbage {
        let answer = exchange(port.of(&site), bytes).await?;
        assert!(
            answer.starts_with("HTTP/1.1 400"),
            "{answer:?} to {bytes:?}"
        );
    }
    unharmed(&site).await;
    Ok(())
}

/// Sends `bytes` and reads until the connection ends; only a hung test waits for the limit.
async fn exchange(to: SocketAddr, bytes: &[u8]) -> Result<String> {
    let mut socket = TcpStream::connect(to).await?;
    socket.write_all(bytes).await?;
    let mut answer = Vec::new();
    // A server that closes with bytes unread resets the connection; what it answered is read first.
    drop(timeout(LIMIT, socket.read_to_end(&mut answer)).await?);
    Ok(String::from_utf8_lossy(&answer).into_owned())
}
