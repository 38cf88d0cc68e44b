//! Domain types of primroseroute: what operators name, what rows hold, what answers say.
//!
//! Everything here is plain data with validation. There is no clock, no I/O and no randomness, so
//! that the decision crates (`flow`, `fleet`, `jobs`) can be driven by a test at any size.
//!
//! * [`id`]: validated names; one type for each kind of thing, all shared immutable strings.
//! * [`account`]: a client account's template: pools, services, availability budgets, fair share.
//! * [`instance`]: an instance's row: its one pool, its state, its place in racks and zones.
//! * [`change`]: one accepted change, which is also the audit record and the delta that entries
//!   follow.
//! * [`outcome`]: numbered result codes and what a caller may conclude from each.
//! * [`work`]: jobs as callers submit them: steps, tasks, demands, states.
//! * [`time`]: wall-clock instants as milliseconds since the Unix epoch, for rows only.

pub mod account;
pub mod change;
pub mod id;
pub mod instance;
pub mod outcome;
pub mod time;
pub mod work;
