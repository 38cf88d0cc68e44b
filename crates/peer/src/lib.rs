//! Communication between entries: immediate change propagation, periodic reports, monotonic views.
//!
//! # Protocol
//!
//! An entry that learns of a change record, from the store or by its own commit, pushes it to the
//! peers that are not known to have it. At intervals two entries exchange [`report::Report`]s: the
//! applied seq, the load they put on each instance, and the drains they have applied. A peer whose
//! report shows a higher seq is asked for the difference (a *pull*); it responds with records, or
//! with a snapshot if it no longer retains them. A lost push therefore delays a change by at most one
//! interval and never loses it.
//!
//! Each pool's slot allocator reports demand and loans to its peers through
//! [`Link::send_slot_reports`], in one call for all busy pools of an entry; only changed reports are
//! sent.
//!
//! # Structure
//!
//! * [`Link`] is the interface that the entry calls; [`LocalEntry`] is the interface that a link
//!   calls in the entry.
//! * [`memory`] runs many entries in one process under paused time, with partitions and latency.
//! * [`rpc`] runs over capnp-rpc on TCP, on a dedicated thread.
//! * [`selection`], [`peer_table`], [`delta`], [`schedule`] and [`membership`] are the pure decisions
//!   behind both: no clock, no I/O, no randomness.
//!
//! # Views never move backwards
//!
//! Both links pass all received records through [`selection`], which drops those that are not newer
//! than the applied seq and turns a gap into a pull. A [`LocalEntry`] must itself ignore lower seqs,
//! since the store poller races with the link.

mod core;
pub mod delta;
mod link;
pub mod membership;
pub mod memory;
pub mod peer_table;
pub mod proof;
pub mod report;
pub mod rpc;
pub mod schedule;
pub mod selection;

pub use link::{Address, Error, Link, LocalEntry, Newer, Row, SlotReport, Snapshot};
