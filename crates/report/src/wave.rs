//! Costs of waves during their roll-out.

use crate::report::{Period, Wave, add};
use primroseroute_domain::{id, instance::Purpose, time::Instant};
use primroseroute_fleet::{
    Fleet,
    measure::{Cost, Meter, rollout_duration},
    placement::Weights,
    wave,
};
use std::collections::{BTreeMap, BTreeSet};

/// Pools of which `wave` covers an instance.
pub(crate) fn covered<'a>(fleet: &'a Fleet, wave: &wave::Row) -> BTreeSet<&'a id::Pool> {
    let covered = fleet
        .rows
        .values()
        .filter(|row| wave.order.scope.covers(row));
    covered.filter_map(|row| row.pool.as_ref()).collect()
}

/// Identifies a wave by its start and name, since a name may be reused once its wave has ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaveKey {
    started: Instant,
    id: id::Wave,
}

#[derive(Clone, Debug)]
struct TrackedWave {
    row: wave::Row,
    meter: Meter,
    pools: BTreeSet<id::Pool>,
    maintained: u32,
}

/// Tracks the waves that had not ended before the period.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaveTracker(BTreeMap<WaveKey, TrackedWave>);

impl WaveTracker {
    /// Records the state of the rows from `at` on.
    pub(crate) fn observe<'a>(
        &mut self,
        fleet: &Fleet,
        rows: impl Iterator<Item = &'a wave::Row>,
        at: Instant,
        weights: Weights,
    ) {
        // This adds the last interval of a wave that ended with this change, or whose row was deleted.
        for tracked in self
            .0
            .values_mut()
            .filter(|tracked| tracked.row.ended.is_none())
        {
            tracked.meter.observe(fleet, at);
        }
        for row in rows {
            let key = WaveKey {
                started: row.started,
                id: row.id().clone(),
            };
            if !self.0.contains_key(&key) {
                if row.ended.is_some() {
                    continue;
                }
                self.0
                    .insert(key.clone(), TrackedWave::begin(row, fleet, at, weights));
            }
            if let Some(tracked) = self.0.get_mut(&key) {
                tracked.row = row.clone();
                if row.ended.is_none() {
                    let pools = covered(fleet, row).into_iter().cloned();
                    tracked.pools.extend(pools);
                }
            }
        }
    }

    /// Counts instances whose maintenance by a wave finished between two states of the rows.
    pub(crate) fn count_maintained(&mut self, before: &Fleet, after: &Fleet) {
        for (name, row) in &after.rows {
            let Some(old) = before.rows.get(name) else {
                continue;
            };
            let Some(Purpose::Wave(id)) = &old.purpose else {
                continue;
            };
            if row.maintained > old.maintained {
                // The latest wave of that name is the one that took the instance out.
                let found = self.0.iter_mut().rfind(|(key, _tracked)| key.id == *id);
                if let Some((_key, tracked)) = found {
                    tracked.maintained += 1;
                }
            }
        }
    }

    /// The costs of the waves as of the period's end.
    pub(crate) fn end(self, period: Period) -> Vec<Wave> {
        let lines = self
            .0
            .into_values()
            .map(|tracked| tracked.into_report(period));
        lines.collect()
    }
}

impl TrackedWave {
    fn begin(row: &wave::Row, fleet: &Fleet, at: Instant, weights: Weights) -> Self {
        let mut meter = Meter::new(weights);
        meter.observe(fleet, at);
        Self {
            row: row.clone(),
            meter,
            pools: BTreeSet::new(),
            maintained: 0,
        }
    }

    fn into_report(self, period: Period) -> Wave {
        let costs = &self.meter.report().pools;
        let of_pool = |pool| costs.get(pool).copied().unwrap_or_default();
        let cost = self.pools.iter().map(of_pool).fold(Cost::default(), add);
        Wave {
            id: self.row.id().clone(),
            state: self.row.state,
            started: self.row.started,
            ended: self.row.ended,
            cost,
            rollout_seconds: rollout_duration(&self.row, period.to).as_secs_f64(),
            maintained: self.maintained,
            pools: self.pools,
        }
    }
}
