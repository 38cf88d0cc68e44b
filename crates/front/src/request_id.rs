//! Generation of ids for requests whose callers sent no valid one.

use crate::problem::REQUEST_ID;
use http::{HeaderMap, HeaderValue};
use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
use uuid::Uuid;

/// Longest request id in bytes that is accepted from a caller.
const MAX_ID_BYTES: usize = 128;

/// Generates request ids from a random prefix for each start of the server and a counter.
///
/// A random id for each request would ask the operating system for randomness twice per request,
/// here and in gotham.
pub(crate) struct RequestIds {
    prefix: u64,
    next: AtomicU64,
}

impl fmt::Debug for RequestIds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Names").finish_non_exhaustive()
    }
}

impl RequestIds {
    pub(crate) fn new() -> Self {
        Self {
            prefix: Uuid::new_v4().as_u64_pair().0,
            next: AtomicU64::new(0),
        }
    }

    /// Ensures that the request has a valid id, and returns it.
    ///
    /// gotham expects the header to be UTF-8 and panics otherwise, where it does not catch panics:
    /// the caller's connection would close without a response. An id that is not short, printable
    /// ASCII is replaced, so it never reaches gotham or the logs.
    pub(crate) fn ensure(&self, headers: &mut HeaderMap) -> Arc<str> {
        if let Some(id) = headers.get(REQUEST_ID).and_then(valid) {
            return id.into();
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}-{number:x}", self.prefix);
        if let Ok(value) = HeaderValue::from_str(&id) {
            headers.insert(REQUEST_ID, value);
        }
        id.into()
    }
}

fn valid(id: &HeaderValue) -> Option<&str> {
    let text = id.to_str().ok()?;
    let is_short = (1..=MAX_ID_BYTES).contains(&text.len());
    (is_short && text.bytes().all(|b| b.is_ascii_graphic())).then_some(text)
}
