//! Invalid input gets a numbered error, does not affect other requests, and is not logged in clear
//! text.

mod callers;
mod operators;
mod secrets;

use crate::TIMEOUT;
use eyre::Result;
use http::Method;
use primroseroute_testbed::{Caller, Layout, Said, Site, caller_token, platform};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Limits low enough for a test to reach them quickly.
const MAX_HEAD_BYTES: usize = 8 << 10;
const MAX_BODY_BYTES: usize = 10_000;

/// Header timeout; the case that waits for it asserts only that the connection is closed.
const HEAD_TIMEOUT: Duration = Duration::from_millis(200);

/// One entry in front of the pools of two accounts; `tour` may not call `stay`.
async fn site() -> Result<Site> {
    let layout = Layout {
        entries: 0,
        pools: vec![("stay".to_owned(), 2), ("tour".to_owned(), 1)],
        ..Layout::small()
    };
    let mut site = Site::open(layout, platform::Options::default()).await?;
    site.start_with("entry-0", |mut parts| {
        parts.server_options.max_head_bytes = MAX_HEAD_BYTES;
        parts.server_options.head_timeout = HEAD_TIMEOUT;
        parts.request_options.max_body_bytes = MAX_BODY_BYTES;
        parts
    })
    .await?;
    site.converge().await?;
    Ok(site)
}

/// Asserts that a valid request is served and that no other request was executed.
async fn assert_service_unaffected(site: &Site) {
    let caller = Caller::open(caller_token("stay"));
    let to = site.any_entry().callers;
    let answer = caller
        .send(to, Method::POST, "/stay/beds", &[], "bed", TIMEOUT)
        .await;
    assert_eq!(answer.said, Said::Completed, "{answer:?}");
    let executed: u64 = site.workers.values().map(|w| w.count().executions).sum();
    assert_eq!(executed, 1, "a rejected request was executed");
}

#[derive(Clone, Copy)]
enum Port {
    Callers,
    Admin,
}

impl Port {
    fn of(self, site: &Site) -> SocketAddr {
        match self {
            Self::Callers => site.any_entry().callers,
            Self::Admin => site.any_entry().entry.admin(),
        }
    }
}

/// Malformed HTTP is answered with a bare 400 by the HTTP library, which has no numbered codes.
async fn garbage(port: Port) -> Result<()> {
    let site = site().await?;
    let inputs: [&[u8]; 4] = [
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost a\r\n\r\n",
        b"POST /stay/beds HTTP/1.1\r\nhost: a\r\ncontent-length: many\r\n\r\n",
    ];
    for bytes in inputs {
        let answer = exchange(port.of(&site), bytes).await?;
        assert!(
            answer.starts_with("HTTP/1.1 400"),
            "{answer:?} to {bytes:?}"
        );
    }
    assert_service_unaffected(&site).await;
    Ok(())
}

/// Sends `bytes` and reads until the connection ends; only a hung test reaches the timeout.
async fn exchange(to: SocketAddr, bytes: &[u8]) -> Result<String> {
    let mut socket = TcpStream::connect(to).await?;
    socket.write_all(bytes).await?;
    let mut answer = Vec::new();
    // A server that closes with unread bytes resets the connection; its response has been read by
    // then.
    drop(timeout(TIMEOUT, socket.read_to_end(&mut answer)).await?);
    Ok(String::from_utf8_lossy(&answer).into_owned())
}
