//! One lifecycle step of the whole fleet.

use super::{Action, Checks, Entry, Limits, acknowledged_by_all, drained_by_all, transition};
use primroseroute_domain::{
    change::Seq,
    id,
    instance::{Purpose, Row, State},
    time::Instant,
};
use primroseroute_platform::fleet::{Listed, Phase};
use std::collections::BTreeMap;

/// Fewest serving instances that must fail checks together for the checks to count as unreliable.
const UNRELIABLE_CHECKS_MIN_FAILURES: usize = 4;

/// Input of one step.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// The row of each instance.
    pub rows: &'a BTreeMap<id::Instance, Row>,
    /// The change that last wrote each row.
    pub versions: &'a BTreeMap<id::Instance, Seq>,
    /// The platform's list of instances; the caller must never pass an older list after a newer
    /// one.
    pub listed: &'a BTreeMap<id::Instance, Listed>,
    /// Health checks since the controller started.
    pub checks: &'a BTreeMap<id::Instance, Checks>,
    /// The boot counts stored by [`Action::Mark`].
    pub marks: &'a BTreeMap<id::Instance, u64>,
    /// All registered entries.
    pub entries: &'a [Entry],
    /// The limits of the deployment.
    pub limits: Limits,
    /// Current time, by the writer's clock.
    pub now: Instant,
}

/// The next actions for all instances: arrivals first, then existing rows ordered by name.
pub fn step(input: &Input<'_>) -> Vec<Action> {
    let checks_unreliable = checks_unreliable(input);
    let rows = input.rows.values().flat_map(|row| {
        let instance = InstanceStep {
            input,
            row,
            checks_unreliable,
        };
        instance.next_actions()
    });
    arrivals(input).chain(rows).collect()
}

fn arrivals(input: &Input<'_>) -> impl Iterator<Item = Action> {
    let is_new =
        |listed: &&Listed| listed.phase == Phase::Live && !input.rows.contains_key(&listed.id);
    input.listed.values().filter(is_new).map(|listed| {
        let row = Row {
            id: listed.id.clone(),
            address: listed.address,
            zone: listed.zone.clone(),
            rack: listed.rack.clone(),
            pool: None,
            state: State::Arriving,
            purpose: None,
            since: input.now,
            maintained: None,
        };
        put(row, "the platform lists it")
    })
}

/// Whether so many serving instances fail their checks at once that the checker is probably at
/// fault.
///
/// A controller that is partitioned from the workers sees every check fail. Without this test it
/// would quarantine the whole fleet, and every caller would be refused although the workers are
/// healthy. The platform's list still removes instances that are really gone, and the request path
/// ejects failing instances independently.
fn checks_unreliable(input: &Input<'_>) -> bool {
    let serving = || {
        input
            .rows
            .values()
            .filter(|row| row.state == State::Serving)
    };
    let failing = serving()
        .filter(|row| checks_of(input, row).bad >= input.limits.bad_checks)
        .count();
    failing >= UNRELIABLE_CHECKS_MIN_FAILURES && failing * 2 > serving().count()
}

fn checks_of(input: &Input<'_>, row: &Row) -> Checks {
    input.checks.get(&row.id).copied().unwrap_or_default()
}

fn put(row: Row, reason: &str) -> Action {
    Action::Put {
        row,
        reason: reason.into(),
    }
}

/// One row with the input of the step.
struct InstanceStep<'a> {
    input: &'a Input<'a>,
    row: &'a Row,
    checks_unreliable: bool,
}

