//! Schedules health checks of instances and counts their results.

use crate::{probe::Probe, role::Timers};
use primroseroute_domain::{
    id,
    instance::{Row, State},
};
use primroseroute_fleet::lifecycle::Checks;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, timeout},
};

/// Maximum concurrent checks. 1,200 serving instances with one check every 10 s each make 120
/// checks/s, each of which takes at most a second.
const MAX_CONCURRENT_CHECKS: usize = 128;

/// Timeout of one round of checks; unfinished checks are repeated in the next round.
const ROUND_TIMEOUT: Duration = Duration::from_secs(2);

/// Health check results since this controller started.
#[derive(Debug, Default)]
pub(crate) struct HealthChecks {
    checks: BTreeMap<id::Instance, Checks>,
    histories: BTreeMap<id::Instance, CheckHistory>,
    last_check: BTreeMap<id::Instance, Instant>,
}

/// Interval between checks of an instance; `None` in states where checks are not meaningful.
///
/// A serving instance is checked at the long interval, except until this controller has enough
/// results to judge it, and while its last check failed.
fn interval(
    state: State,
    history: CheckHistory,
    timers: &Timers,
    min_checks: u32,
) -> Option<Duration> {
    match state {
        State::Probation | State::Quarantined => Some(timers.check_waiting),
        State::Serving | State::Draining if history.count < min_checks || history.last_failed => {
            Some(timers.check_waiting)
        }
        State::Serving | State::Draining => Some(timers.check_serving),
        State::Arriving | State::Maintenance | State::Leaving => None,
    }
}

/// Check history of an instance besides its counts of consecutive good and bad checks.
#[derive(Clone, Copy, Debug, Default)]
struct CheckHistory {
    count: u32,
    last_failed: bool,
}

impl HealthChecks {
    /// Consecutive good and bad checks by instance.
    pub(crate) fn checks(&self) -> &BTreeMap<id::Instance, Checks> {
        &self.checks
    }

    fn history(&self, name: &id::Instance) -> CheckHistory {
        self.histories.get(name).copied().unwrap_or_default()
    }

    /// Whether every serving instance was checked at least `min_checks` times, so that a failed one
    /// would have been detected.
    ///
    /// A controller that has just taken over knows only the rows. If its predecessor crashed or was
    /// partitioned before it recorded a loss, a planned step based on the rows alone would take
    /// another instance out of a pool that has none to spare.
    pub(crate) fn has_min_checks(
        &self,
        rows: &BTreeMap<id::Instance, Row>,
        min_checks: u32,
    ) -> bool {
        let serving = rows.values().filter(|row| row.state == State::Serving);
        serving
            .map(|row| self.history(&row.id))
            .all(|history| history.count >= min_checks)
    }

    /// Checks the instances among `rows` that are due, least recently checked first.
    pub(crate) async fn run_due(
        &mut self,
        rows: &BTreeMap<id::Instance, Row>,
        probe: &Arc<dyn Probe>,
        timers: &Timers,
        min_checks: u32,
    ) {
        self.checks.retain(|name, _| rows.contains_key(name));
        self.histories.retain(|name, _| rows.contains_key(name));
        self.last_check.retain(|name, _| rows.contains_key(name));
        let due = self.due(rows, timers, min_checks);
        let mut running: JoinSet<(id::Instance, bool)> = JoinSet::new();
        for (name, address) in due {
            let probe = Arc::clone(probe);
            self.last_check.insert(name.clone(), Instant::now());
            running.spawn(async move { (name, probe.is_healthy(address).await) });
        }
        let collect_results = async {
            while let Some(done) = running.join_next().await {
                if let Ok((name, healthy)) = done {
                    self.record_result(name, healthy);
                }
            }
        };
        if timeout(ROUND_TIMEOUT, collect_results).await.is_err() {
            log::debug!("round of health checks timed out");
        }
    }

    fn due(
        &self,
        rows: &BTreeMap<id::Instance, Row>,
        timers: &Timers,
        min_checks: u32,
    ) -> Vec<(id::Instance, SocketAddr)> {
        let mut due: Vec<(Option<Instant>, &Row)> = rows
            .values()
            .filter_map(|row| {
                let every = interval(row.state, self.history(&row.id), timers, min_checks)?;
                let last = self.last_check.get(&row.id).copied();
                let is_due = last.is_none_or(|last| last.elapsed() >= every);
                is_due.then_some((last, row))
            })
            .collect();
        due.sort_by_key(|(last, _)| *last);
        due.into_iter()
            .take(MAX_CONCURRENT_CHECKS)
            .map(|(_, row)| (row.id.clone(), row.address))
            .collect()
    }

    fn record_result(&mut self, name: id::Instance, healthy: bool) {
        let history = self.histories.entry(name.clone()).or_default();
        history.count = history.count.saturating_add(1);
        history.last_failed = !healthy;
        let checks = self.checks.entry(name).or_default();
        *checks = if healthy {
            Checks {
                good: checks.good + 1,
                bad: 0,
            }
        } else {
            Checks {
                good: 0,
                bad: checks.bad + 1,
            }
        };
    }
}
