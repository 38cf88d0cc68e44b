//! The platform's traits over HTTP/1, one JSON `POST` per call.
//!
//! # Mapping of outcomes to errors
//!
//! | outcome | read | mutating call |
//! |---|---|---|
//! | no connection could be established | `Unavailable` | `Unavailable`: no byte was sent |
//! | status 429 | `Throttled` | `Throttled` |
//! | status 503 with [`wire::NOT_APPLIED`] | `Unavailable` | `Unavailable` |
//! | status 400 or 422 | `Invalid` | `Invalid` |
//! | timeout | `Unavailable` | `Unknown` |
//! | any other failure after the request began | `Unavailable` | `Unknown` |
//!
//! A 503 without the header proves nothing: an intermediary may have generated it after it had
//! forwarded the request.

mod client;
pub mod wire;

pub use client::{Client, OpenError, Options};
