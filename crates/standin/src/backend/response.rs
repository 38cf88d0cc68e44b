//! Complete and truncated responses.

use super::{ANSWER_BYTES, BACKEND, BODY_BYTES, ECHO, REQUEST_ID, ReceivedRequest};
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header::CONTENT_LENGTH};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use std::{convert::Infallible, fmt};

pub(super) type Body = UnsyncBoxBody<Bytes, Aborted>;

/// Makes hyper close the connection at this point.
#[derive(Debug)]
pub(super) struct Aborted;

impl From<hyper::Error> for Aborted {
    /// A request whose body is incomplete gets no response.
    fn from(_: hyper::Error) -> Self {
        Self
    }
}

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response aborted by the simulated backend server")
    }
}

impl std::error::Error for Aborted {}

/// The response to one request, before it is sent complete or truncated.
#[derive(Debug)]
pub(super) struct PreparedResponse {
    response: Response<Bytes>,
}

fn body_for(received: &ReceivedRequest) -> Bytes {
    if received.header(ECHO).is_some() {
        return received.body.clone();
    }
    let id = received.header(REQUEST_ID).unwrap_or("-");
    let line = format!("{id} {} {}\n", received.method, received.path);
    let requested = received
        .header(ANSWER_BYTES)
        .and_then(|text| text.parse().ok());
    let bytes: usize = requested.unwrap_or(line.len());
    line.bytes().cycle().take(bytes).collect()
}

impl PreparedResponse {
    pub(super) fn new(received: &ReceivedRequest, name: &str) -> Self {
        let mut response = Response::new(body_for(received));
        let headers = response.headers_mut();
        if let Some(id) = received.headers.get(REQUEST_ID) {
            headers.insert(REQUEST_ID, id.clone());
        }
        if let Ok(name) = HeaderValue::from_str(name) {
            headers.insert(BACKEND, name);
        }
        headers.insert(BODY_BYTES, HeaderValue::from(received.body.len()));
        Self { response }
    }

    pub(super) fn complete(self) -> Response<Body> {
        self.response.map(|body| {
            Full::new(body)
                .map_err(|never: Infallible| match never {})
                .boxed_unsync()
        })
    }

    pub(super) fn with_status(mut self, status: StatusCode) -> Response<Body> {
        *self.response.status_mut() = status;
        self.complete()
    }

    /// Announces a content length of one byte more than the body, at least two, and sends half of
    /// the body.
    pub(super) fn truncated(mut self) -> Response<Body> {
        let announced = self.response.body().len().max(1) + 1;
        let headers = self.response.headers_mut();
        headers.insert(CONTENT_LENGTH, HeaderValue::from(announced));
        self.truncated_chunks()
    }

    /// Sends half of the body and closes the connection; in chunks if there is no content length.
    pub(super) fn truncated_chunks(self) -> Response<Body> {
        self.response.map(|body| {
            let half = body.slice(..body.len() / 2);
            let frames = [Ok(Frame::data(half)), Err(Aborted)];
            StreamBody::new(yielding(frames)).boxed_unsync()
        })
    }
}

/// Yields to the runtime before each frame, so that the first one is sent before the connection
/// closes.
fn yielding<const N: usize>(
    frames: [Result<Frame<Bytes>, Aborted>; N],
) -> impl futures::Stream<Item = Result<Frame<Bytes>, Aborted>> {
    use futures::StreamExt;
    futures::stream::iter(frames).then(|frame| async {
        tokio::task::yield_now().await;
        frame
    })
}
