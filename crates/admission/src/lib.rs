//! Admission of jobs while a pool has too few workers.
//!
//! Everything here is decided without I/O and without a clock. The owner of a pool knows what waits
//! there ([`Backlog`]) and publishes what gateways need to know of it ([`PoolLoad`]): a [`Publisher`]
//! decides that. A [`Gate`] decides from it whether a gateway accepts a job.

mod backlog;
pub mod gate;
mod load;
mod publisher;
mod rate;
mod share;

pub use backlog::{Backlog, Waiting};
pub use gate::Gate;
pub use load::PoolLoad;
pub use publisher::Publisher;
