//! Backoff for calls that fail.
//!
//! # Reads of one entry
//!
//! The store has one rate limit for all entries. When many entries exceed it at the same time, as they do at startup and after an
//! outage, retries at a fixed interval are further calls over the limit: the retries alone keep the store overloaded
//! indefinitely, long after the original cause has passed.
//!
//! [`Backoff`] is the state that one entry derives from throttled calls: a delay that doubles while reads are throttled and shrinks
//! with each successful one. [`Rows`] and [`Site`] wait a random part of it before they retry a throttled read, so that all loops
//! of an entry back off together, and entries that were throttled together do not retry together.
//!
//! * A throttled read is retried here. A caller that reads many partitions keeps those that it has already read.
//! * A throttled feed call returns at once, since its follower must not take others for unresponsive during its own gap; the next
//!   call for the same feed waits.
//! * Reads that few entries make at the same time use [`Backoff::high_priority`], so that they take precedence over reads that every entry makes.
//! * A commit is passed through without retries, and so is a read of less than a whole partition: what throttling means, and how long
//!   the call may be retried, differs between callers. An owner that waited here for the proof that it still owns its pool
//!   would start nothing meanwhile.
//!
//! # Calls of one caller
//!
//! [`Retry`] computes the delays between the attempts of one loop, whatever it calls and why that fails: they double and have
//! jitter, so that loops which an outage has synchronised do not stay synchronised.

mod backoff;
mod retry;
mod rows;
mod site;

pub use backoff::{Backoff, MAX_DELAY};
pub use retry::{Retry, backoff_delay};
pub use rows::Rows;
pub use site::Site;
