//! The controller role: one entry at a time moves, reboots and places instances.
//!
//! # One at a time, without trusting time
//!
//! Every entry runs a [`Controller`]; the one that holds the lease acts. Two rows keep it so:
//!
//! * `lease/controller` is renewed all the time and only paces who tries to take over. An entry
//!   takes over when it has itself watched the same row for the lease's length.
//! * `epoch/controller` is written at each takeover and at no other time. Every change that a
//!   controller commits is conditional on the revision of this row as of its own takeover.
//!
//! So a controller that was paused, and wakes up after another took over, commits nothing: its
//! epoch row has moved. No clock is compared between machines, and nothing breaks where two
//! entries both believe that they hold the lease.
//!
//! The one effect outside the table is the platform's reboot call, which names the count of boots
//! that was kept in the table first; the platform refuses it once the instance has rebooted.
//!
//! # A cycle
//!
//! The list, the health checks and the entries' acknowledgements are read first. Then the pure
//! decisions of the `fleet` crate run on the newest snapshot, inside
//! [`primroseroute_view::amend`], and all that they write goes out as one change. Where another
//! change came first they run again, so a budget that was checked holds at the commit. A successor
//! goes on from the table alone; only the counts of health checks start again.

mod act;
mod checks;
mod cycle;
pub mod jobs;
mod keep;
mod lease;
mod probe;
mod role;
mod roster;

pub use lease::{Epoch, Lease};
pub use probe::{HttpProbe, Probe};
pub use role::{Controller, Parts, Timers};
pub use roster::{Roster, Voice, acknowledgements};
