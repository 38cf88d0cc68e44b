//! The platform's traits over HTTP/1, one JSON `POST` a call.
//!
//! # What an end of a call proves
//!
//! | end | a read | a mutating call |
//! |---|---|---|
//! | no connection could be made | `Unavailable` | `Unavailable`: no byte was sent |
//! | status 429 | `Throttled` | `Throttled` |
//! | status 503 with [`wire::NOT_APPLIED`] | `Unavailable` | `Unavailable` |
//! | status 400 or 422 | `Invalid` | `Invalid` |
//! | the timeout passed | `Unavailable` | `Unknown` |
//! | anything else after the request began | `Unavailable` | `Unknown` |
//!
//! A 503 without the header proves nothing: an intermediary may have written it after it had
//! passed the request on.

mod client;
pub mod wire;

pub use client::{Client, OpenError, Options};
