//! Computes what a fleet cost over a period, from the audit trail alone.
//!
//! [`Replay`] applies the trail's records one by one, starting with the first change, and keeps the
//! resulting rows. Within the [`Period`] it passes each state of the rows to
//! [`primroseroute_fleet::measure::Meter`], which adds up buffer cost and moves, and records how
//! long waves were rolling out. [`Replay::finish`] returns the [`Report`] and, for the plot, the
//! [`Series`]; [`plot::svg`] draws them. Nothing here reads a clock or does I/O.
//!
//! # Why the command line computes it
//!
//! `primrosectl` reads the trail page by page from an entry's admin address and replays it itself.
//! The rows at the start of a period are known only from all changes before it, so a report reads
//! the whole trail, archive and table: at 4,700 changes a day, a year is 1.7 million records. An
//! entry that did this would spend memory, time and its share of the store's reads on one operator
//! while it serves callers' requests. A page is bounded, each is one short exchange, and the replay
//! keeps one state of the rows, however long the trail is.
//!
//! # Definitions
//!
//! * The period includes its start and excludes its end. A change takes effect at its record's
//!   time. Writers' clocks may differ: a record that is older than the one before it is given that
//!   one's time, so that no time is counted twice. If a writer's clock is ahead, the times of later
//!   records are moved forward until the other clocks have caught up.
//! * Buffer cost, its lower bound and moves are defined in [`primroseroute_fleet::measure`]. The
//!   trail does not show an unplanned absence until a row records it.
//! * The roll-out time of a pool or an account is the time within the period during which a wave
//!   that had not ended covered one of its instances; a paused or halted wave has not ended.
//!   Concurrent waves count once.
//! * The roll-out time of a wave is its whole duration until its end or the period's end, even if it
//!   began before the period. Its buffer cost and moves are those of the pools that it covered,
//!   within the period and before its end.
//! * A pool is attributed to the account that had it last.
//!
//! # Gaps
//!
//! After a missing record, every later state would be uncertain, so [`Replay::apply`] refuses a
//! record that does not directly follow the one before it.

pub mod plot;
mod replay;
mod report;
mod rows;
mod series;
mod tally;
mod wave;

pub use replay::{Error, Replay, ReplayResult};
pub use report::{Line, Period, Report, Wave};
pub use series::{Point, Series};
