//! Runs complete entries for a deployment of any size in one process, to measure the cost of control.
//!
//! A [`Cluster`] starts the real entries on the simulated platform and the in-memory peer link, under
//! tokio's paused time: a minute of timers takes about a second, every timer fires when it is due, and
//! the counts of one size are the same in every run. The workers exist only as rows in the table and
//! items of the platform's list. Their health checks succeed at once and no caller sends requests, so
//! only control traffic is counted. To each report sent over the link a [`Cluster`] adds the loads that
//! the entry would have with all slots in use.
//!
//! [`Count`] holds the numbers of calls to the platform and of messages between entries; [`LinearFit`] is
//! the linear fit through the points of several sizes.

mod cluster;
mod count;
mod fit;
mod rows;
mod simulated_load;
mod size;

pub use cluster::{Cluster, Cycles};
pub use count::Count;
pub use fit::LinearFit;
pub use rows::{templates, workers};
pub use size::Size;
