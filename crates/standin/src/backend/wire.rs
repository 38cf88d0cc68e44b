//! A byte stream that can corrupt what is written.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The top bit, set in each garbled byte; no byte of an HTTP head has it set.
const GARBLE_MASK: u8 = 0x80;

/// A connection whose written bytes are garbled while the flag is set.
#[derive(Debug)]
pub(super) struct Stream {
    inner: TcpStream,
    garbled: Arc<AtomicBool>,
}

impl Stream {
    pub(super) fn new(inner: TcpStream, garbled: Arc<AtomicBool>) -> Self {
        Self { inner, garbled }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.garbled.load(Ordering::Relaxed) {
            return Pin::new(&mut self.inner).poll_write(cx, buf);
        }
        // Each byte is garbled independently, so a partial write needs no state for the rest.
        let garbled: Vec<u8> = buf.iter().map(|byte| byte | GARBLE_MASK).collect();
        Pin::new(&mut self.inner).poll_write(cx, &garbled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
