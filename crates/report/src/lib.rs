//! What a fleet cost over a period, from the audit trail alone.
//!
//! [`Replay`] takes the trail's records one by one, from the first change on, and keeps the rows
//! that they leave behind. Inside the [`Period`] it shows each state of the rows to
//! [`primroseroute_fleet::measure::Meter`], which adds up buffer cost and moves, and keeps how long
//! waves were rolling out. [`Replay::end`] gives the [`Report`] and, for the plot, the [`Series`];
//! [`plot::svg`] draws them. Nothing here reads a clock or talks to anyone.
//!
//! # Why the operator's program computes it
//!
//! `primrosectl` reads the trail in pages of an entry's admin address and replays them itself. The
//! rows at the start of a period are known only from all changes before it, so a report reads the
//! whole trail, archive and table: at 4,700 changes a day a year is 1.7 million records. An entry
//! that did this would spend memory, time and its share of the store's reads on one operator,
//! beside callers' requests. A page is bounded, each is one short exchange, and the replay keeps
//! one state of the rows, however long the trail is.
//!
//! # What the figures mean
//!
//! * The period is from its start, included, to its end, not included. A change counts from its
//!   record's time. Writers' clocks may differ: a record that is older than the one before it
//!   counts as of that one, so that no time is counted twice. A writer whose clock is ahead brings
//!   the time of later records forward until the others have caught up.
//! * Buffer cost, its lower bound and moves are those of [`primroseroute_fleet::measure`]. The
//!   trail does not tell of unplanned absences until a row says so.
//! * Roll-out time of a pool or an account is the time in the period in which a wave that had not
//!   ended covered an instance of it; a paused or halted wave has not ended. Waves side by side
//!   count once.
//! * Roll-out time of a wave is its whole time until its end or the period's end, also where it
//!   began before the period. Its buffer cost and moves are those in the period, of the pools that
//!   it covered, while it had not ended.
//! * A pool counts for the account that had it last.
//!
//! # Gaps
//!
//! A record that is missing makes every later state a guess, so [`Replay::take`] refuses a record
//! that does not follow the one before it.

pub mod plot;
mod replay;
mod report;
mod rows;
mod series;
mod tally;
mod wave;

pub use replay::{Error, Found, Replay};
pub use report::{Line, Period, Report, Wave};
pub use series::{Point, Series};
