//! Traffic counters of the link, and the byte limit of unauthenticated connections.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Totals since the link was bound. Bytes exclude TCP and IP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Completed exchanges of reports that this entry initiated.
    pub exchanges: u64,
    /// Pushes that peers acknowledged.
    pub pushes: u64,
    /// Messages with slot reports that peers acknowledged.
    pub slot_messages: u64,
    /// Pulls that returned records.
    pub record_pulls: u64,
    /// Pulls that returned a snapshot.
    pub snapshot_pulls: u64,
    /// Connections that were closed before they were authenticated.
    pub rejected_connections: u64,
}

#[derive(Debug, Default)]
pub(super) struct Totals {
    pub(super) sent: AtomicU64,
    pub(super) received: AtomicU64,
    pub(super) exchanges: AtomicU64,
    pub(super) pushes: AtomicU64,
    pub(super) slot_messages: AtomicU64,
    pub(super) record_pulls: AtomicU64,
    pub(super) snapshot_pulls: AtomicU64,
    pub(super) rejected_connections: AtomicU64,
}

pub(super) fn add(total: &AtomicU64, count: usize) {
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    total.fetch_add(count, Ordering::Relaxed);
}

impl Totals {
    pub(super) fn read(&self) -> Traffic {
        let read = |total: &AtomicU64| total.load(Ordering::Relaxed);
        Traffic {
            sent: read(&self.sent),
            received: read(&self.received),
            exchanges: read(&self.exchanges),
            pushes: read(&self.pushes),
            slot_messages: read(&self.slot_messages),
            record_pulls: read(&self.record_pulls),
            snapshot_pulls: read(&self.snapshot_pulls),
            rejected_connections: read(&self.rejected_connections),
        }
    }
}

/// Bytes that a connection may still send before it is authenticated; `None` once it is.
pub(super) type Allowance = Rc<Cell<Option<usize>>>;

/// A connection whose bytes are counted, and limited until the peer is authenticated.
///
/// Without the limit, an unauthenticated client could announce a message of the maximum size and
/// send it slowly, over and over, and so occupy that much memory. Before the handshake is complete
/// it may send at most [`UNAUTHENTICATED_BYTES`], far more than a handshake takes.
#[derive(Debug)]
pub(super) struct MeteredStream {
    pub(super) stream: TcpStream,
    pub(super) totals: Arc<Totals>,
    pub(super) allowance: Allowance,
}

/// Maximum bytes read from a connection before it is authenticated: a handshake takes under 1 KB.
pub(super) const UNAUTHENTICATED_BYTES: usize = 4096;

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        add(&self.totals.received, count);
        if let Some(left) = self.allowance.get() {
            let Some(left) = left.checked_sub(count) else {
                let text = "too many bytes before authentication";
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
            };
            self.allowance.set(Some(left));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        add(&self.totals.sent, count);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
