//! Adding up what lies inside the period.

use crate::{
    report::{Line, Period, Report, add},
    rows::Rows,
    series::Series,
    wave::{Waves, covered},
};
use primroseroute_domain::{id, time::Instant};
use primroseroute_fleet::{Fleet, measure::Meter, placement::Weights};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// What was added up so far.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    weights: Weights,
    /// Until when time was added up.
    now: Instant,
    changes: u64,
    meter: Meter,
    waves: Waves,
    series: Series,
    /// How long each pool was covered by a wave.
    pools: BTreeMap<id::Pool, Duration>,
    /// The same for each account.
    accounts: BTreeMap<id::Account, Duration>,
}

impl Tally {
    /// Begins at `from` with the rows as they are then.
    pub(crate) fn begin(rows: &Rows, from: Instant, weights: Weights) -> Self {
        let mut tally = Self {
            weights,
            now: from,
            changes: 0,
            meter: Meter::new(weights),
            waves: Waves::default(),
            series: Series::default(),
            pools: BTreeMap::new(),
            accounts: BTreeMap::new(),
        };
        tally.observe(rows, from);
        tally
    }

    /// Adds the time until `at`, in which the rows were `rows`.
    pub(crate) fn pass(&mut self, rows: &Rows, at: Instant) {
        let time = at.since(self.now);
        self.now = at;
        let running = rows.waves.values().filter(|wave| wave.ended.is_none());
        let pools: BTreeSet<_> = running
            .flat_map(|wave| covered(&rows.fleet, wave))
            .collect();
        let accounts: BTreeSet<_> = pools
            .iter()
            .filter_map(|pool| rows.owners.get(*pool))
            .collect();
        for pool in pools {
            *self.pools.entry(pool.clone()).or_default() += time;
        }
        for account in accounts {
            *self.accounts.entry(account.clone()).or_default() += time;
        }
    }

    /// Takes in a change at `at`, from `before` to `rows`.
    pub(crate) fn change(&mut self, before: &Fleet, rows: &Rows, at: Instant) {
        self.changes += 1;
        self.observe(rows, at);
        self.waves.count_maintained(before, &rows.fleet);
    }

    fn observe(&mut self, rows: &Rows, at: Instant) {
        self.meter.observe(&rows.fleet, at);
        let waves = rows.waves.values();
        self.waves.observe(&rows.fleet, waves, at, self.weights);
        self.series.observe(&rows.fleet, at);
    }

    /// Ends at the period's end with the rows as they are then.
    pub(crate) fn end(mut self, rows: &Rows, period: Period) -> (Report, Series) {
        self.pass(rows, period.to);
        self.observe(rows, period.to);
        let measured = self.meter.report();
        let mut pools = BTreeMap::<_, Line>::new();
        for pool in self.series.pools.keys() {
            pools.entry(pool.clone()).or_default().cost =
                measured.pools.get(pool).copied().unwrap_or_default();
        }
        let mut accounts = BTreeMap::<_, Line>::new();
        for (pool, line) in &mut pools {
            let time = self.pools.get(pool).copied().unwrap_or_default();
            line.rollout_seconds = time.as_secs_f64();
            if let Some(owner) = rows.owners.get(pool) {
                let account = accounts.entry(owner.clone()).or_default();
                account.cost = add(account.cost, line.cost);
            }
        }
        for (account, line) in &mut accounts {
            let time = self.accounts.get(account).copied().unwrap_or_default();
            line.rollout_seconds = time.as_secs_f64();
        }
        let owners = rows.owners.iter();
        let owners = owners.filter(|(pool, _owner)| pools.contains_key(*pool));
        let report = Report {
            period,
            changes: self.changes,
            accounts,
            owners: owners
                .map(|(pool, owner)| (pool.clone(), owner.clone()))
                .collect(),
            pools,
            waves: self.waves.end(period),
            spare_slot_hours: measured.spare_slot_hours,
        };
        (report, self.series)
    }
}
