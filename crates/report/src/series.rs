//! Time series of each pool's instances, for the plot.

use primroseroute_domain::{id, instance::State, time::Instant};
use primroseroute_fleet::{Fleet, placement};
use std::collections::BTreeMap;

/// Instances of a pool from a point in time until the next point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Point {
    /// Start of the interval.
    pub at: Instant,
    /// Instances that serve.
    pub serving: u32,
    /// Instances that the availability budget promises.
    pub promised: u32,
    /// Instances that the pool holds, including those that reboot.
    pub held: u32,
}

/// Points of each pool, ordered by time: one at the period's start and one for each change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Series {
    /// Points of each pool that had an availability budget within the period.
    pub pools: BTreeMap<id::Pool, Vec<Point>>,
}

impl Series {
    /// Records the state of the fleet from `at` on.
    pub(crate) fn observe(&mut self, fleet: &Fleet, at: Instant) {
        let mut now: BTreeMap<&id::Pool, Point> = BTreeMap::new();
        // A deleted pool ends at zero.
        for pool in self.pools.keys().chain(fleet.budgets.keys()) {
            let promised = fleet.budgets.get(pool).map_or(0, |budget| budget.promised);
            let point = Point {
                at,
                serving: 0,
                promised,
                held: 0,
            };
            now.insert(pool, point);
        }
        for row in fleet.rows.values() {
            let serves = row.state == State::Serving;
            if let Some(point) = row.pool.as_ref().and_then(|pool| now.get_mut(pool)) {
                point.serving += u32::from(serves);
            }
            if let Some(point) =
                placement::effective_pool(fleet, row).and_then(|pool| now.get_mut(pool))
            {
                point.held += 1;
            }
        }
        let now: Vec<(id::Pool, Point)> = now
            .into_iter()
            .map(|(pool, point)| (pool.clone(), point))
            .collect();
        for (pool, point) in now {
            push(self.pools.entry(pool).or_default(), point);
        }
    }
}

/// Appends a point if it differs from the last; of several at the same time only the last is kept.
fn push(points: &mut Vec<Point>, point: Point) {
    if points.last().is_some_and(|last| last.at == point.at) {
        points.pop();
    }
    let same = |last: &Point| {
        Point {
            at: point.at,
            ..*last
        } == point
    };
    if !points.last().is_some_and(same) {
        points.push(point);
    }
}
