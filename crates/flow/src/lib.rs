//! The request path's decisions: admission, fair queueing, worker choice, retries, ejection, drain.
//!
//! One [`pool::Pool`] stands for one pool at one entry. It is a pure state machine: the caller
//! passes `now` (time since its start) and what happened, and carries out the [`request::Action`]s
//! that come back. There is no I/O, no clock and no randomness beyond the seed, so a test drives
//! seven entries at any size and any load with the same verdict every time.
//!
//! A request goes through these modules in turn:
//!
//! 1. [`fair`] holds it in a bounded queue per account and service, and picks the next one by
//!    start-time fair queueing over accounts, urgent before deferrable within an account.
//! 2. [`estimate`] says how long service takes, so that a request whose deadline cannot be met is
//!    refused when it arrives, not when it has waited in vain.
//! 3. [`rights`] says how many of a worker's slots this entry may use. Slots are shared by all
//!    entries; each slot belongs to one entry, which lends it to peers with more [`demand`].
//! 4. [`worker`] finds a worker with a free slot in constant time.
//! 5. [`health`] takes failing or slow workers out for a while and lets one probe back in.
//! 6. [`retry`] decides whether a failed attempt is made again, and when.
//!
//! `docs/design/request-path.md` has the ways that were weighed and their figures.

pub mod demand;
pub mod estimate;
pub mod fair;
pub mod health;
pub mod limits;
pub mod pool;
pub mod report;
pub mod request;
pub mod retry;
pub mod rights;
pub mod view;
pub mod worker;
