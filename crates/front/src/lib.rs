//! Serving a gotham application on a listener that can be stopped gracefully.
//!
//! gotham's own `start` serves until the process ends: it has no limit on the head of a request
//! and no way to finish what is in flight. [`Server`] keeps gotham's state, handlers and routers,
//! and runs the connections itself:
//!
//! * a request's head must arrive within [`Options::head_timeout`] and fit in
//!   [`Options::head_bytes`], else the connection is answered by the HTTP library and closed;
//! * at most [`Options::connections`] are open; a further one waits in the listener's backlog;
//! * [`Server::stop`] stops accepting, lets every request in flight finish, tells keep-alive
//!   connections to close, and returns when the last one has.

mod server;

pub use server::{Options, Server};
