//! A connection's socket, which tells the registry what is received and sent.

use super::{Closed, Connection};
use futures::{future::BoxFuture, ready};
use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Most bytes of one read. The HTTP library enlarges its read buffer after a read of 8 KiB, and each part of
/// a body keeps its read buffer alive.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// Bytes of a head for which a connection always has memory.
const INCLUDED_HEAD_BYTES: usize = 8 << 10;

/// Memory for each byte of a larger head: the read buffer doubles when it is full.
const HEAD_COPIES: usize = 2;

/// The socket of a connection.
pub(crate) struct Socket {
    stream: TcpStream,
    connection: Connection,
    /// Bytes of the current head for which memory is reserved.
    reserved_head_bytes: usize,
    reservation: Option<BoxFuture<'static, Result<(), Closed>>>,
    is_blocked: bool,
}

impl Socket {
    pub(crate) fn new(stream: TcpStream, connection: Connection) -> Self {
        Self {
            stream,
            connection,
            reserved_head_bytes: INCLUDED_HEAD_BYTES,
            reservation: None,
            is_blocked: false,
        }
    }

    /// Reserves memory for the next read of a head that is larger than usual.
    fn poll_reserve(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.connection.head_bytes() {
            None | Some(0) => self.reserved_head_bytes = INCLUDED_HEAD_BYTES,
            Some(bytes) if bytes + MAX_READ_BYTES <= self.reserved_head_bytes => {}
            Some(_) if self.reservation.is_some() => {}
            Some(_) => {
                self.reserved_head_bytes += MAX_READ_BYTES;
                let connection = self.connection.clone();
                let reservation =
                    async move { connection.reserve(MAX_READ_BYTES * HEAD_COPIES).await };
                self.reservation = Some(Box::pin(reservation));
            }
        }
        if let Some(reservation) = &mut self.reservation {
            let reserved = ready!(reservation.as_mut().poll(cx));
            self.reservation = None;
            reserved.map_err(|Closed| io::ErrorKind::ConnectionAborted)?;
        }
        Poll::Ready(Ok(()))
    }

    fn written<T>(&mut self, polled: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        let is_blocked = polled.is_pending();
        if is_blocked != self.is_blocked {
            self.is_blocked = is_blocked;
            self.connection.set_blocked(is_blocked);
        }
        polled
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_reserve(cx))?;
        let limit = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(limit));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let bytes = part.filled().len();
        buf.advance(bytes);
        self.connection.read(bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.written(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.written(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
