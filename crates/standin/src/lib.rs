//! Simulated surroundings of the system: the platform, the workers and the backend servers.
//!
//! Tests, benchmarks and the demo run whole entries against these in one process.
//!
//! * [`platform::Platform`] implements every trait of `primroseroute-platform` in memory, with
//!   faults that can be injected at run time. Its only clock is tokio's, so it works under paused
//!   time, and all its randomness comes from one seed.
//! * [`backend::Backend`] is an HTTP/1 backend server on loopback that counts its executions by
//!   idempotency key and can be made to misbehave.
//! * [`site::World`] is a site whose workers run tasks under leases, with a partitioned table and a
//!   feed. A checker verifies the history of events that its workers recorded.
//! * [`server::Server`] serves a platform over HTTP, for `primroseroute_platform::http::Client`.

pub mod backend;
mod listen;
pub mod platform;
pub mod server;
pub mod site;
