//! Domain types of primroseroute: configuration, table rows and result codes.
//!
//! Everything here is plain data with validation. There is no clock, no I/O and no randomness, so
//! that tests can drive the decision crates (`flow`, `fleet`, `jobs`) at any scale.
//!
//! * [`id`]: validated names as shared immutable strings, with one type per kind of entity.
//! * [`account`]: templates of client accounts: pools, services, availability budgets, fair share.
//! * [`instance`]: instance rows: pool, lifecycle state, rack and availability zone.
//! * [`change`]: committed changes, each of which is both an audit record and the delta that entries
//!   apply.
//! * [`outcome`]: numbered result codes and what a caller may conclude from each.
//! * [`work`]: jobs as callers submit them: steps, tasks, demands, states.
//! * [`time`]: wall-clock timestamps in milliseconds since the Unix epoch, for rows only.

pub mod account;
pub mod change;
pub mod id;
pub mod instance;
pub mod outcome;
pub mod time;
pub mod work;
