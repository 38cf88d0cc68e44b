//! Bounded reading of request bodies.

use crate::backend::Body;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use primroseroute_domain::outcome::{Code, Refusal};

/// A request body as far as it has been read.
pub(crate) enum ReceivedBody {
    /// The complete body.
    Complete(Bytes),
    /// Its first bytes, and the unread remainder.
    Partial(Bytes, Body),
}

/// Reads up to `buffer` bytes of `body`.
///
/// # Errors
/// [`Code::BodyIncomplete`] if the body ends early.
pub(crate) async fn receive(mut body: Body, buffer: usize) -> Result<ReceivedBody, Refusal> {
    let mut start = BytesMut::new();
    while start.len() <= buffer {
        match body.frame().await {
            None => return Ok(ReceivedBody::Complete(start.freeze())),
            Some(Err(error)) => return Err(Refusal::new(Code::BodyIncomplete, error.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    start.extend_from_slice(&data);
                }
            }
        }
    }
    Ok(ReceivedBody::Partial(start.freeze(), body))
}
