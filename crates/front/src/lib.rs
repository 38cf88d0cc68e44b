//! Serving a gotham application on a listener that can be stopped gracefully.
//!
//! gotham's own `start` serves until the process ends: it has no limit on the head of a request
//! and no way to finish what is in flight. [`Server`] keeps gotham's state, handlers and routers,
//! and runs the connections itself:
//!
//! * a request's head must arrive within [`Options::head_timeout`], else the connection is closed,
//!   and fit in [`Options::head_bytes`], else it is refused with [`Code::HeadTooLarge`]; a head of
//!   twice that size, or one that is no HTTP, is answered by the HTTP library without a body;
//! * every error answer is problem details with a numbered code, gotham's own too ([`problem`]);
//! * every request has a usable `x-request-id`, which is made up where its caller sent none;
//! * at most [`Options::connections`] are open; a further one waits in the listener's backlog;
//! * [`Server::stop`] stops accepting, lets every request in flight finish, tells keep-alive
//!   connections to close, and returns when the last one has.

mod each;
mod name;
pub mod problem;
mod server;

#[cfg(doc)]
use primroseroute_domain::outcome::Code;

pub use each::{Call, each};
pub use server::{Options, Server};
