//! Client accounts of the job path: their keys, and how much of the site each may use at a time.
//!
//! Everything here is decided without I/O and without a clock.
//!
//! * [`Account`]: an account as operators configure it.
//! * [`key`]: digests of keys, and the account that a key belongs to.
//! * [`budget`]: the row that divides an account's maximum among the pools that run its tasks.
//! * [`entitlement`]: which jobs of an account are within its jobs per second.
//! * [`meter`]: what the accounts use in one pool, and whether another task may start.
//!
//! # Why a maximum holds
//!
//! The tasks of an account run in several pools, and each pool has an owner of its own. Each pool
//! holds a part of the maximum, and its owner starts nothing beyond that part. The parts are in one
//! row for each account, and every change of it is conditional on the row's version:
//!
//! * The parts may grow only while their sum stays within the maximum.
//! * An owner restricts itself before it writes a smaller part, and uses a larger one only once it
//!   is written.
//! * A part belongs to the pool, not to its owner: a successor inherits it together with the runs
//!   that may go on. It first writes its own fencing token, which fails all changes of an owner that
//!   it has replaced.
//! * If the maximum falls below the sum, nothing starts until the owners have reduced their parts to
//!   what runs.

mod account;
pub mod budget;
pub mod entitlement;
pub mod key;
pub mod meter;

pub use account::{Account, Fault, check};
