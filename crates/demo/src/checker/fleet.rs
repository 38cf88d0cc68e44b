//! Checks the fleet's history: availability budgets during planned work; counts moves, waves and idle capacity.

use super::{
    event::{Change, Event},
    report::{Breach, Fleet},
};
use primroseroute_domain::{
    account::Budget,
    id,
    instance::{Row, SLOTS, State},
    time::Instant,
};
use primroseroute_fleet::{
    check::{self, FleetSnapshot},
    wave,
};
use std::collections::{BTreeMap, BTreeSet};

const MS_PER_HOUR: f64 = 3_600_000.0;

/// Rows and budgets as of one change.
#[derive(Clone, Debug, Default)]
struct Table {
    at: Instant,
    rows: BTreeMap<id::Instance, Row>,
    budgets: BTreeMap<id::Pool, Budget>,
    /// Instances that have arrived and haven't served yet.
    arriving: BTreeSet<id::Instance>,
    waves: BTreeMap<id::Wave, wave::Row>,
}

pub(super) fn evaluate(events: &[Event], breaches: &mut Vec<Breach>) -> Fleet {
    let mut summary = Fleet::default();
    let mut table = Table::default();
    let mut before: Option<FleetSnapshot> = None;
    for event in events {
        let Event::Changed(change) = event else {
            continue;
        };
        if summary.changes > 0 {
            let millis = change.at.since(table.at).as_secs_f64() * 1000.0;
            summary.buffer_slot_hours += table.idle_slots() * millis / MS_PER_HOUR;
        }
        summary.changes += 1;
        count_instances(&mut table, change, &mut summary);
        table.apply(change);
        let snapshot = table.snapshot();
        for breach in check::step(before.as_ref(), &snapshot) {
            summary.budget_breaches += 1;
            breaches.push(Breach::Budget {
                seq: change.seq,
                what: format!("{breach:?}"),
            });
        }
        before = Some(snapshot);
    }
    count_waves(&table, &mut summary);
    summary
}

fn count_waves(table: &Table, summary: &mut Fleet) {
    for wave in table.waves.values() {
        summary.waves += 1;
        if let (wave::State::Done, Some(ended)) = (wave.state, wave.ended) {
            let millis = ended.since(wave.started).as_millis();
            summary.waves_done += 1;
            summary.rollout_ms = summary
                .rollout_ms
                .max(millis.try_into().unwrap_or(u64::MAX));
        }
    }
}

/// Counts the instances that `change` adds, removes, moves, quarantines or maintains.
fn count_instances(table: &mut Table, change: &Change, summary: &mut Fleet) {
    for (name, after) in &change.rows {
        let before = table.rows.get(name);
        let Some(after) = after else {
            summary.departures += u64::from(before.is_some());
            continue;
        };
        let old_state = before.map(|row| row.state);
        summary.quarantines +=
            u64::from(after.state == State::Quarantined && old_state != Some(State::Quarantined));
        summary.maintained += u64::from(after.maintained > before.and_then(|row| row.maintained));
        let old_pool = before.and_then(|row| row.pool.as_ref());
        summary.moves += u64::from(old_pool.is_some() && old_pool != after.pool.as_ref());
        if after.state == State::Arriving {
            table.arriving.insert(name.clone());
        }
        if after.state == State::Serving {
            summary.arrivals += u64::from(table.arriving.remove(name));
        }
    }
}

impl Table {
    fn apply(&mut self, change: &Change) {
        self.at = change.at;
        for (name, row) in &change.rows {
            match row {
                Some(row) => self.rows.insert(name.clone(), row.clone()),
                None => self.rows.remove(name),
            };
        }
        self.budgets.extend(
            change
                .budgets
                .iter()
                .map(|(pool, budget)| (pool.clone(), *budget)),
        );
        self.waves.extend(change.waves.clone());
    }

    fn snapshot(&self) -> FleetSnapshot {
        FleetSnapshot {
            at: self.at,
            rows: self.rows.values().cloned().collect(),
            budgets: self.budgets.clone(),
            ..FleetSnapshot::default()
        }
    }

    /// Slots of instances that serve beyond their pool's promised capacity or have no pool.
    fn idle_slots(&self) -> f64 {
        let unassigned = self.rows.values().filter(|row| row.pool.is_none()).count();
        let surplus: usize = self
            .budgets
            .iter()
            .map(|(pool, budget)| self.serving(pool).saturating_sub(budget.promised as usize))
            .sum();
        (unassigned + surplus) as f64 * f64::from(SLOTS)
    }

    fn serving(&self, pool: &id::Pool) -> usize {
        let serves = |row: &&Row| row.state == State::Serving && row.pool.as_ref() == Some(pool);
        self.rows.values().filter(serves).count()
    }
}
