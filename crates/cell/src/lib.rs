//! Decisions on the jobs of one pool: what starts where, and what becomes of it.
//!
//! A *cell* is a pool's workers with the jobs that were accepted for it. One entry at a time owns a
//! cell; [`Cell`] is what that entry knows and decides. It has no clock, does no I/O and draws no
//! random numbers: it takes in rows, looks at workers and ends of calls, and gives out a [`Tick`]
//! of rows to commit and orders to send once they are committed. A successor builds it again from
//! the rows alone.
//!
//! # Never two runs of one task
//!
//! * A start is committed (task, run, worker) before it is sent, so a successor knows all that may
//!   run. It is sent with a deadline on the worker's clock that is fixed at the commit, so that an
//!   owner that was suspended over a takeover sends nothing that a worker still takes.
//! * A start without an answer counts as running until a look that was sent after its deadline
//!   doesn't show it.
//! * What runs on a silent worker counts as running until the worker's lease has surely lapsed.
//! * An end is acknowledged to its worker only after it is committed, and only to the life of the worker that has listed it.
//!
//! # No order outlives what it rests on
//!
//! * A start takes effect within a bound of the moment up to which its owner has heard of all cancels, and of its commit.
//! * What a round has decided is looked at once more when its commit is through, and a stop of a task at work whenever it is sent
//!   again: what has ended, been cancelled or gone away meanwhile counts.
//!
//! # No task takes the pool down
//!
//! * A task that crashes its workers is given up after a few of them, and what ran beside it isn't.
//!
//! # Modules
//!
//! * [`row`]: what lies in the store, where, and how it is read.
//! * [`Cell`] and its parts: jobs, workers, looks, placement, moves of lasting tasks, and which workers the
//!   advice service allows.
//! * [`Need`]: how many workers the pool can use.

mod advice;
mod arrivals;
mod cell;
mod crash;
mod drain;
mod job;
mod life;
mod limits;
mod look;
mod need;
mod order;
mod pace;
mod place;
mod roster;
pub mod row;
mod tick;
mod window;
mod worker;

pub use cell::Cell;
pub use crash::Culprit;
pub use limits::{Limits, Millis};
pub use need::Need;
pub use order::{Cause, Loss, Order, Outcome, Question, TakenIn, Tick};
pub use worker::Purpose;
