//! The verdict over a recorded history: events in, a report with every breach out.
//!
//! Nothing here reads a clock or talks to anyone.

mod event;
mod fleet;
mod report;
mod requests;
mod views;

pub use event::{Change, Ended, Event, Executed, InForce, Ordered, Presence};
pub use report::{Breach, Fleet, Quantiles, Report, Requests, Views};

/// Judges a history.
pub fn judge(events: &[Event]) -> Report {
    let mut breaches = Vec::new();
    let requests = requests::judge(events, &mut breaches);
    let views = views::judge(events, &mut breaches);
    let fleet = fleet::judge(events, &mut breaches);
    Report {
        requests,
        views,
        fleet,
        breaches,
    }
}
