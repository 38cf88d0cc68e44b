//! The instances and accounts while starts are chosen.

use super::{Board, sort};
use crate::{
    amount,
    fault::Sort,
    row::Row,
    share::Shares,
    worker::{Availability, Worker},
};
use primroseroute_domain::id;
use primroseroute_platform::task::Resources;
use std::collections::BTreeMap;

/// What one instance can still take.
#[derive(Debug)]
pub(super) struct Room<'a> {
    pub(super) worker: &'a Worker,
    pub(super) free: Resources,
    pub(super) running: u32,
    /// Whether it takes jobs at all; its pressure and its failures are not in this.
    pub(super) open: bool,
    /// Whether something worked on it since its last failure.
    pub(super) proven: bool,
}

/// The instances and accounts while starts are chosen.
#[derive(Debug)]
pub(super) struct Floor<'a> {
    pub(super) rooms: BTreeMap<&'a id::Pool, BTreeMap<&'a id::Instance, Room<'a>>>,
    /// The largest amounts that an instance of each pool has.
    largest: BTreeMap<&'a id::Pool, Resources>,
    pub(super) shares: Shares<'a>,
    /// Runs of each sort that has not worked yet.
    untested: BTreeMap<Sort, u32>,
}

impl<'a> Floor<'a> {
    /// The room of an instance, which may have moved to another pool since the run started.
    fn room_at(&mut self, at: &id::Instance, pool: &id::Pool) -> Option<&mut Room<'a>> {
        let here = self
            .rooms
            .get(pool)
            .is_some_and(|rooms| rooms.contains_key(at));
        if here {
            return self.rooms.get_mut(pool)?.get_mut(at);
        }
        self.rooms.values_mut().find_map(|rooms| rooms.get_mut(at))
    }

    /// Runs of `sort`, as long as it has not worked yet; else 0.
    pub(super) fn untested(&self, sort: &Sort) -> u32 {
        self.untested.get(sort).copied().unwrap_or(0)
    }
}

impl Board {
    /// The floor with every run in its place.
    pub(super) fn floor<'a>(
        &self,
        workers: &'a BTreeMap<id::Instance, Worker>,
        weights: &'a BTreeMap<id::Account, u32>,
    ) -> Floor<'a> {
        let capacities = workers.values().map(|worker| worker.capacity);
        let total = capacities.fold(Resources::default(), amount::add);
        let mut floor = Floor {
            rooms: BTreeMap::new(),
            largest: BTreeMap::new(),
            shares: Shares::new(total, weights),
            untested: BTreeMap::new(),
        };
        for worker in workers.values() {
            let largest = floor.largest.entry(&worker.pool).or_default();
            *largest = amount::most(*largest, worker.capacity);
            let rooms = floor.rooms.entry(&worker.pool).or_default();
            rooms.insert(&worker.id, self.room(worker));
        }
        for job in self.runs.keys() {
            let row = &self.rows[job];
            self.occupy(row, &mut floor);
        }
        floor
    }

    fn room<'a>(&self, worker: &'a Worker) -> Room<'a> {
        Room {
            worker,
            free: worker.capacity,
            running: 0,
            open: worker.availability == Availability::Open
                && !self.quarantined.contains(&worker.id),
            proven: self.faults.is_proven(&worker.id),
        }
    }

    /// Counts the run of `row` where it runs.
    pub(super) fn occupy(&self, row: &Row, floor: &mut Floor<'_>) {
        let size = self.clamped(row, floor);
        floor.shares.add(&row.account, size);
        if let Some(room) = row
            .state
            .instance()
            .and_then(|at| floor.room_at(at, &row.pool))
        {
            room.free = amount::subtract(room.free, size);
            room.running += 1;
        }
        let sort = sort(row);
        if !self.faults.is_known(&sort) {
            *floor.untested.entry(sort).or_default() += 1;
        }
    }

    /// What a job needs, at most the largest instance of its pool.
    ///
    /// A declaration of ten times the truth may be larger than any instance; such a job gets a
    /// whole one, and its first reports say what it needs.
    pub(super) fn clamped(&self, row: &Row, floor: &Floor<'_>) -> Resources {
        let size = self.size(row);
        let largest = floor.largest.get(&row.pool);
        largest.map_or(size, |largest| amount::least(size, *largest))
    }
}
