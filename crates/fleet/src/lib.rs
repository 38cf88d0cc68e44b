//! Fleet decisions: which instance serves which pool, and which may leave it now.
//!
//! Everything here is pure: state in, typed actions out. There is no clock, no I/O and no
//! randomness, so the same code runs in the controller, in a test over thousands of seeds and in a
//! benchmark at 5,000 workers. The caller hands in the rows as of one change, the platform's
//! lagging list, health checks, operators' orders and the entries' acknowledgements, and commits
//! the actions that come back in one conditional transaction. A controller that dies between two
//! steps loses nothing: its successor calls the same functions with the rows from the table.
//!
//! # A cycle
//!
//! [`lifecycle::step`], then [`wave::step`] for each wave, then [`placement::plan`] and
//! [`placement::start`]: each reads the rows as the one before left them, so that no two of them
//! take out the same instance or use the same room twice. Orders of operators go through
//! [`lifecycle::order`] and [`wave::plan`] against the rows of the change that they commit on.
//!
//! # Modules
//!
//! * [`Fleet`]: the rows, the budgets and the unplanned absences that every decision reads.
//! * [`budget`]: what a pool's budget allows to leave after the worst further loss.
//! * [`lifecycle`]: the next step of each instance.
//! * [`placement`]: which instance serves which pool.
//! * [`wave`]: what a maintenance wave takes out next, and what it would cost.
//! * [`measure`]: buffer cost, moves and roll-out time from a history.
//! * [`check`]: an independent checker of I1 (one pool) and I2 (budgets) over a history.

pub mod budget;
pub mod check;
pub mod lifecycle;
pub mod measure;
pub mod placement;
mod state;
pub mod wave;

pub use state::Fleet;
