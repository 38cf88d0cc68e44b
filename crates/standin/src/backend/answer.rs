//! Whole answers and broken ones.

use super::{ANSWER_BYTES, Asked, BACKEND, BODY_BYTES, ECHO, REQUEST_ID};
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header::CONTENT_LENGTH};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use std::{convert::Infallible, fmt};

pub(super) type Body = UnsyncBoxBody<Bytes, Broken>;

/// Makes the connection close where it stands.
#[derive(Debug)]
pub(super) struct Broken;

impl From<hyper::Error> for Broken {
    /// A request that breaks off gets no answer.
    fn from(_: hyper::Error) -> Self {
        Self
    }
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in breaks the answer off")
    }
}

impl std::error::Error for Broken {}

/// The answer to one request.
#[derive(Debug)]
pub(super) struct Answer {
    response: Response<Bytes>,
}

fn text_of(asked: &Asked) -> Bytes {
    if asked.header(ECHO).is_some() {
        return asked.body.clone();
    }
    let id = asked.header(REQUEST_ID).unwrap_or("-");
    let line = format!("{id} {} {}\n", asked.method, asked.path);
    let wanted = asked
        .header(ANSWER_BYTES)
        .and_then(|text| text.parse().ok());
    let bytes: usize = wanted.unwrap_or(line.len());
    line.bytes().cycle().take(bytes).collect()
}

impl Answer {
    pub(super) fn to(asked: &Asked, name: &str) -> Self {
        let mut response = Response::new(text_of(asked));
        let headers = response.headers_mut();
        if let Some(id) = asked.headers.get(REQUEST_ID) {
            headers.insert(REQUEST_ID, id.clone());
        }
        if let Ok(name) = HeaderValue::from_str(name) {
            headers.insert(BACKEND, name);
        }
        headers.insert(BODY_BYTES, HeaderValue::from(asked.body.len()));
        Self { response }
    }

    pub(super) fn whole(self) -> Response<Body> {
        self.response.map(|text| {
            Full::new(text)
                .map_err(|never: Infallible| match never {})
                .boxed_unsync()
        })
    }

    pub(super) fn status(mut self, status: StatusCode) -> Response<Body> {
        *self.response.status_mut() = status;
        self.whole()
    }

    /// Promises one byte more than the text has, at least two, and sends half of the text.
    pub(super) fn truncated(mut self) -> Response<Body> {
        let promised = self.response.body().len().max(1) + 1;
        let headers = self.response.headers_mut();
        headers.insert(CONTENT_LENGTH, HeaderValue::from(promised));
        self.truncated_chunks()
    }

    /// Sends half of the text and breaks off; in chunks where no length was promised.
    pub(super) fn truncated_chunks(self) -> Response<Body> {
        self.response.map(|text| {
            let half = text.slice(..text.len() / 2);
            let frames = [Ok(Frame::data(half)), Err(Broken)];
            StreamBody::new(pausing(frames)).boxed_unsync()
        })
    }
}

/// Gives the frames one at a time, with a turn between, so that the first leaves before the break.
fn pausing<const N: usize>(
    frames: [Result<Frame<Bytes>, Broken>; N],
) -> impl futures::Stream<Item = Result<Frame<Bytes>, Broken>> {
    use futures::StreamExt;
    futures::stream::iter(frames).then(|frame| async {
        tokio::task::yield_now().await;
        frame
    })
}
