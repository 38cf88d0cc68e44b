//! One step of the whole fleet.

use super::{Action, Checks, Entry, Limits, acknowledged, emptied, enter};
use primroseroute_domain::{
    change::Seq,
    id,
    instance::{Purpose, Row, State},
    time::Instant,
};
use primroseroute_platform::fleet::{Listed, Phase};
use std::collections::BTreeMap;

/// Fewest serving instances that fail checks together before the checks themselves are doubted.
const DOUBT_FLOOR: usize = 4;

/// Everything that one step reads.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// Every instance's row.
    pub rows: &'a BTreeMap<id::Instance, Row>,
    /// The change that last wrote each row.
    pub versions: &'a BTreeMap<id::Instance, Seq>,
    /// The platform's list; the caller never hands in an older list after a newer one.
    pub listed: &'a BTreeMap<id::Instance, Listed>,
    /// Health checks since the controller began.
    pub checks: &'a BTreeMap<id::Instance, Checks>,
    /// The counts of boots that [`Action::Mark`] kept.
    pub marks: &'a BTreeMap<id::Instance, u64>,
    /// Every registered entry.
    pub entries: &'a [Entry],
    /// The deployment's limits.
    pub limits: Limits,
    /// The time, by the writer's clock.
    pub now: Instant,
}

