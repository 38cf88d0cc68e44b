//! The controller role: one entry at a time moves, reboots and places instances.
//!
//! # Single active controller without synchronized clocks
//!
//! Every entry runs a [`Controller`]; the one that holds the lease is active. Two rows ensure this:
//!
//! * `lease/controller` is renewed periodically and only limits how often entries try to take over.
//!   An entry takes over after it has itself observed the row unchanged for the lease duration.
//! * `epoch/controller` is written at each takeover and at no other time. Every change that a
//!   controller commits is conditional on the revision of this row as of its own takeover.
//!
//! So a controller that was suspended, and resumes after another has taken over, commits nothing: its
//! epoch row has changed. Clocks of different machines are never compared, and two entries that
//! both believe that they hold the lease do no harm.
//!
//! The only effect outside the table is the platform's reboot call, which passes the boot count
//! that was stored in the table first; the platform rejects it once the instance has rebooted.
//!
//! # A cycle
//!
//! The instance list, the health checks and the entries' acknowledgements are read first. Then the
//! pure decisions of the `fleet` crate run on the newest snapshot, inside
//! [`primroseroute_view::commit_with_retry`], and all rows that they write are committed as one
//! change. If another change was committed first they run again, so a budget that was checked holds
//! at the commit. A successor continues from the table alone; only the health check counts start
//! over.

mod checks;
mod cycle;
mod decision;
mod housekeeping;
pub mod jobs;
mod lease;
mod probe;
mod role;
mod roster;

pub use lease::{Epoch, Lease};
pub use probe::{HttpProbe, Probe};
pub use role::{Components, Controller, Timers};
pub use roster::{RegisteredEntry, Roster, acknowledgements};
