//! A byte stream that can garble what is written.

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

/// Sets the top bit of each garbled byte, which no HTTP head contains.
const GARBLE: u8 = 0x80;

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
        // Each byte is garbled by itself, so a partial write needs no memory of the rest.
        let garbled: Vec<u8> = buf.iter().map(|byte| byte | GARBLE).collect();
        Pin::new(&mut self.inner).poll_write(cx, &garbled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
