//! What waves cost while they roll out.

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

/// A wave's name and start: a name may be used again once its wave has ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Name {
    started: Instant,
    id: id::Wave,
}

#[derive(Clone, Debug)]
struct Seen {
    row: wave::Row,
    meter: Meter,
    pools: BTreeSet<id::Pool>,
    maintained: u32,
}

/// Waves that had not ended before the period.
#[derive(Clone, Debug, Default)]
pub(crate) struct Waves(BTreeMap<Name, Seen>);

impl Waves {
    /// Takes in the rows as they are from `at` on.
    pub(crate) fn observe<'a>(
        &mut self,
        fleet: &Fleet,
        rows: impl Iterator<Item = &'a wave::Row>,
        at: Instant,
        weights: Weights,
    ) {
        // A wave that ended with this change, or whose row is no more, has its last interval added.
        for seen in self.0.values_mut().filter(|seen| seen.row.ended.is_none()) {
            seen.meter.observe(fleet, at);
        }
        for row in rows {
            let name = Name {
                started: row.started,
                id: row.id().clone(),
            };
            if !self.0.contains_key(&name) {
                if row.ended.is_some() {
                    continue;
                }
                self.0
                    .insert(name.clone(), Seen::begin(row, fleet, at, weights));
            }
            if let Some(seen) = self.0.get_mut(&name) {
                seen.row = row.clone();
                if row.ended.is_none() {
                    let pools = covered(fleet, row).into_iter().cloned();
                    seen.pools.extend(pools);
                }
            }
        }
    }

    /// Counts the instances that waves maintained between two states of the rows.
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
                let found = self.0.iter_mut().rfind(|(name, _seen)| name.id == *id);
                if let Some((_name, seen)) = found {
                    seen.maintained += 1;
                }
            }
        }
    }

    /// The waves as of the period's end.
    pub(crate) fn end(self, period: Period) -> Vec<Wave> {
        let lines = self.0.into_values().map(|seen| seen.line(period));
        lines.collect()
    }
}

impl Seen {
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

    fn line(self, period: Period) -> Wave {
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