impl InstanceStep<'_> {
    fn next_actions(&self) -> Vec<Action> {
        if let Some(actions) = self.platform_removal() {
            return actions;
        }
        match self.row.state {
            State::Arriving => self.arriving(),
            State::Probation => self.probation(),
            State::Serving => self.serving(),
            State::Draining => self.draining(),
            State::Maintenance => self.maintenance(),
            State::Quarantined => self.quarantined(),
            State::Leaving => Vec::new(),
        }
    }

    fn listed(&self) -> Option<&Listed> {
        self.input.listed.get(&self.row.id)
    }

    fn phase(&self) -> Option<Phase> {
        self.listed().map(|listed| listed.phase)
    }

    fn version(&self) -> Seq {
        // No entry can have acknowledged a row without a known version.
        let version = self.input.versions.get(&self.row.id);
        version.copied().unwrap_or(Seq(u64::MAX))
    }

    fn checks(&self) -> Checks {
        checks_of(self.input, self.row)
    }

    fn checks_pass(&self) -> bool {
        self.checks().good >= self.input.limits.good_checks
    }

    fn checks_fail(&self) -> bool {
        self.checks().bad >= self.input.limits.bad_checks
    }

    fn is_drained(&self) -> bool {
        drained_by_all(self.input.entries, &self.row.id, self.version())
    }

    fn age(&self) -> std::time::Duration {
        self.input.now.since(self.row.since)
    }

    fn row_in(&self, state: State) -> Row {
        transition(self.row, state, self.input.now)
    }

    fn put_in(&self, state: State, reason: &str) -> Vec<Action> {
        vec![put(self.row_in(state), reason)]
    }

    /// Actions if the platform is removing or has removed the instance, whatever its state.
    fn platform_removal(&self) -> Option<Vec<Action>> {
        let gone = match self.phase()? {
            Phase::Gone => true,
            Phase::Leaving => false,
            Phase::Live | Phase::Rebooting => return None,
        };
        match self.row.state {
            // The row is deleted last: an entry with an old view still sends to the instance, and
            // its name could be reused in another pool.
            State::Leaving if gone && acknowledged_by_all(self.input.entries, self.version()) => {
                let id = self.row.id.clone();
                Some(vec![Action::Delete { id }])
            }
            State::Leaving => Some(Vec::new()),
            State::Serving if !gone => Some(self.begin_leaving(State::Draining)),
            State::Draining if !gone && self.row.purpose != Some(Purpose::Leave) => {
                Some(self.begin_leaving(State::Draining))
            }
            State::Draining if !gone && !self.is_drained() => Some(Vec::new()),
            _ => Some(self.begin_leaving(State::Leaving)),
        }
    }

    fn begin_leaving(&self, state: State) -> Vec<Action> {
        let entered = if self.row.state == state {
            self.row.clone()
        } else {
            self.row_in(state)
        };
        let row = Row {
            purpose: Some(Purpose::Leave),
            ..entered
        };
        vec![put(row, "the platform takes it away")]
    }

    fn arriving(&self) -> Vec<Action> {
        if self.phase() == Some(Phase::Live) {
            return self.put_in(State::Probation, "it is live");
        }
        Vec::new()
    }

    fn probation(&self) -> Vec<Action> {
        if self.input.marks.contains_key(&self.row.id) {
            let id = self.row.id.clone();
            return vec![Action::Unmark { id }];
        }
        if self.checks_fail() {
            return self.put_in(State::Quarantined, "it fails its checks in probation");
        }
        let is_late = self.age() > self.input.limits.probation();
        if is_late && !self.checks_pass() && self.checks().bad > 0 {
            return self.put_in(State::Quarantined, "its checks do not settle");
        }
        if !self.checks_pass() || self.phase() == Some(Phase::Rebooting) {
            return Vec::new();
        }
        if self.row.pool.is_none() {
            return self.finish_spare_maintenance();
        }
        let row = Row {
            purpose: None,
            ..self.row_in(State::Serving)
        };
        vec![put(row, "its checks are good")]
    }

    /// A spare stays in probation. Its purpose is cleared, or its wave would wait for it forever.
    fn finish_spare_maintenance(&self) -> Vec<Action> {
        if self.row.purpose.is_none() {
            return Vec::new();
        }
        let row = Row {
            purpose: None,
            ..self.row.clone()
        };
        vec![put(row, "its checks are good")]
    }

    fn serving(&self) -> Vec<Action> {
        if self.phase() == Some(Phase::Rebooting) {
            return self.put_in(State::Quarantined, "it reboots unasked");
        }
        if self.checks_fail() && !self.checks_unreliable {
            return self.put_in(State::Quarantined, "it fails its checks");
        }
        Vec::new()
    }

    fn draining(&self) -> Vec<Action> {
        if self.checks_fail() && !self.checks_unreliable {
            return self.quarantine_draining();
        }
        if !self.is_drained() {
            return Vec::new();
        }
        match &self.row.purpose {
            Some(Purpose::Move(pool)) => {
                let row = Row {
                    pool: Some(pool.clone()),
                    purpose: None,
                    ..self.row_in(State::Serving)
                };
                vec![put(row, "it is empty and moves")]
            }
            Some(Purpose::Wave(_)) => self.begin_maintenance(),
            Some(Purpose::Leave) => self.put_in(State::Leaving, "it is empty and leaves"),
            Some(Purpose::Operator) | None => Vec::new(),
        }
    }

    /// Quarantines a draining instance that fails its checks.
    ///
    /// The mark of an earlier reboot is deleted. Otherwise the next list would seem to show a
    /// reboot that did not happen, and the wave would count the instance as maintained.
    fn quarantine_draining(&self) -> Vec<Action> {
        let mut actions = self.put_in(State::Quarantined, "it fails its checks while it drains");
        if self.input.marks.contains_key(&self.row.id) {
            let id = self.row.id.clone();
            actions.push(Action::Unmark { id });
        }
        actions
    }

    fn begin_maintenance(&self) -> Vec<Action> {
        let Some(listed) = self.listed() else {
            return Vec::new();
        };
        let mark = Action::Mark {
            id: self.row.id.clone(),
            boots: listed.boots,
        };
        let row = self.row_in(State::Maintenance);
        vec![put(row, "it is empty and reboots"), mark]
    }

    fn maintenance(&self) -> Vec<Action> {
        let Some(listed) = self.listed() else {
            return self.quarantine_if_overdue();
        };
        let Some(&boots) = self.input.marks.get(&self.row.id) else {
            let id = self.row.id.clone();
            let boots = listed.boots;
            return vec![Action::Mark { id, boots }];
        };
        if self.has_rebooted() {
            let row = Row {
                maintained: Some(self.input.now),
                ..self.row_in(State::Probation)
            };
            return vec![put(row, "it has rebooted")];
        }
        if self.age() > self.input.limits.maintenance() {
            return self.quarantine_if_overdue();
        }
        if listed.phase == Phase::Live && listed.boots == boots {
            let id = self.row.id.clone();
            return vec![Action::Reboot { id, boots }];
        }
        Vec::new()
    }

    fn quarantine_if_overdue(&self) -> Vec<Action> {
        if self.age() > self.input.limits.maintenance() {
            return self.put_in(State::Quarantined, "it has not come back from its reboot");
        }
        Vec::new()
    }

    fn has_rebooted(&self) -> bool {
        let mark = self.input.marks.get(&self.row.id);
        self.listed()
            .zip(mark)
            .is_some_and(|(listed, mark)| listed.phase == Phase::Live && listed.boots > *mark)
    }

    /// The reboot that was marked and has not happened yet.
    ///
    /// A controller that was paused after writing the mark may still request the reboot when it
    /// resumes. The platform would carry it out, since the boot count has not changed, and a
    /// serving instance would go down with requests in flight. So the instance reboots before it
    /// serves.
    fn pending_reboot(&self) -> Option<Action> {
        let boots = *self.input.marks.get(&self.row.id)?;
        let is_pending = self.listed().is_some_and(|listed| listed.boots == boots);
        let id = self.row.id.clone();
        is_pending.then_some(Action::Reboot { id, boots })
    }

    fn quarantined(&self) -> Vec<Action> {
        let by_operator = self.row.purpose == Some(Purpose::Operator);
        if by_operator || !self.checks_pass() || self.phase() != Some(Phase::Live) {
            return Vec::new();
        }
        if let Some(reboot) = self.pending_reboot() {
            return vec![reboot];
        }
        let in_wave = matches!(self.row.purpose, Some(Purpose::Wave(_)));
        let maintained = if in_wave && self.has_rebooted() {
            Some(self.input.now)
        } else {
            self.row.maintained
        };
        let row = Row {
            maintained,
            ..self.row_in(State::Probation)
        };
        vec![put(row, "its checks are good again")]
    }
}
