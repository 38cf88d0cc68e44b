//! Scheduling decisions for one pool: which task runs on which worker, and what follows from the
//! results.
//!
//! A *cell* is a pool's workers together with the jobs that were accepted for it. One entry at a
//! time owns a cell; [`Cell`] is the state and the decision logic of that entry. It has no clock,
//! does no I/O and draws no random numbers: its inputs are rows, worker statuses and results of
//! calls, and its output is a [`RoundOutput`] with rows to commit and orders to send once they are
//! committed. A new owner rebuilds it from the rows alone.
//!
//! # Never two runs of one task
//!
//! * A start (task, run, worker) is committed before it is sent, so a new owner knows all runs that
//!   may exist. It is sent with a deadline on the worker's clock that is fixed at the commit, so an
//!   owner that was suspended during a takeover sends nothing that a worker still accepts.
//! * A start without an answer counts as running until a status poll that was sent after its
//!   deadline doesn't list it.
//! * The runs of an unresponsive worker count as running until the worker's lease has certainly
//!   expired.
//! * The end of a run is acknowledged to its worker only after it is committed, and only to the
//!   incarnation of the worker that listed it.
//!
//! # Orders are checked against the newest state
//!
//! * A start takes effect only within a fixed window, measured both from the time up to which its
//!   owner knows all cancels and from its commit.
//! * Orders that a round has decided are checked again when their commit is through, and the stop
//!   of a ready long-running task is checked each time it is sent again: runs that have ended, jobs
//!   that were cancelled and workers that were lost meanwhile count.
//!
//! # No task takes the pool down
//!
//! * A task that crashes its workers is abandoned after a few crashes; tasks that ran beside it are
//!   not.
//!
//! # No job keeps the others from being committed
//!
//! * A job's rows fit into the store whatever the state of its tasks, and a job whose rows the store
//!   refuses is held alone.
//!
//! # Slow workers
//!
//! * A worker whose runs progress much more slowly than their siblings elsewhere gets nothing new
//!   while others are open, and its batch runs are moved where that is faster.
//!
//! # Modules
//!
//! * [`row`]: the rows in the store, their locations and formats.
//! * [`Cell`] and its parts: jobs, workers, worker statuses, placement, migration of long-running
//!   tasks, and which workers the advice service allows.
//! * [`Inventory`]: which tasks the instances of the fleet could run. Steps that none of them can
//!   run wait without counting as demand.
//! * `run_times`: how long tasks take, learned from those that this owner has run.
//! * [`ScalingEstimate`]: how many workers the pool should have.

mod advice;
mod arrivals;
mod backlog;
mod cell;
mod crash;
mod hold;
mod incarnation;
mod inventory;
mod job;
mod limits;
mod marking;
mod migration;
mod order;
mod placement;
mod roster;
mod round;
pub mod row;
mod run_times;
mod scaling;
mod speed;
mod status;
mod straggler;
mod throttle;
mod unplaceable;
mod window;
mod worker;

pub use arrivals::Inflow;
pub use cell::Cell;
pub use crash::PoisonTask;
pub use inventory::{Fleet, Inventory};
pub use limits::{Limits, Millis};
pub use order::{
    AdviceRequest, Cause, EndsCursor, Loss, Order, Outcome, RoundOutput, UnplaceableStep,
};
pub use run_times::Terms;
pub use scaling::ScalingEstimate;
pub use straggler::{MovedRun, SlowWorker, Stragglers};
pub use worker::EvacuationReason;
