//! The controller of the in-memory cluster: calls the decisions and applies their actions.

use super::{Cluster, Policy};
use primroseroute_domain::instance::{Purpose, Row, State};
use primroseroute_fleet::{
    check::{self, FleetSnapshot},
    lifecycle::{self, Action, Input, Limits},
    placement, wave,
};

impl Cluster {
    pub(super) fn lifecycle(&mut self) {
        let actions = lifecycle::step(&Input {
            rows: &self.fleet.rows,
            versions: &self.versions,
            listed: self.list(),
            checks: &self.checks,
            marks: &self.marks,
            entries: &self.entries,
            limits: Limits::default(),
            now: self.now(),
        });
        let mut rows = Vec::new();
        for action in actions {
            match action {
                Action::Put { row, .. } => rows.push(row),
                Action::Delete { id } => {
                    self.fleet.rows.remove(&id);
                }
                Action::Mark { id, boots } => {
                    self.marks.insert(id, boots);
                }
                Action::Unmark { id } => {
                    self.marks.remove(&id);
                }
                Action::Reboot { id, boots } => self.reboot(&id, boots),
            }
        }
        self.write(rows);
    }

    pub(super) fn wave_step(&mut self) {
        let Some(wave) = self.wave.clone() else {
            return;
        };
        if self.policy == Policy::WholeFleet && wave.state == wave::State::Running {
            return self.whole_fleet(&wave);
        }
        let mut rows = Vec::new();
        for action in wave::step(&self.fleet, &wave, self.now()) {
            match action {
                wave::Action::Put(row) => rows.push(row),
                wave::Action::Wave(row) => self.wave = Some(row),
            }
        }
        self.write(rows);
    }

    /// Baseline policy: drains every serving instance that is not maintained, and ends the wave as
    /// the product does.
    fn whole_fleet(&mut self, wave: &wave::Row) {
        if wave::progress(&self.fleet, wave).is_finished() {
            let actions = wave::step(&self.fleet, wave, self.now());
            if let Some(wave::Action::Wave(row)) = actions.into_iter().next() {
                self.wave = Some(row);
            }
            return;
        }
        let (now, purpose) = (self.now(), Purpose::Wave(wave.id().clone()));
        let waiting = self
            .fleet
            .rows
            .values()
            .filter(|row| row.maintained < Some(wave.started));
        let rows = waiting.filter_map(|row| match (row.state, &row.purpose) {
            (State::Probation, None) => Some(Row {
                state: State::Maintenance,
                purpose: Some(purpose.clone()),
                since: now,
                ..row.clone()
            }),
            _ => lifecycle::drain(row, purpose.clone(), now).ok(),
        });
        let rows = rows.collect();
        self.write(rows);
    }

    pub(super) fn place(&mut self) {
        let plan = placement::plan(&self.fleet, self.weights);
        let rows = placement::start_moves(&self.fleet, &plan, self.now());
        self.write(rows);
    }

    /// Writes `rows` in one transaction.
    pub(super) fn write(&mut self, rows: Vec<Row>) {
        if rows.is_empty() {
            return;
        }
        self.seq = self.seq.next();
        for row in rows {
            self.versions.insert(row.id.clone(), self.seq);
            self.fleet.rows.insert(row.id.clone(), row);
        }
        self.record();
    }

    pub(super) fn record(&mut self) {
        let down = self
            .machines
            .keys()
            .filter(|id| !self.is_up(id))
            .cloned()
            .collect();
        let snapshot = FleetSnapshot {
            at: self.now(),
            rows: self.fleet.rows.values().cloned().collect(),
            budgets: self.fleet.budgets.clone(),
            down,
            known: self.fleet.absent.clone(),
            views: self.views.clone(),
        };
        let found = check::step(self.last.as_ref(), &snapshot);
        self.breaches.extend(found);
        self.last = Some(snapshot);
    }
}
