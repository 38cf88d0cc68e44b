//! Interfaces to the platform: a table, an object store, an instance list and tasks.
//!
//! Each is a narrow trait that is injected at construction, so that a whole entry runs over in-memory
//! fakes under paused time as well as over HTTP. The traits guarantee little, since the platform
//! has outages and loses responses: every call may fail with [`error::Error::Unavailable`] (it had
//! no effect), [`error::Error::Throttled`] (likewise) or [`error::Error::Unknown`] (it may have
//! taken effect). Callers must treat `Unknown` as neither success nor failure.
//!
//! [`rows`], [`worker`] and [`site`] are the interfaces to a fleet of workers under leases: a partitioned
//! table with a change feed, calls to workers, and lists of workers, instances and instructions.
//!
//! With the feature `http`, the module `http` implements every trait over HTTP/1.

pub mod advice;
pub mod error;
pub mod fleet;
#[cfg(feature = "http")]
pub mod http;
pub mod object;
pub mod rows;
pub mod site;
pub mod table;
pub mod task;
pub mod worker;

pub use error::Error;
