//! The platform as this system sees it: a table, an object store, an instance list and tasks.
//!
//! Each is a narrow trait, handed in at construction, so that a whole entry runs over in-memory
//! fakes under paused time as well as over HTTP. The traits promise little, since the platform
//! has outages and loses answers: every call may fail as [`error::Error::Unavailable`] (proven to
//! have had no effect), [`error::Error::Throttled`] (the same) or [`error::Error::Unknown`] (it may
//! have had its effect). Callers must treat `Unknown` as neither success nor failure.
//!
//! [`rows`], [`worker`] and [`site`] are what a fleet of workers under leases offers: a partitioned
//! table with a feed, the workers' calls, and lists of workers, instances and instructions.
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
