//! A short run of the whole demo: no invariant is violated, and its counts are consistent.

use crate::cases;
use eyre::Result;
use primroseroute_demo::{Options, Progress};
use std::time::Duration;

cases! {
    short_demo_breaks_no_invariant => short();
}

#[derive(Debug)]
struct NoProgress;

impl Progress for NoProgress {
    fn show(&self, _done: Duration, _step: &str) {}
}

/// Callers of five accounts send while the whole schedule runs in a few seconds: a worker fails, an
/// instance leaves, one arrives, one moves, a wave runs, an entry is stopped, one is killed, the
/// store is unavailable. At any machine speed, no request may run twice, get lost or get a false
/// outcome.
async fn short() -> Result<()> {
    let options = Options {
        load: Duration::from_secs(6),
        ..Options::default()
    };
    let report = primroseroute_demo::run(&options, &NoProgress).await?;
    assert_eq!(report.breaches, [], "{report:?}");
    let requests = report.requests;
    assert!(requests.holds > 0, "{requests:?}");
    assert!(requests.sent > requests.holds, "{requests:?}");
    assert!(requests.completed > 0, "{requests:?}");
    assert_eq!(
        requests.completed + requests.not_run + requests.unknown,
        requests.sent
    );
    assert!(requests.attempts >= requests.completed, "{requests:?}");
    assert!(report.views.orders > 0, "{report:?}");
    assert_eq!(report.views.never, 0, "{report:?}");
    assert!(report.fleet.changes > 0, "{report:?}");
    assert!(report.fleet.buffer_slot_hours > 0.0, "{report:?}");
    // The run waits for the wave, and a killed entry delays no arrival or order.
    let fleet = report.fleet;
    assert_eq!((fleet.waves, fleet.waves_done), (1, 1), "{fleet:?}");
    assert!(fleet.maintained > 0 && fleet.rollout_ms > 0, "{fleet:?}");
    assert_eq!((fleet.arrivals, fleet.departures), (1, 1), "{fleet:?}");
    assert!(fleet.moves > 0, "{fleet:?}");
    Ok(())
}
