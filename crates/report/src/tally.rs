//! Sums of costs and times within the period.

use crate::{
    report::{Line, Period, Report, add},
    rows::Rows,
    series::Series,
    wave::{WaveTracker, covered},
};
use primroseroute_domain::{id, time::Instant};
use primroseroute_fleet::{Fleet, measure::Meter, placement::Weights};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// The sums so far.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    weights: Weights,
    /// Time up to which the sums are complete.
    now: Instant,
    changes: u64,
    meter: Meter,
    waves: WaveTracker,
    series: Series,
    /// Time during which a wave covered each pool.
    pools: BTreeMap<id::Pool, Duration>,
    /// Time during which a wave covered a pool of each account.
    accounts: BTreeMap<id::Account, Duration>,
}

impl Tally {
    /// Starts at `from`, when the rows are `rows`.
    pub(crate) fn begin(rows: &Rows, from: Instant, weights: Weights) -> Self {
        let mut tally = Self {
            weights,
            now: from,
            changes: 0,
            meter: Meter::new(weights),
            waves: WaveTracker::default(),
            series: Series::default(),
            pools: BTreeMap::new(),
            accounts: BTreeMap::new(),
        };
        tally.observe(rows, from);
        tally
    }

    /// Adds the time until `at`, during which the rows were `rows`.
    pub(crate) fn advance(&mut self, rows: &Rows, at: Instant) {
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

    /// Records a change at `at`, from `before` to `rows`.
    pub(crate) fn record_change(&mut self, before: &Fleet, rows: &Rows, at: Instant) {
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

    /// Finishes at the period's end, when the rows are `rows`.
    pub(crate) fn end(mut self, rows: &Rows, period: Period) -> (Report, Series) {
        self.advance(rows, period.to);
        self.observe(rows, period.to);
        let costs = self.meter.report();
        let mut pools = BTreeMap::<_, Line>::new();
        for pool in self.series.pools.keys() {
            pools.entry(pool.clone()).or_default().cost =
                costs.pools.get(pool).copied().unwrap_or_default();
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
            spare_slot_hours: costs.spare_slot_hours,
        };
        (report, self.series)
    }
}
