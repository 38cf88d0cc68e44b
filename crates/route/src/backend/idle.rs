//! Idle connections by address, most recently used first.

use super::Body;
use hyper::client::conn::http1::SendRequest;
use parking_lot::Mutex;
use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Longest time that a connection stays idle. Common backend servers close idle connections after
/// 15 s to 75 s; closing earlier avoids sending a request while the server closes the connection.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// Idle connections kept for one worker. An entry's part of a worker's 64 connections is 9 with 7
/// entries, of which up to 8 carry requests.
const MAX_IDLE_PER_WORKER: usize = 8;

struct IdleConnection {
    sender: SendRequest<Body>,
    since: Instant,
}

/// The idle connections of one entry. Its lock is never held across an await.
#[derive(Default)]
pub(super) struct IdleConnections {
    idle: Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
}

impl fmt::Debug for IdleConnections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.idle.lock().values().map(Vec::len).sum::<usize>();
        f.debug_struct("IdleConnections")
            .field("idle", &count)
            .finish()
    }
}

impl IdleConnections {
    /// Takes the most recently used connection to `to` that is still usable.
    pub(super) fn take(&self, to: SocketAddr) -> Option<SendRequest<Body>> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&to)?;
        let usable = |connection: &IdleConnection| {
            connection.sender.is_ready() && connection.since.elapsed() < MAX_IDLE_TIME
        };
        std::iter::from_fn(|| connections.pop())
            .find(usable)
            .map(|connection| connection.sender)
    }

    /// Returns a connection whose last response was read to its end.
    pub(super) fn put(&self, to: SocketAddr, sender: SendRequest<Body>) {
        let mut idle = self.idle.lock();
        let connections = idle.entry(to).or_default();
        if connections.len() < MAX_IDLE_PER_WORKER {
            connections.push(IdleConnection {
                sender,
                since: Instant::now(),
            });
        }
    }

    /// Drops connections that are closed or idle too long, and addresses without connections.
    pub(super) fn sweep(&self) {
        let mut idle = self.idle.lock();
        for connections in idle.values_mut() {
            connections.retain(|connection| {
                !connection.sender.is_closed() && connection.since.elapsed() < MAX_IDLE_TIME
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
