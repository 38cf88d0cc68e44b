//! The connections of all listeners of a process, and the memory that they may hold together.
//!
//! A connection holds memory for its buffers, for what has been received of a request, and for a response
//! that hasn't been sent. All of it is taken from one [`Registry`], so that the bound doesn't depend on how
//! many clients there are or on what they send. Memory for what is still to be received is reserved before
//! it is read; a response, which exists already, is charged.
//!
//! When memory is short, connections are closed whose clients keep the process waiting: idle ones, those
//! with an incomplete request, and those that don't read their response. The first to go are those that have
//! held most for longest, in bytes times seconds, so that a newcomer with a small request doesn't lose
//! against clients that stand still. A request that has been received completely is never cut off. The
//! connection is closed without a response, which promises nothing about the request; its client may send it
//! again, here or elsewhere.

mod connection;
mod registry;
mod socket;

pub use connection::{Closed, Connection};
pub use registry::{Observer, Reason, Registry, Usage};
pub(crate) use socket::Socket;
