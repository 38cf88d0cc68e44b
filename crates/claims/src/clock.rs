//! The wall clock that stamps rows.

pub use primroseroute_domain::time::{Clock, SystemClock as System};
