//! What an entry believes about configuration and fleet: one immutable snapshot, swapped whole.
//!
//! A [`Snapshot`] is the state after one change of the ledger's order, named by its
//! [`Seq`](primroseroute_domain::change::Seq). It is built from the table by [`load`], carried
//! forward record by record with [`Snapshot::apply`], and published through a [`Cell`].
//!
//! # Why a view never goes back
//!
//! The ledger orders all changes, and a snapshot is a function of its `Seq` alone. [`Cell`] is the
//! only place that publishes, and it compares `Seq` under a lock: a lower or equal one is ignored
//! whoever sends it, be it a stale peer, a slow poll or a snapshot built before a faster push. So
//! an accepted configuration, once in force in an entry, stays in force there (I8).
//!
//! # Full loads beside running writers
//!
//! Pages of a scan are read as of different commits. [`load`] notes the head first, scans, then
//! applies every record after that head. A row that was scanned already newer is set back by an
//! older record and forward again by its own; nothing is published in between.

mod amend;
mod cell;
mod follow;
mod route;
mod snapshot;
mod token;

pub use amend::{Author, amend};
pub use cell::Cell;
pub use follow::{Error, load, poll};
pub use route::{Routes, Target};
pub use snapshot::{Apply, Snapshot};
pub use token::Digest;
