//! An entry's view of configuration and fleet: one immutable snapshot, replaced as a whole.
//!
//! A [`Snapshot`] is the state after one change of the ledger, identified by the change's
//! [`Seq`](primroseroute_domain::change::Seq). It is built from the table by [`load`], updated
//! record by record with [`Snapshot::apply`], and published through a [`SnapshotCell`].
//!
//! # Why a view never goes back
//!
//! The ledger orders all changes, and a snapshot depends on its `Seq` alone. Only [`SnapshotCell`]
//! publishes, and it compares `Seq` under a lock: a lower or equal one is ignored whatever its
//! source, such as a stale peer, a slow poll, or a snapshot built before a faster push. So an
//! accepted configuration stays in effect in an entry once it has taken effect there (I8).
//!
//! # Full loads during concurrent writes
//!
//! Pages of a scan reflect different commits. [`load`] reads the head first, scans, then applies
//! every record after that head. A row that was already newer when scanned is set back by an older
//! record and forward again by its own; no intermediate state is published.

mod commit_with_retry;
mod route;
mod snapshot;
mod snapshot_cell;
mod sync;
mod token;

pub use commit_with_retry::{Author, commit_with_retry};
pub use primroseroute_accounts::key::Digest;
pub use route::{Routes, Target};
pub use snapshot::{ApplyError, Snapshot};
pub use snapshot_cell::SnapshotCell;
pub use sync::{Error, load, poll};
