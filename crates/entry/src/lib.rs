//! One entry: the request path, the view, the peer link and the operators' interface, put together.
//!
//! [`Entry::spawn`] takes everything that touches the outside as [`Parts`]: the platform, the
//! backend servers, the peer link, the clock and the seed. So whole entries run over sockets in a
//! process of their own, or by the dozen in one test over in-memory fakes.
//!
//! # Tasks
//!
//! * `follow` polls the store's head, brings the view up to date, and writes the registration row.
//! * `spread` wakes when a newer view is in force: it puts the view in force at the gates and pushes
//!   the records to the peers.
//! * `share` tells the peers about the slots of busy pools, so that entries lend slots by demand.
//! * the listeners of callers and operators, and the peer link.
//!
//! Nothing here is kept: an entry that starts again learns everything from the table or its peers.

mod core;
mod entry;
mod follow;
mod local;
mod metered;
mod parts;
mod share;
mod spread;

pub use entry::Entry;
pub use parts::{Dial, Dialed, Listen, Parts, Timers};
