//! The admin HTTP API of an entry: health, metrics, reads and changes.
//!
//! Every entry serves it. Reads are answered from the entry's own view; changes are committed
//! through the ledger, so changes by operators at different entries are totally ordered, and an
//! expected version that an operator gives is checked at commit.
//!
//! * [`edit`]: computes the row changes of an operator's order, as pure functions of a snapshot.
//! * [`Local`]: state of the running entry that is not in the view, passed in at construction.
//! * [`Admin::bind`]: the HTTP server, a gotham router.

pub mod edit;
mod http;
mod local;

pub use http::{Admin, Components};
pub use local::{Local, Tokens};
