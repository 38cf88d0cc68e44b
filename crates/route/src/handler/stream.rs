//! Streaming bodies: limited request bodies and tracked response bodies.

use crate::{backend::Body, dispatch::RequestHandle};
use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::{BodyExt, Limited};
use primroseroute_flow::request::AttemptOutcome;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::time::Instant;

/// Makes `body` fail after `limit` bytes, which fails the attempt that sends it.
pub(super) fn limited(body: Body, limit: usize) -> Body {
    Body::new(Limited::new(body, limit).map_err(io::Error::other))
}

/// A response body that reports its end to the dispatcher.
///
/// The worker's slot is in use until the end of the body. A body that breaks off ends in an error,
/// and the caller's connection is closed without the end of the message: a truncated response
/// never looks complete.
pub(super) struct TrackedBody {
    body: Body,
    handle: Option<RequestHandle>,
    sent_at: Instant,
    failure: bool,
}

impl TrackedBody {
    pub(super) fn boxed(
        body: Body,
        handle: RequestHandle,
        sent_at: Instant,
        failure: bool,
    ) -> Body {
        Body::new(Self {
            body,
            handle: Some(handle),
            sent_at,
            failure,
        })
    }

    /// Reports the end of the request. A broken stream counts as a failed response and not as a lost
    /// connection, which the dispatcher might retry: its head has already been sent to the caller.
    fn end(&mut self, failure: bool) {
        if let Some(mut handle) = self.handle.take() {
            handle.finish(AttemptOutcome::Responded {
                latency: self.sent_at.elapsed(),
                failure,
            });
        }
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => {
                let failure = self.failure;
                self.end(failure);
            }
            Poll::Ready(Some(Err(_))) => self.end(true),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
