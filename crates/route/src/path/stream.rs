//! Bodies that stream: bounded on the way up, watched on the way down.

use crate::{backend::Body, gate::Ticket};
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

/// `body`, which fails after `limit` bytes; the attempt that carries it then fails too.
pub(super) fn bounded(body: Body, limit: usize) -> Body {
    Body::new(Limited::new(body, limit).map_err(io::Error::other))
}

/// An answer's body on its way to the caller.
///
/// The worker's slot is in use until the body's end, so the gate learns of the end from here. A
/// body that breaks off ends in an error, and the caller's connection is closed without the end
/// of the message: a short answer never looks whole.
pub(super) struct Watched {
    body: Body,
    ticket: Option<Ticket>,
    since: Instant,
    failure: bool,
}

impl Watched {
    pub(super) fn boxed(body: Body, ticket: Ticket, since: Instant, failure: bool) -> Body {
        Body::new(Self {
            body,
            ticket: Some(ticket),
            since,
            failure,
        })
    }

    /// Ends the request at the gate. A broken stream counts as a failed answer and not as a lost
    /// one, which the gate might try again: its head has already gone to the caller.
    fn end(&mut self, failure: bool) {
        if let Some(mut ticket) = self.ticket.take() {
            ticket.finish(AttemptOutcome::Responded {
                latency: self.since.elapsed(),
                failure,
            });
        }
    }
}

impl HttpBody for Watched {
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
