//! When each instance is checked, and what its checks add up to.

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

/// Checks under way at the same time: at 1,200 serving instances and one check in 10 s each, 120 a
/// second of at most a second.
const AT_ONCE: usize = 128;

/// Longest time that one round of checks may take; what is left is checked in the next.
const ROUND: Duration = Duration::from_secs(2);

/// What the checks of this controller's time add up to.
#[derive(Debug, Default)]
pub(crate) struct Book {
    checks: BTreeMap<id::Instance, Checks>,
    checked: BTreeMap<id::Instance, Checked>,
    last: BTreeMap<id::Instance, Instant>,
}

/// How long after a check the next one of an instance is due; none while checks say nothing.
///
/// A serving instance is checked seldom, but for two cases: until this controller has seen enough
/// of it to judge it, and while its last check was bad.
fn interval(state: State, checked: Checked, timers: &Timers, enough: u32) -> Option<Duration> {
    match state {
        State::Probation | State::Quarantined => Some(timers.check_waiting),
        State::Serving | State::Draining if checked.count < enough || checked.was_bad => {
            Some(timers.check_waiting)
        }
        State::Serving | State::Draining => Some(timers.check_serving),
        State::Arriving | State::Maintenance | State::Leaving => None,
    }
}

/// What is remembered of an instance's checks beside their runs of good and bad ones.
#[derive(Clone, Copy, Debug, Default)]
struct Checked {
    count: u32,
    was_bad: bool,
}

impl Book {
    /// Results so far.
    pub(crate) fn checks(&self) -> &BTreeMap<id::Instance, Checks> {
        &self.checks
    }

    fn checked(&self, name: &id::Instance) -> Checked {
        self.checked.get(name).copied().unwrap_or_default()
    }

    /// Whether every serving instance was checked `enough` times, so that one that fails would show.
    ///
    /// A controller that has just taken over knows only the rows. Where its predecessor died or was
    /// cut off before it wrote a loss down, a planned step that trusted the rows would take another
    /// instance out of a pool that has none to spare.
    pub(crate) fn is_settled(&self, rows: &BTreeMap<id::Instance, Row>, enough: u32) -> bool {
        let serving = rows.values().filter(|row| row.state == State::Serving);
        serving
            .map(|row| self.checked(&row.id))
            .all(|checked| checked.count >= enough)
    }

    /// Checks what is due among `rows`, the longest unchecked first.
    pub(crate) async fn round(
        &mut self,
        rows: &BTreeMap<id::Instance, Row>,
        probe: &Arc<dyn Probe>,
        timers: &Timers,
        enough: u32,
    ) {
        self.checks.retain(|name, _| rows.contains_key(name));
        self.checked.retain(|name, _| rows.contains_key(name));
        self.last.retain(|name, _| rows.contains_key(name));
        let due = self.due(rows, timers, enough);
        let mut running: JoinSet<(id::Instance, bool)> = JoinSet::new();
        for (name, address) in due {
            let probe = Arc::clone(probe);
            self.last.insert(name.clone(), Instant::now());
            running.spawn(async move { (name, probe.is_well(address).await) });
        }
        let gather = async {
            while let Some(done) = running.join_next().await {
                if let Ok((name, well)) = done {
                    self.note(name, well);
                }
            }
        };
        if timeout(ROUND, gather).await.is_err() {
            log::debug!("a round of checks was cut short");
        }
    }

    fn due(
        &self,
        rows: &BTreeMap<id::Instance, Row>,
        timers: &Timers,
        enough: u32,
    ) -> Vec<(id::Instance, SocketAddr)> {
        let mut due: Vec<(Option<Instant>, &Row)> = rows
            .values()
            .filter_map(|row| {
                let every = interval(row.state, self.checked(&row.id), timers, enough)?;
                let last = self.last.get(&row.id).copied();
                let is_due = last.is_none_or(|last| last.elapsed() >= every);
                is_due.then_some((last, row))
            })
            .collect();
        due.sort_by_key(|(last, _)| *last);
        due.into_iter()
            .take(AT_ONCE)
            .map(|(_, row)| (row.id.clone(), row.address))
            .collect()
    }

    fn note(&mut self, name: id::Instance, well: bool) {
        let checked = self.checked.entry(name.clone()).or_default();
        checked.count = checked.count.saturating_add(1);
        checked.was_bad = !well;
        let checks = self.checks.entry(name).or_default();
        *checks = if well {
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
