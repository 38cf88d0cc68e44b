//! One entry: combines the request path, the view, the peer link and the operators' interface.
//!
//! [`Entry::spawn`] takes all external dependencies as [`Components`]: the platform, the backend
//! servers, the peer link, the clock and the seed. This allows complete entries to run with sockets
//! in a process of their own, or dozens of them in one test with in-memory fakes.
//!
//! # Tasks
//!
//! * `store_poll` polls the store's head, updates the view, and writes the registration row.
//! * `propagate` is woken by a newer view: it applies the view to the dispatchers and pushes the
//!   records to the peers.
//! * `slot_reports` reports the slots of busy pools to the peers, so that entries lend slots by
//!   demand.
//! * the servers for callers and operators, and the peer link.
//!
//! An entry has no persistent state: after a restart it reads everything from the table or its
//! peers.

mod components;
mod core;
mod entry;
mod local;
mod metered;
mod propagate;
mod slot_reports;
mod store_poll;

pub use components::{Components, Dial, Dialed, Listen, Timers};
pub use entry::Entry;
