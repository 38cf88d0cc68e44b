//! At-most-once execution by idempotency keys, across all entries that a caller's retries reach.
//!
//! # Mechanism
//!
//! Before a byte of the request is sent, one row under `claim/<shard>/<hash>` is inserted into the
//! platform's table, on the condition that the row does not exist. This conditional insert is the
//! only fence: it needs no state in the entries, any entry can answer for any key, and neither
//! clocks nor leases are involved. The row means "may have run" until the outcome is written to it,
//! asynchronously after the caller's response.
//!
//! | row | reported to a repeat | a repeat runs |
//! |---|---|---|
//! | none | | yes |
//! | `claimed`, before its deadline | in progress | no |
//! | `claimed`, after its deadline | unknown | no |
//! | `completed` | the first response | no |
//! | `not-kept` | completed, without the response | no |
//! | `unknown` | unknown | no |
//! | `released` | | yes: it takes over the row at the revision that it read |
//!
//! A released row is kept instead of deleted, because an insert whose result was lost may be
//! applied late: with the row deleted it would succeed and block every retry.
//!
//! # Modules
//!
//! * `batcher`: a task that collects rows into batches and retries while the store fails; one
//!   batcher inserts claims and another writes outcomes.
//! * `batch`: commits a batch in one transaction; a conflict excludes one row and not the others.
//! * `insert`: inserting a claim, and why no order of events grants a key twice.
//! * [`Sweeper`]: deletes expired rows.
//!
//! `docs/design/at-most-once.md` compares the alternatives, and the cost of a claim for the store.

mod batch;
mod batcher;
mod claims;
pub mod clock;
mod insert;
mod outcome;
mod permit;
mod recent;
mod request;
mod response;
mod row;
pub mod sweeper;

pub use claims::{ClaimOutcome, Claims, Counts, Options, Seed};
pub use clock::Clock;
pub use permit::Permit;
pub use request::{ClaimRequest, Fingerprint, InvalidKey, Key, MAX_KEY_BYTES};
pub use response::{Blob, Header, StoredResponse};
pub use row::{ClaimRow, ClaimState};
pub use sweeper::Sweeper;
