//! Admission of jobs while a pool has too few workers.
//!
//! Everything here is decided without I/O and without a clock. The owner of a pool knows what waits
//! there ([`Backlog`]) and publishes what gateways need to know of it ([`PoolLoad`]). A [`Gate`]
//! decides from that whether a gateway accepts a job.

mod backlog;
pub mod gate;
mod load;

pub use backlog::{Backlog, Waiting};
pub use gate::Gate;
pub use load::PoolLoad;
