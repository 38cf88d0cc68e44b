//! At-most-once: a request with an idempotency key runs once, whichever entry its retries reach.
//!
//! # Mechanism
//!
//! Before a byte of the request is sent, one row under `claim/<shard>/<hash>` is inserted into the
//! platform's table, under the condition that none stands there. The insert is the fence: entries
//! keep nothing, any entry answers for any key, and neither a clock nor a lease is involved. The
//! row then says "may have run" until the outcome is written over it, behind the caller's answer.
//!
//! | row | a repeat is told | a repeat runs |
//! |---|---|---|
//! | none | | yes |
//! | `claimed`, its time not up | in progress | no |
//! | `claimed`, its time up | unknown | no |
//! | `completed` | the first answer | no |
//! | `not-kept` | completed, without the answer | no |
//! | `unknown` | unknown | no |
//! | `released` | | yes: it takes the row over at the revision that it read |
//!
//! A released row stays in place of being deleted, because an insert whose answer was lost may
//! land late: on a deleted key it would take effect and block every retry.
//!
//! # Parts
//!
//! * `lane`: a task that gathers rows into groups and tries again while the store fails; one lane
//!   inserts claims and one writes outcomes.
//! * `group`: commits a group in one transaction; a conflict takes one row out and not the rest.
//! * `insert`: the claim itself, and why no order of events grants a key twice.
//! * [`Sweep`]: deletes rows whose time is over.
//!
//! `docs/design/at-most-once.md` has the ways that were weighed, and what a claim costs the store.

mod answer;
mod claims;
pub mod clock;
mod group;
mod insert;
mod lane;
mod permit;
mod recent;
mod record;
mod request;
mod row;
pub mod sweep;

pub use answer::{Answer, Blob, Header};
pub use claims::{Claim, Claims, Counts, Options, Seed};
pub use clock::Clock;
pub use permit::Permit;
pub use request::{Fingerprint, Key, MAX_KEY, Malformed, Request};
pub use row::{Row, State};
pub use sweep::Sweep;
