//! Stand-ins for what surrounds the system: the platform and the backend servers.
//!
//! Tests, benchmarks and the demo run whole entries against these in one process.
//!
//! * [`platform::Platform`] implements every trait of `primroseroute-platform` in memory, with
//!   faults that are set while it runs. It reads no clock but tokio's, so it works under paused
//!   time, and takes all randomness from one seed.
//! * [`backend::Backend`] is an HTTP/1 backend server on loopback that counts what it executed,
//!   by idempotency key, and misbehaves on demand.
//! * [`site::World`] is a site whose workers run tasks under leases, with a partitioned table and a
//!   feed; a checker judges what its workers saw.
//! * [`server::Server`] offers a platform over HTTP, for `primroseroute_platform::http::Client`.

pub mod backend;
mod listen;
pub mod platform;
pub mod server;
pub mod site;
