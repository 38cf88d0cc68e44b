//! The audit trail: who changed what, from which version to which, and why.
//!
//! A change's record is written in the transaction of the change itself, so every accepted change
//! has a record and every record belongs to an accepted change. The newest records stay in the
//! table, from which entries read new changes; older ones move to the object store in batches, which
//! bounds the table. [`Trail`] reads across both.
//!
//! # Why archiving loses no record
//!
//! A whole batch is stored under a name made of its first and last sequence number before its rows
//! are deleted. If the store responds late or a response is lost, the same object is written again.
//! If a controller crashes in between, its successor archives the remaining rows again under the
//! same name, since batches start at the oldest row and have a fixed length.

mod archive;
mod read;

pub use archive::{Keep, archive_batch};
pub use read::{Error, Trail};
