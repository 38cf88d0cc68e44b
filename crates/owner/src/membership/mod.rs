//! Which entries watch each other, and which of them owns what.
//!
//! Every entry writes its presence at its start and then at long intervals. Only *active* entries
//! write heartbeats and follow those of the others; their number depends on the number of pools, and
//! not on the number of entries. One of them publishes the active set; a passive entry reads that
//! one row at long intervals, and becomes active when it is named there.
//!
//! * [`members`]: heartbeats of active entries, and which of them are alive by this entry's clock.
//! * [`active_set`]: who is to be active, and when an entry becomes active without being named. Pure.
//! * `activity`: reads and writes presence and the active set.
//! * [`elect`]: which entry takes over a pool without an owner. Pure.
//! * `elections`: what this entry takes over and releases, and whether it is active and a candidate.
//! * `unowned`: what has no owner, as this entry sees it, and since when.

pub mod active_set;
pub(crate) mod activity;
pub mod elect;
pub(crate) mod elections;
pub mod members;
mod unowned;
