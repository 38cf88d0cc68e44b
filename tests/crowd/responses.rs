//! Responses that nobody reads.

use crate::{
    cases,
    client::{Crowd, head},
    entry::{Entry, SMALL_MACHINE},
};
use bytes::Bytes;
use eyre::{Result, ensure};
use primroseroute_adapter_standin::settings::{HOST, QUEUE};
use std::net::SocketAddr;

/// Bytes of requests that each client sends.
const REQUEST_BYTES: usize = 4 << 20;

cases! {
    /// Memory that grows with the metrics that nobody has read.
    unread_metrics => unread("GET /metrics", |entry| entry.metrics);
    /// Memory that grows with the answers that callers haven't read.
    unread_answers => unread(&format!("GET {QUEUE}"), |entry| entry.callers);
}

async fn unread(line: &str, address: impl Fn(&Entry) -> SocketAddr) -> Result<()> {
    let mut entry = Entry::start(SMALL_MACHINE).await?;
    let request = head(line, HOST, "\r\n");
    let requests: Bytes = request.repeat(REQUEST_BYTES / request.len()).into();
    let crowd = Crowd::open(address(&entry), 400, vec![requests]).await;
    ensure!(crowd.len() > 0, "no client is connected");
    entry.check().await
}
