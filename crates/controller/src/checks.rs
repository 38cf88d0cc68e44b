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
    last: BTreeMap<id::Instance, Instant>,
}

fn interval(state: State, timers: &Timers) -> Option<Duration> {
    match state {
        State::Probation | State::Quarantined => Some(timers.check_waiting),
        State::Serving | State::Draining => Some(timers.check_serving),
        State::Arriving | State::Maintenance | State::Leaving => None,
    }
}

impl Book {
    /// Results so far.
    pub(crate) fn checks(&self) -> &BTreeMap<id::Instance, Checks> {
        &self.checks
    }

    /// Checks what is due among `rows`, the longest unchecked first.
    pub(crate) async fn round(
        &mut self,
        rows: &BTreeMap<id::Instance, Row>,
        probe: &Arc<dyn Probe>,
        timers: &Timers,
    ) {
        self.checks.retain(|name, _| rows.contains_key(name));
        self.last.retain(|name, _| rows.contains_key(name));
        let due = self.due(rows, timers);
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
    ) -> Vec<(id::Instance, SocketAddr)> {
        let mut due: Vec<(Option<Instant>, &Row)> = rows
            .values()
            .filter_map(|row| {
                let every = interval(row.state, timers)?;
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
