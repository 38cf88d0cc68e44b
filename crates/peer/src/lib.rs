//! The link between entries: changes at once, reports at intervals, views that only move forward.
//!
//! # What crosses it
//!
//! An entry that learns a change record, from the store or by its own commit, pushes it to the peers
//! that are not known to have it. At intervals two entries exchange [`report::Report`]s: the seq in
//! force, the load they put on each instance, and the drains they have in force. A peer whose report
//! shows a higher seq is asked for what lies between (a *pull*); it answers with records, or with a
//! snapshot where it no longer has them. So a lost push costs one interval and never a change.
//!
//! Pools' decisions on slots tell their peers of demand and loans by [`Link::share`], one call for all
//! busy pools of an entry; only what is news is sent.
//!
//! # How the pieces fit
//!
//! * [`Link`] is what the entry calls, [`Local`] is what a link calls in the entry.
//! * [`memory`] runs many entries in one process under paused time, with cuts and latency.
//! * [`rpc`] runs over capnp-rpc on TCP, on a thread of its own.
//! * [`intake`], [`board`], [`delta`], [`pace`] and [`membership`] are the pure decisions behind
//!   both: no clock, no I/O, no randomness.
//!
//! # Why a view never goes back
//!
//! Both links pass everything that arrives through [`intake`], which drops what is not newer than
//! the seq in force and turns a gap into a pull; a [`Local`] must itself ignore lower seqs, since
//! the store's poller races with the link.

pub mod board;
mod core;
pub mod delta;
pub mod intake;
mod link;
pub mod membership;
pub mod memory;
pub mod pace;
pub mod proof;
pub mod report;
pub mod rpc;

pub use link::{Address, Error, Link, Local, Newer, Row, Slots, Snapshot};
