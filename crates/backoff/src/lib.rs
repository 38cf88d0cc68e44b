//! Backoff of calls that fail.
//!
//! # Reads of one entry
//!
//! The store has one rate for all entries. Where many ask for more at the same time, as they do at their start and after an
//! outage, each refused read that is sent again at a fixed pause is one more call over the rate: the retries alone keep the
//! store over it for good, long after what began it has passed.
//!
//! [`Backoff`] is what one entry learns from refusals: a pause that doubles while reads are refused and shrinks with each one that is
//! taken. [`Rows`] and [`Site`] wait a random part of it before they send a refused read again, so that all loops of an
//! entry back off together, and entries that were refused together don't come back together.
//!
//! * A refused read is sent again by itself. Whoever reads many parts keeps those that it has.
//! * A refused feed is told of at once, since its follower must not take its own silence for that of others; the next
//!   call for the same feed waits.
//! * Reads that few entries make at the same time have a [`Backoff::of_few`]: they go before those of all.
//! * A commit is passed on as it is, and so is a read of less than a whole partition: what a refusal means, and how long the call may be
//!   tried again, differs from one caller to the next. An owner that waited here for the proof that it still owns its pool
//!   would start nothing meanwhile.
//!
//! # Calls of one caller
//!
//! [`Retry`] has the pauses between the tries of one loop, whatever it calls and for whatever reason that fails: they double, and have
//! jitter, so that loops which an outage has brought into step don't stay so.

mod backoff;
mod retry;
mod rows;
mod site;

pub use backoff::{Backoff, LONGEST};
pub use retry::{Retry, pause};
pub use rows::Rows;
pub use site::Site;
