//! A small site in one process: a simulated platform, backend servers, and real entries.
//!
//! The integration tests, the demo and the benchmarks use it. Only the platform and the backend
//! servers are simulated: the entries are the production ones, over loopback sockets. The peer link
//! is the in-memory one, so that tests can partition the network between entries.

mod components;
pub mod process;
mod site;
mod spec;

pub use site::{RunningEntry, Site, wait_until};
pub use spec::{Layout, OPERATOR_TOKEN, caller_token, template, token_hash};

#[doc(no_inline)]
pub use primroseroute_client::{Admin, Answer, Caller, Said};
#[doc(no_inline)]
pub use primroseroute_standin::{backend, platform, server};
