//! Reading the start of an answer, and the whole of it where it is small.
//!
//! The head goes to the caller only after the first [`Bounds::buffer`] bytes of the body, or all
//! of a smaller one, have arrived. A worker that dies inside a small answer then becomes a clean
//! numbered error. A larger answer streams; if it breaks off, the caller's connection is broken
//! off too, so that a short answer never looks whole.

use super::{Body, Failure};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Response, StatusCode, header, response::Parts};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::time::{Instant, timeout_at};

/// An answer as far as it was read.
pub(crate) enum Answer {
    /// The whole of it.
    Whole(Parts, Bytes),
    /// Its start, and the rest to come.
    Streaming(Parts, Bytes, Body),
}

/// Reads an answer up to `buffer` bytes.
pub(crate) async fn collect(
    response: Response<Body>,
    buffer: usize,
    to_head: bool,
    not_after: Instant,
) -> Result<Answer, Failure> {
    let (parts, mut body) = response.into_parts();
    if !is_framed(parts.status, &parts.headers, to_head) {
        return Err(Failure::Invalid(
            "it has no length, so its end cannot be told".to_owned(),
        ));
    }
    let mut start = BytesMut::new();
    while start.len() < buffer {
        let frame = timeout_at(not_after, body.frame()).await;
        match frame.map_err(|_elapsed| Failure::Late)? {
            None => return Ok(Answer::Whole(parts, start.freeze())),
            Some(Err(error)) => return Err(Failure::Lost(error.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    start.extend_from_slice(&data);
                }
            }
        }
    }
    Ok(Answer::Streaming(parts, start.freeze(), body))
}

/// Whether the end of the answer can be told from a connection that breaks off.
fn is_framed(status: StatusCode, headers: &HeaderMap, to_head: bool) -> bool {
    let bodiless =
        to_head || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    bodiless
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// A body that starts with bytes already read.
pub(crate) struct Resumed {
    start: Option<Bytes>,
    rest: Body,
}

impl Resumed {
    pub(crate) fn boxed(start: Bytes, rest: Body) -> Body {
        Body::new(Self {
            start: Some(start).filter(|start| !start.is_empty()),
            rest,
        })
    }
}

impl HttpBody for Resumed {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.start.take() {
            Some(start) => Poll::Ready(Some(Ok(Frame::data(start)))),
            None => Pin::new(&mut self.rest).poll_frame(cx),
        }
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.start.as_ref().map_or(0, Bytes::len) as u64;
        let mut hint = self.rest.size_hint();
        if let Some(upper) = hint.upper() {
            hint.set_upper(upper + held);
        }
        hint.set_lower(hint.lower() + held);
        hint
    }
}
