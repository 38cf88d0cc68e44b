//! The audit trail: who changed what, from which version to which, and why.
//!
//! A change's record is written in the transaction of the change itself, so no accepted change is
//! without one and no record is of a change that was not. The newest records stay in the table,
//! where entries follow them; older ones move to the object store in batches, so the table stays
//! bounded. [`Trail`] reads across both.
//!
//! # Why nothing is lost on the way
//!
//! A batch is stored under a name made of its first and last place, whole, before its rows are
//! deleted. A store that answers late or loses an answer leads to the same object written again,
//! and a controller that dies in between leaves rows that its successor archives again under the
//! same name, since batches begin at the oldest row and have a fixed length.

mod archive;
mod read;

pub use archive::{Keep, step};
pub use read::{Error, Trail};
