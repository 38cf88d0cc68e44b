//! Clients over plain sockets.

use bytes::Bytes;
use eyre::{Result, bail, eyre};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::{JoinSet, yield_now},
    time::timeout,
};

/// How long a client of a crowd tries to send before it just holds its connection.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);

/// How long an ordinary client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// How often an ordinary client sends its request again after its connection broke or its outcome is
/// unknown, as the platform's clients do.
const RETRIES: usize = 4;

/// Connections that stay open until this is dropped.
#[derive(Debug)]
pub(crate) struct Crowd {
    connections: Vec<TcpStream>,
}

impl Crowd {
    /// Opens `count` connections at once and sends `pieces` on each, with a pause after each piece.
    ///
    /// A client whose connection is refused or closed gives up.
    pub(crate) async fn open(address: SocketAddr, count: usize, pieces: Vec<Bytes>) -> Self {
        let pieces = Arc::new(pieces);
        let mut clients = JoinSet::new();
        for _ in 0..count {
            clients.spawn(send(address, Arc::clone(&pieces)));
        }
        let connections = clients.join_all().await;
        Self {
            connections: connections.into_iter().flatten().collect(),
        }
    }

    /// Clients that are connected.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }
}

async fn send(address: SocketAddr, pieces: Arc<Vec<Bytes>>) -> Option<TcpStream> {
    let connecting = timeout(SEND_TIMEOUT, TcpStream::connect(address));
    let mut connection = connecting.await.ok()?.ok()?;
    let sending = async {
        for piece in &*pieces {
            connection.write_all(piece).await?;
            yield_now().await;
        }
        std::io::Result::Ok(())
    };
    // A connection that takes no more stays open all the same.
    drop(timeout(SEND_TIMEOUT, sending).await);
    Some(connection)
}

/// The head of a request, without its last line.
pub(crate) fn head(line: &str, host: &str, fields: &str) -> String {
    format!("{line} HTTP/1.1\r\nhost: {host}\r\n{fields}")
}

/// Sends a request as an ordinary client; returns the status of its answer.
pub(crate) async fn answer(address: SocketAddr, request: &[u8]) -> Result<u16> {
    let mut last = eyre!("not sent");
    for _ in 0..=RETRIES {
        match timeout(ANSWER_TIMEOUT, exchange(address, request)).await {
            Ok(Ok(status @ (502 | 504))) => last = eyre!("the last answer is {status}"),
            Ok(Ok(status)) => return Ok(status),
            Ok(Err(error)) => last = error,
            Err(_elapsed) => bail!("no answer within {ANSWER_TIMEOUT:?}"),
        }
    }
    Err(last)
}

async fn exchange(address: SocketAddr, request: &[u8]) -> Result<u16> {
    let mut connection = TcpStream::connect(address).await?;
    connection.write_all(request).await?;
    let mut response = Vec::new();
    while !response.contains(&b'\n') {
        if connection.read_buf(&mut response).await? == 0 {
            bail!("the connection was closed without an answer");
        }
    }
    let line = String::from_utf8_lossy(&response);
    let status = line
        .split(' ')
        .nth(1)
        .ok_or_else(|| eyre!("no status in the answer"))?;
    Ok(status.parse()?)
}
