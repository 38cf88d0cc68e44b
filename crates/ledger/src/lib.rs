//! The ledger: accepted changes in one total order, kept in the platform's table.
//!
//! # Layout of the table
//!
//! | key | value | written |
//! |---|---|---|
//! | `head` | the newest [`Seq`] | by every change |
//! | `change/<seq>` | [`change::Record`], the audit trail and the delta | once, by its change |
//! | `account/<name>` | [`Versioned`] account template | by its changes |
//! | `instance/<name>` | [`Versioned`] instance row | by its changes |
//!
//! [`key`] has the other prefixes, which do not go through the head (claims, registrations).
//!
//! # Why changes never revert
//!
//! A [`Draft`] is made against the rows as of one `Seq` and commits only if the head is still that
//! `Seq`. Two operators who race cannot both commit against the same head; the second is told
//! [`Error::Raced`], reads again and decides again. A paused writer that wakes up finds the head
//! moved and commits nothing.
//!
//! # Lost answers
//!
//! A commit whose answer was lost is neither success nor failure. Each draft carries an operation
//! id inside its record, so [`Ledger::commit`] reads `change/<seq>` back: its own operation there
//! means success, another's means that it lost the race, and none means that nothing was written
//! so far. A commit still on its way could land after that read, so the transaction is sent again
//! under the same condition: at most one of the two can commit, and both write the same record.

mod commit;
pub mod key;
mod read;

pub use commit::{Draft, Error, Ledger};
pub use read::{Head, Versioned};

#[doc(no_inline)]
pub use primroseroute_domain::change::{self, Seq};
