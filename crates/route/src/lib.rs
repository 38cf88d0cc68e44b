//! The request path of one entry: validation, dispatch, idempotency claims and backend attempts.
//!
//! # Stages of a request
//!
//! 1. [`request`] validates the head against the current view: token, service, key, timeout.
//! 2. The body is read into a bounded buffer; a larger one streams, unless the request is claimed.
//! 3. The `dispatch` module has a dispatcher per pool. It asks the state machine of the `flow`
//!    crate which worker takes the request and when, and refuses at once what cannot be served in
//!    time.
//! 4. A non-idempotent request with a key is claimed once a worker is free for it and before a
//!    byte is sent.
//! 5. [`backend`] sends one attempt at a time and classifies failures by whether the request may
//!    have been executed.
//! 6. The caller receives the complete response, or a result code with the request's outcome.
//!
//! # Reported outcome
//!
//! `not-run` is reported only if no attempt sent anything. As soon as one attempt may have reached
//! a worker, later refusals of the same request report `unknown` (invariant I4).
//!
//! # Callers that disconnect
//!
//! A claimed request runs on a task of its own: when its caller's connection breaks, the attempt
//! continues and its outcome is stored, so that a repeat receives it. Other requests are cancelled
//! with their connection.

pub mod backend;
mod dispatch;
mod handler;
mod headers;
mod observe;
pub mod request;
mod server;

pub use dispatch::Dispatchers;
pub use observe::{Finished, Observer};
#[doc(no_inline)]
pub use primroseroute_front::problem;
pub use server::CallerServer;

pub use handler::{Components, Options, RequestHandler};
