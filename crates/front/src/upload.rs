//! Bodies of requests, read within the memory of their connection.

use crate::connections::{Closed, Connection};
use bytes::Bytes;
use gotham::{helpers::http::Body, prelude::FromState, state::State};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use std::{
    fmt, io,
    ops::RangeInclusive,
    pin::Pin,
    task::{Context, Poll},
};

/// Sizes of the first part of a buffer, and of the later ones. Parts of one size leave no gaps in the
/// allocator's memory, and most bodies fit in a small first one.
const PART_BYTES: RangeInclusive<usize> = 1 << 10..=16 << 10;

/// A request body that hasn't been read.
#[derive(Debug)]
pub struct Upload {
    body: Body,
    /// `None` for a body that was made in this process.
    connection: Option<Connection>,
}

/// A request body as far as it was read.
#[derive(Debug)]
pub enum Received {
    /// The complete body.
    Complete(Bytes),
    /// Its first bytes, and the unread remainder.
    Partial(Bytes, Body),
}

/// Why a body can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// It is larger than allowed.
    TooLarge,
    /// It breaks off.
    Incomplete(String),
    /// Memory is short, and its connection gives way; no response is sent.
    Closed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("the body is too large"),
            Self::Incomplete(detail) => write!(f, "the body is incomplete: {detail}"),
            Self::Closed => f.write_str("memory is short, and the connection is closed"),
        }
    }
}

impl std::error::Error for Error {}

impl From<Closed> for Error {
    fn from(Closed: Closed) -> Self {
        Self::Closed
    }
}

impl From<Body> for Upload {
    fn from(body: Body) -> Self {
        Self {
            body,
            connection: None,
        }
    }
}

impl Upload {
    /// Takes the body out of a request's state.
    pub fn take_from(state: &mut State) -> Self {
        Self {
            body: Body::take_from(state),
            connection: Connection::try_take_from(state),
        }
    }

    /// The connection that the body arrives on. Memory that was reserved for the body stays counted until the
    /// last handle of its connection is dropped, or its response has been sent.
    pub fn connection(&self) -> Option<Connection> {
        self.connection.clone()
    }

    /// Reads the whole body.
    ///
    /// `copies` is how often the request's handler holds it: the body itself, and the forms that are made of
    /// it.
    ///
    /// # Errors
    /// If it has more than `limit` bytes, breaks off, or there is no memory for it.
    pub async fn collect(self, limit: usize, copies: usize) -> Result<Bytes, Error> {
        match self.read(limit, copies).await? {
            Received::Complete(body) => Ok(body),
            Received::Partial(..) => Err(Error::TooLarge),
        }
    }

    /// Reads the whole body, or somewhat more than its first `limit` bytes.
    ///
    /// # Errors
    /// If it breaks off, or there is no memory for it.
    pub async fn receive(self, limit: usize) -> Result<Received, Error> {
        self.read(limit, 1).await
    }

    async fn read(mut self, limit: usize, copies: usize) -> Result<Received, Error> {
        let mut buffer = Buffer::new(self.connection.clone());
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| Error::Incomplete(error.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            buffer.push(&data).await?;
            if buffer.length > limit {
                let start = buffer.join(1).await?;
                let rest = match self.connection {
                    Some(connection) => Body::new(Rest {
                        body: self.body,
                        connection,
                    }),
                    None => self.body,
                };
                return Ok(Received::Partial(start, rest));
            }
        }
        let body = buffer.join(copies).await?;
        if let Some(connection) = &self.connection {
            connection.request_received();
        }
        Ok(Received::Complete(body))
    }
}

/// Received bytes, for which memory is reserved first.
///
/// They are copied, since a part of a body keeps the whole read buffer alive in which it arrived.
struct Buffer {
    connection: Option<Connection>,
    parts: Vec<Vec<u8>>,
    length: usize,
}

impl Buffer {
    fn new(connection: Option<Connection>) -> Self {
        Self {
            connection,
            parts: Vec::new(),
            length: 0,
        }
    }

    async fn reserve(&self, bytes: usize) -> Result<(), Closed> {
        match &self.connection {
            Some(connection) => connection.reserve(bytes).await,
            None => Ok(()),
        }
    }

    async fn push(&mut self, mut data: &[u8]) -> Result<(), Closed> {
        while !data.is_empty() {
            let last = self.parts.last_mut();
            if let Some(last) = last.filter(|last| last.len() < last.capacity()) {
                let fitting = data.len().min(last.capacity() - last.len());
                last.extend_from_slice(&data[..fitting]);
                self.length += fitting;
                data = &data[fitting..];
            } else {
                let last = self.parts.last();
                let size = last.map_or(*PART_BYTES.start(), |last| last.capacity() * 2);
                let size = size.min(*PART_BYTES.end());
                self.reserve(size).await?;
                self.parts.push(Vec::with_capacity(size));
            }
        }
        Ok(())
    }

    /// Joins the parts, after it has reserved memory for further `copies` beside them.
    async fn join(mut self, copies: usize) -> Result<Bytes, Closed> {
        let is_split = self.parts.len() > 1;
        let more = copies.saturating_sub(1).max(usize::from(is_split));
        self.reserve(self.length * more).await?;
        if is_split {
            return Ok(self.parts.concat().into());
        }
        Ok(self.parts.pop().unwrap_or_default().into())
    }
}

/// The remainder of a body, which reports its end.
struct Rest {
    body: Body,
    connection: Connection,
}

impl HttpBody for Rest {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) || self.body.is_end_stream() {
            self.connection.request_received();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Marks a response, as an extension, whose body is sent on while it is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Streamed {
    /// Bytes of it that are held.
    pub buffered: usize,
}

/// A response body that reports when it has been handed to the connection's buffer.
pub(crate) struct Download {
    body: Body,
    connection: Connection,
}

impl Download {
    pub(crate) fn boxed(body: Body, connection: Connection) -> Body {
        Body::new(Self { body, connection })
    }
}

impl Drop for Download {
    fn drop(&mut self) {
        self.connection.response_complete();
    }
}

impl HttpBody for Download {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
