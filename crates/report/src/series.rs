//! Instances of each pool over time, for the plot.

use primroseroute_domain::{id, instance::State, time::Instant};
use primroseroute_fleet::{Fleet, placement};
use std::collections::BTreeMap;

/// What a pool had from an instant on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Point {
    /// Since when.
    pub at: Instant,
    /// Instances that serve.
    pub serving: u32,
    /// Instances that are promised.
    pub promised: u32,
    /// Instances that are held, also while they reboot.
    pub held: u32,
}

/// Each pool's points in the order of time; only changes, the first at the period's start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Series {
    /// The points of each pool that was promised in the period.
    pub pools: BTreeMap<id::Pool, Vec<Point>>,
}

impl Series {
    /// Takes in the fleet as it is from `at` on.
    pub(crate) fn observe(&mut self, fleet: &Fleet, at: Instant) {
        let mut now: BTreeMap<&id::Pool, Point> = BTreeMap::new();
        // A pool that is no more ends at zero.
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

/// A later change of the same instant takes the place of the earlier one.
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