/// The next step of every instance: arrivals, then rows in order of their names.
pub fn step(input: &Input<'_>) -> Vec<Action> {
    let doubts_checks = doubts_checks(input);
    let rows = input.rows.values().flat_map(|row| {
        let one = One {
            input,
            row,
            doubts_checks,
        };
        one.next()
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

/// Whether so many serving instances fail their checks at once that the checker is the likelier
/// fault.
///
/// A controller that is cut off from the workers sees every check fail. Without this it would
/// quarantine the whole fleet, and every caller would be refused while the workers are well. The
/// platform's list still takes out what is truly gone, and the request path ejects on its own what
/// fails requests.
fn doubts_checks(input: &Input<'_>) -> bool {
    let serving = || {
        input
            .rows
            .values()
            .filter(|row| row.state == State::Serving)
    };
    let failing = serving()
        .filter(|row| checks_of(input, row).bad >= input.limits.bad_checks)
        .count();
    failing >= DOUBT_FLOOR && failing * 2 > serving().count()
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

/// One row with what is known of it.
struct One<'a> {
    input: &'a Input<'a>,
    row: &'a Row,
    doubts_checks: bool,
}

impl One<'_> {
    fn next(&self) -> Vec<Action> {
        if let Some(actions) = self.departs() {
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
        // A row without a known version has been acknowledged by nobody.
        let version = self.input.versions.get(&self.row.id);
        version.copied().unwrap_or(Seq(u64::MAX))
    }

    fn checks(&self) -> Checks {
        checks_of(self.input, self.row)
    }

    fn is_good(&self) -> bool {
        self.checks().good >= self.input.limits.good_checks
    }

    fn is_bad(&self) -> bool {
        self.checks().bad >= self.input.limits.bad_checks
    }

    fn is_emptied(&self) -> bool {
        emptied(self.input.entries, &self.row.id, self.version())
    }

    fn age(&self) -> std::time::Duration {
        self.input.now.since(self.row.since)
    }

    fn enter(&self, state: State) -> Row {
        enter(self.row, state, self.input.now)
    }

    fn go(&self, state: State, reason: &str) -> Vec<Action> {
        vec![put(self.enter(state), reason)]
    }

    /// What the platform's taking the instance away leads to, whatever its state.
    fn departs(&self) -> Option<Vec<Action>> {
        let gone = match self.phase()? {
            Phase::Gone => true,
            Phase::Leaving => false,
            Phase::Live | Phase::Rebooting => return None,
        };
        match self.row.state {
            // The row goes last: an entry with an old view still sends to it, and the name could
            // come back in another pool.
            State::Leaving if gone && acknowledged(self.input.entries, self.version()) => {
                let id = self.row.id.clone();
                Some(vec![Action::Delete { id }])
            }
            State::Leaving => Some(Vec::new()),
            State::Serving if !gone => Some(self.drain_to_leave(State::Draining)),
            State::Draining if !gone && self.row.purpose != Some(Purpose::Leave) => {
                Some(self.drain_to_leave(State::Draining))
            }
            State::Draining if !gone && !self.is_emptied() => Some(Vec::new()),
            _ => Some(self.drain_to_leave(State::Leaving)),
        }
    }

    fn drain_to_leave(&self, state: State) -> Vec<Action> {
        let entered = if self.row.state == state {
            self.row.clone()
        } else {
            self.enter(state)
        };
        let row = Row {
            purpose: Some(Purpose::Leave),
            ..entered
        };
        vec![put(row, "the platform takes it away")]
    }

    fn arriving(&self) -> Vec<Action> {
        if self.phase() == Some(Phase::Live) {
            return self.go(State::Probation, "it is live");
        }
        Vec::new()
    }

    fn probation(&self) -> Vec<Action> {
        if self.input.marks.contains_key(&self.row.id) {
            let id = self.row.id.clone();
            return vec![Action::Unmark { id }];
        }
        if self.is_bad() {
            return self.go(State::Quarantined, "it fails its checks in probation");
        }
        let is_late = self.age() > self.input.limits.probation();
        if is_late && !self.is_good() && self.checks().bad > 0 {
            return self.go(State::Quarantined, "its checks do not settle");
        }
        if !self.is_good() || self.phase() == Some(Phase::Rebooting) {
            return Vec::new();
        }
        if self.row.pool.is_none() {
            return self.spare();
        }
        let row = Row {
            purpose: None,
            ..self.enter(State::Serving)
        };
        vec![put(row, "its checks are good")]
    }

    /// A spare stays in probation; what took it out is over, or its wave would wait for it for ever.
    fn spare(&self) -> Vec<Action> {
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
            return self.go(State::Quarantined, "it reboots unasked");
        }
        if self.is_bad() && !self.doubts_checks {
            return self.go(State::Quarantined, "it fails its checks");
        }
        Vec::new()
    }

    fn draining(&self) -> Vec<Action> {
        if self.is_bad() && !self.doubts_checks {
            return self.fail_draining();
        }
        if !self.is_emptied() {
            return Vec::new();
        }
        match &self.row.purpose {
            Some(Purpose::Move(pool)) => {
                let row = Row {
                    pool: Some(pool.clone()),
                    purpose: None,
                    ..self.enter(State::Serving)
                };
                vec![put(row, "it is empty and moves")]
            }
            Some(Purpose::Wave(_)) => self.begin_maintenance(),
            Some(Purpose::Leave) => self.go(State::Leaving, "it is empty and leaves"),
            Some(Purpose::Operator) | None => Vec::new(),
        }
    }

    /// An older reboot's mark goes, or the next list would show a reboot that never was and the
    /// wave would count an instance as maintained that was not.
    fn fail_draining(&self) -> Vec<Action> {
        let mut actions = self.go(State::Quarantined, "it fails its checks while it drains");
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
        let row = self.enter(State::Maintenance);
        vec![put(row, "it is empty and reboots"), mark]
    }

    fn maintenance(&self) -> Vec<Action> {
        let Some(listed) = self.listed() else {
            return self.overdue();
        };
        let Some(&boots) = self.input.marks.get(&self.row.id) else {
            let id = self.row.id.clone();
            let boots = listed.boots;
            return vec![Action::Mark { id, boots }];
        };
        if self.is_rebooted() {
            let row = Row {
                maintained: Some(self.input.now),
                ..self.enter(State::Probation)
            };
            return vec![put(row, "it has rebooted")];
        }
        if self.age() > self.input.limits.maintenance() {
            return self.overdue();
        }
        if listed.phase == Phase::Live && listed.boots == boots {
            let id = self.row.id.clone();
            return vec![Action::Reboot { id, boots }];
        }
        Vec::new()
    }

    fn overdue(&self) -> Vec<Action> {
        if self.age() > self.input.limits.maintenance() {
            return self.go(State::Quarantined, "it has not come back from its reboot");
        }
        Vec::new()
    }

    fn is_rebooted(&self) -> bool {
        let mark = self.input.marks.get(&self.row.id);
        self.listed()
            .zip(mark)
            .is_some_and(|(listed, mark)| listed.phase == Phase::Live && listed.boots > *mark)
    }

    /// The reboot that was marked and has not happened.
    ///
    /// A controller that was paused since the mark may still ask the platform for it when it wakes
    /// up, and the platform would carry it out, since the count of boots has not moved: a serving
    /// instance would go down with requests in flight. So the instance reboots before it serves.
    fn owed_reboot(&self) -> Option<Action> {
        let boots = *self.input.marks.get(&self.row.id)?;
        let is_owed = self.listed().is_some_and(|listed| listed.boots == boots);
        let id = self.row.id.clone();
        is_owed.then_some(Action::Reboot { id, boots })
    }

    fn quarantined(&self) -> Vec<Action> {
        let by_operator = self.row.purpose == Some(Purpose::Operator);
        if by_operator || !self.is_good() || self.phase() != Some(Phase::Live) {
            return Vec::new();
        }
        if let Some(reboot) = self.owed_reboot() {
            return vec![reboot];
        }
        let was_due = matches!(self.row.purpose, Some(Purpose::Wave(_)));
        let maintained = if was_due && self.is_rebooted() {
            Some(self.input.now)
        } else {
            self.row.maintained
        };
        let row = Row {
            maintained,
            ..self.enter(State::Probation)
        };
        vec![put(row, "its checks are good again")]
    }
}
