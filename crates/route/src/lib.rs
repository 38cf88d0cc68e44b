//! The request path: a caller's request through one entry, whole, fair and at most once.
//!
//! # The way of a request
//!
//! 1. [`request`] checks the head against the view in force: token, service, key, timeout.
//! 2. The body is read into a bounded buffer; a larger one streams, unless the request is claimed.
//! 3. A [`gate`] stands before each pool. It asks the pure decisions of the `flow` crate which
//!    worker takes the request and when, and refuses at once what cannot be served in time.
//! 4. A non-idempotent request with a key is claimed, once a worker is free for it and before a
//!    byte is sent.
//! 5. [`backend`] sends one attempt at a time and says what a failure proves.
//! 6. The answer goes to the caller whole, or as a numbered error with its outcome.
//!
//! # What is said of the outcome
//!
//! `not-run` is said only where nothing was sent in any attempt. As soon as one attempt may have
//! reached a worker, later refusals of the same request say `unknown` (I4).
//!
//! # Callers that go away
//!
//! A claimed request runs on a task of its own: when its caller's connection breaks, the attempt
//! goes on and its outcome is kept, so the caller's repeat is told what happened. Other requests
//! are dropped with their connection.

pub mod backend;
mod body;
mod front;
mod gate;
mod headers;
mod observe;
mod path;
pub mod request;

pub use front::Front;
pub use gate::Gates;
pub use observe::{Finished, Observer};
#[doc(no_inline)]
pub use primroseroute_front::problem;

pub use path::{Options, Parts, Path};
