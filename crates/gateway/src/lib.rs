//! The callers' side of an entry: jobs are submitted, queried, cancelled and counted here.
//!
//! A gateway decides about a job only whether its pool can still take it. It writes what callers request into the store, and
//! reads there what owners have committed, so any gateway answers for any job, and none has to know
//! the owner. Accepted means stored: the success response follows the commit.
//!
//! What a response proves:
//!
//! * A success: the job, or the cancel, is stored.
//! * 410 to a cancel: nothing that the caller has submitted under the id runs, not even if the store
//!   carries the submission out later: a tombstone holds the id.
//! * 429: no submission of the id up to this one is stored, and none will be: a tombstone holds the id.
//! * 503: this submission isn't stored and never will be. Returned only if every attempt ended with a
//!   proof of that. It says nothing of earlier ones at other gateways, since the store can't be asked.
//! * 504: the outcome is unknown. The same id may be sent again at any gateway: all attempts
//!   conflict on the same row, so it remains one job.
//!
//! While the store is known to be unreachable, a request of which nothing was sent to the store gets
//! 503 at once, and its connection is closed: another gateway may reach the store.
//!
//! * [`authentication`]: which account a request is from. Pure.
//! * [`admission`]: whether a pool is too short of workers for a job.
//! * [`routes`]: which queue a request is for. Pure.
//! * [`Gateway`]: the requests, as gotham handlers.
//! * [`StoreHealth`]: whether the store is reachable, as [`Monitored`] calls show.
//! * [`Readiness`]: the load balancer's readiness check.

mod acceptance;
pub mod admission;
mod assignments;
pub mod authentication;
mod cancel;
mod gateway;
mod holding;
mod parse;
mod queue_counts;
mod ready;
mod response;
mod retry_limit;
pub mod routes;
mod states;
mod store_health;
mod submission;
mod unanswered;

pub use cancel::CancelOutcome;
pub use gateway::{Components, Gateway, Observer, ResponseInfo};
pub use ready::Readiness;
pub use store_health::{Monitored, StoreHealth};
