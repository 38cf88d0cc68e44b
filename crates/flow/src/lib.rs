//! Request path decisions: admission control, fair queueing, load balancing, retries, outlier
//! ejection and draining.
//!
//! A [`pool::Pool`] holds the state of one pool at one entry. It is a pure state machine: the I/O
//! layer passes in events with the current time (since its start) and carries out the
//! [`request::Action`]s that are returned. There is no I/O, no clock and no randomness beyond the
//! seed, so tests can drive seven entries at any size and load with deterministic results.
//!
//! A request passes through these modules in turn:
//!
//! 1. [`fair`] holds it in a bounded queue per account and service, and picks the next request by
//!    start-time fair queueing over accounts, urgent before deferrable within an account.
//! 2. [`estimate`] predicts service times, so that a request whose deadline cannot be met is
//!    refused on arrival instead of after a wait.
//! 3. [`quota`] determines how many of a worker's request slots this entry may use. Each slot is
//!    owned by one entry, which lends it to peers with more [`demand`].
//! 4. [`worker`] finds a worker (an instance of the pool) with a free slot in constant time.
//! 5. [`health`] ejects failing or slow workers for a while and readmits them after a probe.
//! 6. [`retry`] decides whether and when a failed attempt is retried.
//!
//! `docs/design/request-path.md` compares the alternatives, with measurements.

pub mod demand;
pub mod estimate;
pub mod fair;
pub mod health;
pub mod limits;
pub mod pool;
pub mod quota;
pub mod report;
pub mod request;
pub mod retry;
pub mod view;
pub mod worker;
