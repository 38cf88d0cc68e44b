//! Whole entries at any size in one process, for what each role costs.
//!
//! A [`Stage`] starts the real entries over the platform's stand-in and the link in memory, under
//! tokio's paused time: a minute of timers passes in a second or so, every timer fires when it is
//! due, and the counts of one size are the same in every run. The workers are rows in the table and
//! lines in the platform's list. Their health checks are answered at once and no caller sends
//! anything, so what is counted is control alone. To the reports that cross the link a [`Stage`]
//! adds the loads that the entry would have with all slots taken.
//!
//! [`Count`] is what the entries asked of the platform and sent to each other, [`Line`] the straight
//! line through the points of several sizes.

mod count;
mod fit;
mod loaded;
mod rows;
mod size;
mod stage;

pub use count::Count;
pub use fit::Line;
pub use rows::{templates, workers};
pub use size::Size;
pub use stage::{Cycles, Stage};
