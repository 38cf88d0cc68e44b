//! Idle connections by address, newest first.

use super::Body;
use hyper::client::conn::http1::SendRequest;
use parking_lot::Mutex;
use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Longest time that a connection may wait for its next request. Common backend servers close
/// idle connections after 15 s to 75 s; closing first avoids a request that meets their close.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// Idle connections kept for one worker. An entry's part of a worker's 64 connections is 9 with 7
/// entries, of which up to 8 carry requests.
const MAX_KEPT: usize = 8;

struct Idle {
    sender: SendRequest<Body>,
    since: Instant,
}

/// The idle connections of one entry. One lock, never held across an await.
#[derive(Default)]
pub(super) struct Shelf {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Idle>>>,
}

impl fmt::Debug for Shelf {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = self.idle.lock().values().map(Vec::len).sum::<usize>();
        f.debug_struct("Shelf").field("idle", &counts).finish()
    }
}

impl Shelf {
    /// Takes the most recently used connection to `to` that is still open.
    pub(super) fn take(&self, to: SocketAddr) -> Option<SendRequest<Body>> {
        let mut idle = self.idle.lock();
        let kept = idle.get_mut(&to)?;
        let usable = |found: &Idle| found.sender.is_ready() && found.since.elapsed() < MAX_IDLE;
        std::iter::from_fn(|| kept.pop())
            .find(usable)
            .map(|found| found.sender)
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(super) fn put(&self, to: SocketAddr, sender: SendRequest<Body>) {
        let mut idle = self.idle.lock();
        let kept = idle.entry(to).or_default();
        if kept.len() < MAX_KEPT {
            kept.push(Idle {
                sender,
                since: Instant::now(),
            });
        }
    }

    /// Drops connections that are closed or idle too long, and addresses that have none left.
    pub(super) fn sweep(&self) {
        let mut idle = self.idle.lock();
        for kept in idle.values_mut() {
            kept.retain(|found| !found.sender.is_closed() && found.since.elapsed() < MAX_IDLE);
        }
        idle.retain(|_, kept| !kept.is_empty());
    }
}
