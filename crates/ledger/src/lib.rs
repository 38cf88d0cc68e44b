//! The ledger: accepted changes in one total order, stored in the platform's table.
//!
//! # Layout of the table
//!
//! | Key | Value | Written |
//! |---|---|---|
//! | `head` | the newest [`Seq`] | by every change |
//! | `change/<seq>` | [`change::Record`], both audit trail and delta | once, by its change |
//! | `account/<name>` | [`Versioned`] account template | by changes to it |
//! | `instance/<name>` | [`Versioned`] instance row | by changes to it |
//!
//! [`key`] defines the other prefixes, which are not ordered by the head (claims, registrations).
//!
//! # Why changes never revert
//!
//! A [`Draft`] is based on the rows as of one `Seq` and commits only if the head is still that
//! `Seq`. Two concurrent operators cannot both commit on the same head; the second gets
//! [`Error::Conflict`], reads the rows again and decides again. A writer that resumes after being
//! suspended finds a newer head and commits nothing.
//!
//! # Lost responses
//!
//! A commit whose response was lost may or may not have been applied. Each draft's record contains
//! an operation id, so [`Ledger::commit`] reads `change/<seq>` back: its own id there means
//! success, another id means that a concurrent change was committed first, and no record means
//! that nothing has been written yet. A commit still in transit could be applied after that read,
//! so the transaction is sent again under the same condition: at most one of the two can commit,
//! and both write the same record.

mod commit;
pub mod key;
mod read;

pub use commit::{Draft, Error, Ledger};
pub use read::{Head, Versioned};

#[doc(no_inline)]
pub use primroseroute_domain::change::{self, Seq};
