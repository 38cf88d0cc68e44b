//! The fleet: budgets through planned work, moves, and what is held idle.

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

/// Milliseconds of an hour.
const HOUR: f64 = 3_600_000.0;

/// Rows and budgets as of one change.
#[derive(Clone, Debug, Default)]
struct Table {
    at: Instant,
    rows: BTreeMap<id::Instance, Row>,
    budgets: BTreeMap<id::Pool, Budget>,
    /// Instances that have arrived and not served yet.
    arriving: BTreeSet<id::Instance>,
    waves: BTreeMap<id::Wave, wave::Row>,
}

pub(super) fn judge(events: &[Event], breaches: &mut Vec<Breach>) -> Fleet {
    let mut found = Fleet::default();
    let mut table = Table::default();
    let mut before: Option<FleetSnapshot> = None;
    for event in events {
        let Event::Changed(change) = event else {
            continue;
        };
        if found.changes > 0 {
            let millis = change.at.since(table.at).as_secs_f64() * 1000.0;
            found.buffer_slot_hours += table.idle_slots() * millis / HOUR;
        }
        found.changes += 1;
        tally(&mut table, change, &mut found);
        table.amend(change);
        let moment = table.moment();
        for breach in check::step(before.as_ref(), &moment) {
            found.budget_breaches += 1;
            breaches.push(Breach::Budget {
                seq: change.seq,
                what: format!("{breach:?}"),
            });
        }
        before = Some(moment);
    }
    count_waves(&table, &mut found);
    found
}

fn count_waves(table: &Table, found: &mut Fleet) {
    for wave in table.waves.values() {
        found.waves += 1;
        if let (wave::State::Done, Some(ended)) = (wave.state, wave.ended) {
            let millis = ended.since(wave.started).as_millis();
            found.waves_done += 1;
            found.rollout_ms = found.rollout_ms.max(millis.try_into().unwrap_or(u64::MAX));
        }
    }
}

/// Counts what `change` does to the instances of `table`.
fn tally(table: &mut Table, change: &Change, found: &mut Fleet) {
    for (name, after) in &change.rows {
        let before = table.rows.get(name);
        let Some(after) = after else {
            found.departures += u64::from(before.is_some());
            continue;
        };
        let was = before.map(|row| row.state);
        found.quarantines +=
            u64::from(after.state == State::Quarantined && was != Some(State::Quarantined));
        found.maintained += u64::from(after.maintained > before.and_then(|row| row.maintained));
        let old_pool = before.and_then(|row| row.pool.as_ref());
        found.moves += u64::from(old_pool.is_some() && old_pool != after.pool.as_ref());
        if after.state == State::Arriving {
            table.arriving.insert(name.clone());
        }
        if after.state == State::Serving {
            found.arrivals += u64::from(table.arriving.remove(name));
        }
    }
}

impl Table {
    fn amend(&mut self, change: &Change) {
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

    fn moment(&self) -> FleetSnapshot {
        FleetSnapshot {
            at: self.at,
            rows: self.rows.values().cloned().collect(),
            budgets: self.budgets.clone(),
            ..FleetSnapshot::default()
        }
    }

    /// Slots of instances that serve beyond their pool's promise, or wait for a pool.
    fn idle_slots(&self) -> f64 {
        let spare = self.rows.values().filter(|row| row.pool.is_none()).count();
        let beyond: usize = self
            .budgets
            .iter()
            .map(|(pool, budget)| self.serving(pool).saturating_sub(budget.promised as usize))
            .sum();
        (spare + beyond) as f64 * f64::from(SLOTS)
    }

    fn serving(&self, pool: &id::Pool) -> usize {
        let serves = |row: &&Row| row.state == State::Serving && row.pool.as_ref() == Some(pool);
        self.rows.values().filter(serves).count()
    }
}
