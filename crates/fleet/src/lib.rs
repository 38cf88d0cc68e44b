//! Fleet decisions: placement of instances in pools, instance lifecycle and rolling maintenance.
//!
//! All functions are pure: they take the current state and return typed actions. There is no
//! clock, no I/O and no randomness, so the same code runs in the controller, in a test over
//! thousands of seeds and in a benchmark at 5,000 workers. The caller passes the rows at one change
//! of the table, the platform's eventually consistent list of instances, health checks, operator
//! commands and the entries' acknowledgements, and commits the returned actions in one conditional
//! transaction. No state is lost when a controller dies between two steps: its successor calls the
//! same functions with the rows from the table.
//!
//! # Control cycle
//!
//! [`lifecycle::step`], then [`wave::step`] for each wave, then [`placement::plan`] and
//! [`placement::start_moves`]. Each reads the rows as the previous one left them, so no two of them
//! take out the same instance or spend the same part of a budget. Operator commands go through
//! [`lifecycle::apply_command`] and [`wave::plan`], against the rows of the change that they commit
//! on.
//!
//! # Modules
//!
//! * [`Fleet`]: rows, budgets and unplanned absences, the input of every decision.
//! * [`budget`]: which instances a pool's availability budget allows to leave.
//! * [`lifecycle`]: the next step of each instance.
//! * [`placement`]: assignment of instances to pools.
//! * [`wave`]: which instances a maintenance wave takes out next, and the cost of a wave.
//! * [`measure`]: buffer cost, moves and roll-out time over a history.
//! * [`check`]: an independent checker of the invariants I1 (one pool per instance) and I2
//!   (availability budgets) over a history.

pub mod budget;
pub mod check;
pub mod lifecycle;
pub mod measure;
pub mod placement;
mod state;
pub mod wave;

pub use state::Fleet;
