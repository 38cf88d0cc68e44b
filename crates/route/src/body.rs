//! Reading callers' bodies with bounds.

use crate::backend::Body;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use primroseroute_domain::outcome::{Code, Refusal};

/// A caller's body as far as it was read.
pub(crate) enum Received {
    /// The whole body.
    Whole(Bytes),
    /// Its start, and the rest to come.
    Partial(Bytes, Body),
}

/// Reads up to `buffer` bytes of `body`.
///
/// # Errors
/// [`Code::BodyIncomplete`] where the caller breaks off.
pub(crate) async fn receive(mut body: Body, buffer: usize) -> Result<Received, Refusal> {
    let mut start = BytesMut::new();
    while start.len() <= buffer {
        match body.frame().await {
            None => return Ok(Received::Whole(start.freeze())),
            Some(Err(error)) => return Err(Refusal::new(Code::BodyIncomplete, error.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    start.extend_from_slice(&data);
                }
            }
        }
    }
    Ok(Received::Partial(start.freeze(), body))
}
