//! Buffering of responses: small ones completely, larger ones up to a limit.
//!
//! The head is forwarded to the caller only after the first [`Options::buffer_bytes`] bytes of the body,
//! or all of a smaller one, have arrived. A worker that fails within a small response then results
//! in a proper result code. A larger response streams; if it breaks off, the caller's connection is
//! aborted too, so that a truncated response never looks complete.
//!
//! [`Options::buffer_bytes`]: crate::Options::buffer_bytes

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

/// A response as far as it has been read.
pub(crate) enum ReceivedResponse {
    /// The complete response.
    Complete(Parts, Bytes),
    /// Its head, its first bytes, and the unread remainder.
    Streaming(Parts, Bytes, Body),
}

/// Reads a response up to `buffer` bytes of its body.
pub(crate) async fn buffer_response(
    response: Response<Body>,
    buffer: usize,
    to_head: bool,
    not_after: Instant,
) -> Result<ReceivedResponse, Failure> {
    let (parts, mut body) = response.into_parts();
    if !is_framed(parts.status, &parts.headers, to_head) {
        return Err(Failure::InvalidResponse(
            "it has no length, so its end cannot be told".to_owned(),
        ));
    }
    let mut prefix = BytesMut::new();
    while prefix.len() < buffer {
        let frame = timeout_at(not_after, body.frame()).await;
        match frame.map_err(|_elapsed| Failure::TimedOut)? {
            None => return Ok(ReceivedResponse::Complete(parts, prefix.freeze())),
            Some(Err(error)) => return Err(Failure::ConnectionLost(error.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    prefix.extend_from_slice(&data);
                }
            }
        }
    }
    Ok(ReceivedResponse::Streaming(parts, prefix.freeze(), body))
}

/// Whether the end of the response can be distinguished from a connection that breaks off.
fn is_framed(status: StatusCode, headers: &HeaderMap, to_head: bool) -> bool {
    let bodiless =
        to_head || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    bodiless
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// A body that begins with bytes that have already been read.
pub(crate) struct PrefixedBody {
    prefix: Option<Bytes>,
    rest: Body,
}

impl PrefixedBody {
    pub(crate) fn boxed(prefix: Bytes, rest: Body) -> Body {
        Body::new(Self {
            prefix: Some(prefix).filter(|prefix| !prefix.is_empty()),
            rest,
        })
    }
}

impl HttpBody for PrefixedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.prefix.take() {
            Some(prefix) => Poll::Ready(Some(Ok(Frame::data(prefix)))),
            None => Pin::new(&mut self.rest).poll_frame(cx),
        }
    }

    fn size_hint(&self) -> SizeHint {
        let prefix_len = self.prefix.as_ref().map_or(0, Bytes::len) as u64;
        let mut hint = self.rest.size_hint();
        if let Some(upper) = hint.upper() {
            hint.set_upper(upper + prefix_len);
        }
        hint.set_lower(hint.lower() + prefix_len);
        hint
    }
}
