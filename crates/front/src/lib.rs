//! Serving of gotham applications with limits and graceful shutdown.
//!
//! gotham's own `start` serves until the process ends: it has no limit on the head of a request
//! and cannot wait for requests in flight. [`Server`] uses gotham's state, handlers and routers, and
//! handles the connections itself:
//!
//! * a request's head must arrive within [`Options::head_timeout`], otherwise the connection is
//!   closed, and fit in [`Options::max_head_bytes`], otherwise it is refused with
//!   [`Code::HeadTooLarge`]; to a head of twice that size, or one that is not HTTP, the HTTP library
//!   responds without a body;
//! * every error response, including gotham's own, has problem details with a result code
//!   ([`problem`]);
//! * every request has a valid `x-request-id`, which is generated if its caller sent none;
//! * at most [`Options::max_connections`] are open; for a further one, a connection is closed whose client
//!   keeps the server waiting;
//! * what connections hold is bounded over all listeners of the process ([`connections`]);
//! * [`Server::stop`] stops accepting, waits for every request in flight, closes keep-alive
//!   connections, and returns when all connections are closed. It doesn't wait longer than
//!   [`Options::stall_timeout`] for the end of a request, or for a client that reads nothing.

pub mod connections;
mod handler;
pub mod problem;
mod request_id;
mod server;
pub mod upload;

#[cfg(doc)]
use primroseroute_domain::outcome::Code;

pub use handler::{IncomingRequest, handler_fn};
pub use server::{Options, Server};
pub use upload::Upload;
