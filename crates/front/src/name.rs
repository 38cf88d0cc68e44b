//! Names for requests whose callers sent none that can be used.

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

/// Longest name in bytes that is taken over from a caller.
const MAX_NAME: usize = 128;

/// Makes names: the server's start at random, then a number.
///
/// A random name for each request would ask the operating system for randomness twice a request,
/// here and in gotham.
pub(crate) struct Names {
    start: u64,
    next: AtomicU64,
}

impl fmt::Debug for Names {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Names").finish_non_exhaustive()
    }
}

impl Names {
    pub(crate) fn open() -> Self {
        Self {
            start: Uuid::new_v4().as_u64_pair().0,
            next: AtomicU64::new(0),
        }
    }

    /// Makes sure that the request has one usable name, and returns it.
    ///
    /// gotham takes the header for UTF-8 and panics where it is not, outside of what it catches:
    /// the caller's connection would close without an answer. A name that is not short, printable
    /// ASCII is replaced, so gotham and the logs never see it.
    pub(crate) fn ensure(&self, headers: &mut HeaderMap) -> Arc<str> {
        if let Some(name) = headers.get(REQUEST_ID).and_then(usable) {
            return name.into();
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let name = format!("{:016x}-{number:x}", self.start);
        if let Ok(value) = HeaderValue::from_str(&name) {
            headers.insert(REQUEST_ID, value);
        }
        name.into()
    }
}

fn usable(name: &HeaderValue) -> Option<&str> {
    let text = name.to_str().ok()?;
    let is_short = (1..=MAX_NAME).contains(&text.len());
    (is_short && text.bytes().all(|b| b.is_ascii_graphic())).then_some(text)
}
