//! The wall clock for timestamps in rows.

pub use primroseroute_domain::time::{Clock, SystemClock as System};
