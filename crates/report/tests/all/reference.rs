//! A reference implementation: rebuilds the rows from the whole trail for every millisecond.

use primroseroute_domain::{
    account::Template,
    change::Record,
    id,
    instance::{Purpose, Row, SLOTS, State},
    time::Instant,
};
use primroseroute_fleet::wave;
use primroseroute_ledger::Versioned;
use primroseroute_report::Period;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};

/// One millisecond, in hours.
const TICK_HOURS: f64 = 1.0 / 3_600_000.0;

/// Identifies a wave by its start and name.
pub type WaveKey = (u64, String);

/// Sums per pool, account and wave.
#[derive(Debug, Default)]
pub struct Sums {
    pub changes: u64,
    pub buffer: BTreeMap<id::Pool, f64>,
    pub moves: BTreeMap<id::Pool, u32>,
    pub spare: f64,
    pub pool_seconds: BTreeMap<id::Pool, f64>,
    pub account_seconds: BTreeMap<id::Account, f64>,
    pub wave_pools: BTreeMap<WaveKey, BTreeSet<id::Pool>>,
    pub wave_buffer: BTreeMap<WaveKey, BTreeMap<id::Pool, f64>>,
    pub wave_moves: BTreeMap<WaveKey, BTreeMap<id::Pool, u32>>,
}

/// The rows after a prefix of the records.
#[derive(Debug, Default)]
struct Rows {
    instances: BTreeMap<String, Row>,
    templates: BTreeMap<String, Template>,
    waves: BTreeMap<String, wave::Row>,
    owners: BTreeMap<id::Pool, id::Account>,
}

fn value<T: DeserializeOwned>(text: &str) -> T {
    serde_json::from_str::<Versioned<T>>(text)
        .expect("valid row")
        .value
}

fn set<T: DeserializeOwned>(map: &mut BTreeMap<String, T>, name: &str, after: Option<&str>) {
    match after {
        Some(text) => map.insert(name.to_owned(), value(text)),
        None => map.remove(name),
    };
}

impl Rows {
    fn after(records: &[Record]) -> Self {
        let mut rows = Self::default();
        for edit in records.iter().flat_map(|record| &record.edits) {
            let (kind, name) = edit.key.split_once('/').expect("keys have a prefix");
            let after = edit.after.as_deref();
            match kind {
                "instance" => set(&mut rows.instances, name, after),
                "account" => set(&mut rows.templates, name, after),
                "wave" => set(&mut rows.waves, name, after),
                _ => {}
            }
            for template in rows
                .templates
                .values()
                .filter(|t| t.account.as_str() == name)
            {
                for pool in &template.pools {
                    rows.owners
                        .insert(pool.name.clone(), template.account.clone());
                }
            }
        }
        rows
    }

    fn promised(&self) -> BTreeMap<id::Pool, u32> {
        let pools = self.templates.values().flat_map(|template| &template.pools);
        pools
            .map(|pool| (pool.name.clone(), pool.budget.promised))
            .collect()
    }

    fn held(&self, pool: &id::Pool) -> u32 {
        let holds = |row: &&Row| match (row.state, &row.purpose) {
            (State::Arriving | State::Quarantined | State::Leaving, _)
            | (State::Draining, Some(Purpose::Leave)) => false,
            (State::Draining, Some(Purpose::Move(to))) => to == pool,
            _ => row.pool.as_ref() == Some(pool),
        };
        self.instances
            .values()
            .filter(holds)
            .count()
            .try_into()
            .expect("fits a u32")
    }

    fn buffers(&self) -> BTreeMap<id::Pool, f64> {
        let slots = |(pool, promised): (id::Pool, u32)| {
            let beyond = self.held(&pool).saturating_sub(promised);
            (pool, f64::from(beyond * SLOTS))
        };
        self.promised().into_iter().map(slots).collect()
    }

    fn running(&self) -> impl Iterator<Item = (WaveKey, &wave::Row)> {
        let running = self.waves.values().filter(|wave| wave.ended.is_none());
        running.map(|wave| ((wave.started.0, wave.id().to_string()), wave))
    }

    fn covered(&self, wave: &wave::Row) -> BTreeSet<id::Pool> {
        let pools = &wave.order.scope.pools;
        let in_scope = |pool: &&id::Pool| pools.is_empty() || pools.contains(*pool);
        let held = self.instances.values().filter_map(|row| row.pool.as_ref());
        held.filter(in_scope).cloned().collect()
    }
}

/// Times of the records, each at least that of the one before.
fn times(records: &[Record]) -> Vec<Instant> {
    let mut latest = Instant(0);
    let mut time = |record: &Record| {
        latest = latest.max(record.at);
        latest
    };
    records.iter().map(&mut time).collect()
}

/// Computes the costs of `records` over `period`.
pub fn sums(records: &[Record], period: Period) -> Sums {
    let mut sums = Sums::default();
    let times = times(records);
    let count_until = |at: Instant| times.iter().filter(|time| **time <= at).count();
    for tick in period.from.0..period.to.0 {
        add_tick(
            &mut sums,
            &Rows::after(&records[..count_until(Instant(tick))]),
        );
    }
    let first = count_until(period.from);
    add_covered(&mut sums, &Rows::after(&records[..first]));
    for (index, time) in times.iter().enumerate().skip(first) {
        if *time < period.to {
            let (old, new) = (
                Rows::after(&records[..index]),
                Rows::after(&records[..=index]),
            );
            add_change(&mut sums, &old, &new);
        }
    }
    sums
}

fn add_tick(sums: &mut Sums, rows: &Rows) {
    for (pool, slots) in rows.buffers() {
        *sums.buffer.entry(pool).or_default() += slots * TICK_HOURS;
    }
    let spares = rows.instances.values();
    let spares = spares.filter(|row| row.pool.is_none() && row.state == State::Probation);
    sums.spare += spares.count() as f64 * f64::from(SLOTS) * TICK_HOURS;
    let mut pools = BTreeSet::new();
    for (name, wave) in rows.running() {
        pools.extend(rows.covered(wave));
        let of_wave = sums.wave_buffer.entry(name).or_default();
        for (pool, slots) in rows.buffers() {
            *of_wave.entry(pool).or_default() += slots * TICK_HOURS;
        }
    }
    let accounts: BTreeSet<_> = pools
        .iter()
        .filter_map(|pool| rows.owners.get(pool))
        .collect();
    for account in accounts {
        *sums.account_seconds.entry(account.clone()).or_default() += 0.001;
    }
    for pool in pools {
        *sums.pool_seconds.entry(pool).or_default() += 0.001;
    }
}

fn add_covered(sums: &mut Sums, rows: &Rows) {
    for (name, wave) in rows.running() {
        let pools = sums.wave_pools.entry(name).or_default();
        pools.extend(rows.covered(wave));
    }
}

fn add_change(sums: &mut Sums, old: &Rows, new: &Rows) {
    sums.changes += 1;
    add_covered(sums, new);
    for (name, row) in &new.instances {
        let Some(before) = old.instances.get(name) else {
            continue;
        };
        if let (Some(from), Some(to)) = (&before.pool, &row.pool)
            && from != to
        {
            *sums.moves.entry(to.clone()).or_default() += 1;
            for (name, _wave) in old.running() {
                let moves = sums.wave_moves.entry(name).or_default();
                *moves.entry(to.clone()).or_default() += 1;
            }
        }
    }
}
