//! The operators' interface of an entry: health, metrics, reads and changes over HTTP.
//!
//! Any entry answers it. Reads come from the entry's own view; changes go through the ledger, so
//! two operators at two entries meet in one order of changes, and a version that an operator names
//! holds at the commit.
//!
//! * [`edit`]: what an order changes, as pure functions of a snapshot.
//! * [`Local`]: what only the running entry knows, handed in at construction.
//! * [`Admin::bind`]: the HTTP side, a gotham router.

pub mod edit;
mod http;
mod local;

pub use http::{Admin, Parts};
pub use local::{Local, Tokens};
