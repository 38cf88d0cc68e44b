//! A small site in one process: the platform's stand-in, backend servers, and whole entries.
//!
//! The integration tests, the demo and the benchmarks drive it. It is no simulator: the entries are
//! the real ones over real sockets on loopback; only the platform and the backend servers are
//! stand-ins, and the peer link is the in-memory one, so that links can be cut.

mod parts;
mod site;
mod spec;

pub use site::{Running, Site, until};
pub use spec::{Layout, OPERATOR_TOKEN, caller_token, template, token_hash};

#[doc(no_inline)]
pub use primroseroute_client::{Admin, Answer, Caller, Said};
#[doc(no_inline)]
pub use primroseroute_standin::{backend, platform, server};
