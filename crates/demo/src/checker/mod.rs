//! Checks a recorded history: takes its events and returns a report with every violated invariant.
//!
//! Pure functions: no clock and no I/O.

mod event;
mod fleet;
mod report;
mod requests;
mod views;

pub use event::{
    AcceptedCommand, Change, EntryEvent, Event, KeyExecutions, ObservedVersion, RequestEnded,
};
pub use report::{Breach, Fleet, Quantiles, Report, Requests, Views};

/// Checks a history and returns its counts and violated invariants.
pub fn check_history(events: &[Event]) -> Report {
    let mut breaches = Vec::new();
    let requests = requests::evaluate(events, &mut breaches);
    let views = views::evaluate(events, &mut breaches);
    let fleet = fleet::evaluate(events, &mut breaches);
    Report {
        requests,
        views,
        fleet,
        breaches,
    }
}
