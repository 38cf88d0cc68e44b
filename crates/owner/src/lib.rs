//! The part of an entry that owns pools: membership, takeover, and the loop that drives a cell.
//!
//! Everything that lasts lies in the platform's store; an entry keeps nothing. Each module is a thin
//! shell around decisions that are made elsewhere:
//!
//! * [`follow`]: follows a table by its feed, and reads it whole where history was lost.
//! * [`Watch`]: configuration, workers and waves as the platform tells them.
//! * [`members`]: heartbeats, and which entries are alive by this entry's own clock.
//! * `elections`: what an entry takes and gives up; [`elect`]: which entry takes over a pool that nobody owns. Pure.
//! * `commit`: an owner's commits, one after the other, and what came of those without an answer.
//! * [`Brisk`]: commits that are given up once they have taken far longer than usual.
//! * `lease`: looks at one worker, and the renewal of its lease.
//! * `reach`: the workers of a pool, looks at them and orders to them; `send`: one order on its way.
//! * `ask`: one question to the advice service.
//! * `own`: one ownership of a pool; `run`: its loop; `tell`: the loop's lines.
//! * `upkeep`: a pool's instances; `maintain` and `relocate` carry out what [`wave`] and [`share`], both
//!   pure, decide; `emptying` keeps which workers are emptied, `fleet` the list of instances.
//! * `holder`: orders to the instances of a group, for the owners of their pools; `request`: how these ask;
//!   [`rest`]: which instances rest after another holder's orders. Pure.
//! * [`Entry`]: all of it together.
//!
//! # Why a paused owner does no harm
//!
//! An owner may be suspended at any point and wake up after another has taken over. Its commits fail,
//! since each is conditional on the row that the successor has replaced. Its starts fail, since their
//! deadline is fixed by the commit before them. Its requests for orders to instances stand only while it owns the pool. Its renewals can't outlast the wait of the successor,
//! since the end of each lease is worked out from the last moment at which the store confirmed the
//! ownership, on the worker's clock as it was known then.

mod ask;
mod brisk;
mod cancels;
mod clock;
mod commit;
mod control;
mod digest;
pub mod elect;
mod elections;
mod emptying;
mod entry;
mod event;
mod fence;
mod fleet;
pub mod follow;
mod forget;
mod holder;
mod jobs;
mod lease;
mod load;
mod maintain;
pub mod members;
mod observe;
mod own;
mod published;
mod reach;
mod relocate;
mod request;
pub mod rest;
mod run;
mod send;
pub mod share;
mod tell;
mod upkeep;
mod watch;
pub mod wave;

pub use brisk::Brisk;
pub use clock::Clock;
pub use entry::{Bounds, Entry, Parts};
pub use observe::{Blind, Observer};
pub use watch::Watch;
