//! The workers of a pool and the selection among them.
//!
//! Workers are kept in buckets by the number of free slots that this entry may use there. Selection
//! picks a random worker from the non-empty bucket with the most free slots, in constant time for
//! any pool size. Preferring workers with the most free slots leaves each worker's other slots to
//! their owners, and the random choice keeps entries from sending to the same worker in lockstep.

use crate::{
    health::{Health, Status},
    quota::ownership::Slot,
    view::Member,
};
use primroseroute_domain::{id, instance::SLOTS};
use rand::RngExt;
use std::collections::BTreeMap;

/// Workers examined per bucket for one that suits a retry; more than the attempts of a request, so
/// that a worker that has not failed it yet is found if there is one.
const MAX_CANDIDATES: usize = 8;

/// Bucket of workers that await a probe; the other buckets are indexed by free slots.
const PROBE_BUCKET: usize = SLOTS as usize + 1;

/// Index of a worker in the [`Set`]; stable as long as the worker is in the set.
pub type Index = usize;

/// State of one worker at this entry.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Name of the instance.
    pub id: id::Instance,
    /// Lifecycle state and location.
    pub member: Member,
    /// Requests that this entry has in flight there.
    pub in_flight: u32,
    /// Number of slots that this entry may use there.
    pub quota: u32,
    /// All slots of the worker, with their owners.
    pub slots: Vec<Slot>,
    /// Health record.
    pub health: Health,
    /// Whether it is in the view; a removed worker stays until it has no requests in flight.
    pub is_in_view: bool,
    position: Option<BucketPosition>,
}

#[derive(Clone, Copy, Debug)]
struct BucketPosition {
    bucket: usize,
    offset: usize,
}

impl Worker {
    /// Whether the view allows new requests.
    pub fn is_serving(&self) -> bool {
        self.is_in_view && self.member.state.takes_requests()
    }

    /// Whether it was ejected and has not yet passed a probe.
    pub fn is_ejected(&self) -> bool {
        self.health.status() != Status::Healthy
    }

    fn contribution(&self) -> Totals {
        if !self.is_serving() {
            return Totals::default();
        }
        let is_ejected = self.is_ejected();
        Totals {
            serving: 1,
            slots: if is_ejected { 0 } else { self.quota },
            ejected: usize::from(is_ejected),
        }
    }

    fn bucket(&self) -> Option<usize> {
        if !self.is_serving() {
            return None;
        }
        let free = self.quota.saturating_sub(self.in_flight) as usize;
        match self.health.status() {
            Status::Healthy if free > 0 => Some(free.min(SLOTS as usize)),
            Status::Probing if free > 0 && self.in_flight == 0 => Some(PROBE_BUCKET),
            _ => None,
        }
    }
}

/// Totals over the serving workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Number of serving workers.
    pub serving: usize,
    /// Slots that this entry may use at serving workers that are not ejected.
    pub slots: u32,
    /// Number of serving workers that are ejected or being probed.
    pub ejected: usize,
}

/// Request properties that affect the selection.
#[derive(Clone, Copy, Debug)]
pub struct Preferences<'a> {
    /// Whether the request is idempotent, and so preferred as a probe.
    pub idempotent: bool,
    /// Workers that have failed this request, the most recent last.
    pub tried: &'a [Index],
}

/// The workers of one pool.
#[derive(Clone, Debug, Default)]
pub struct Set {
    workers: Vec<Option<Worker>>,
    index: BTreeMap<id::Instance, Index>,
    free_indices: Vec<Index>,
    buckets: [Vec<Index>; PROBE_BUCKET + 1],
    totals: Totals,
}

impl Set {
    /// Index of a worker by name.
    pub fn find(&self, id: &id::Instance) -> Option<Index> {
        self.index.get(id).copied()
    }

    /// The worker at `index`, if it is still in the set.
    pub fn get(&self, index: Index) -> Option<&Worker> {
        self.workers.get(index)?.as_ref()
    }

    /// All workers, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.index.values().filter_map(|&index| self.get(index))
    }

    /// The indices of all workers, sorted by name.
    pub fn indices(&self) -> Vec<Index> {
        self.index.values().copied().collect()
    }

    /// Changes a worker and updates totals and buckets.
    pub fn change<T>(&mut self, index: Index, change: impl FnOnce(&mut Worker) -> T) -> Option<T> {
        let worker = self.workers.get_mut(index)?.as_mut()?;
        let before = worker.contribution();
        let result = change(worker);
        let after = worker.contribution();
        let is_gone = !worker.is_in_view && worker.in_flight == 0;
        self.totals.serving = self.totals.serving + after.serving - before.serving;
        self.totals.slots = self.totals.slots + after.slots - before.slots;
        self.totals.ejected = self.totals.ejected + after.ejected - before.ejected;
        self.update_bucket(index);
        if is_gone {
            self.remove(index);
        }
        Some(result)
    }

    /// Adds a worker, or updates its state.
    pub fn upsert(&mut self, id: &id::Instance, member: Member) -> Index {
        let index = self
            .find(id)
            .unwrap_or_else(|| self.insert(id, member.clone()));
        self.change(index, |worker| {
            let was_serving = worker.is_serving();
            worker.member = member;
            worker.is_in_view = true;
            if worker.is_serving() && !was_serving {
                // It was rebooted or checked, so its earlier record no longer applies.
                worker.health = Health::default();
            }
        });
        index
    }

    fn insert(&mut self, id: &id::Instance, member: Member) -> Index {
        let worker = Worker {
            id: id.clone(),
            member,
            in_flight: 0,
            quota: 0,
            slots: Vec::new(),
            health: Health::default(),
            is_in_view: false,
            position: None,
        };
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.workers.push(None);
            self.workers.len() - 1
        });
        self.workers[index] = Some(worker);
        self.index.insert(id.clone(), index);
        index
    }

    fn remove(&mut self, index: Index) {
        if let Some(worker) = self.workers[index].take() {
            self.index.remove(&worker.id);
            self.free_indices.push(index);
        }
    }

    /// Moves a worker to the bucket for its current state.
    fn update_bucket(&mut self, index: Index) {
        let Some(worker) = self.workers[index].as_mut() else {
            return;
        };
        let target = worker.bucket();
        let position = worker.position;
        if position.map(|position| position.bucket) == target {
            return;
        }
        if let Some(position) = position {
            self.remove_from_bucket(position);
        }
        let target = target.map(|bucket| self.add_to_bucket(bucket, index));
        if let Some(worker) = self.workers[index].as_mut() {
            worker.position = target;
        }
    }

    fn add_to_bucket(&mut self, bucket: usize, index: Index) -> BucketPosition {
        self.buckets[bucket].push(index);
        let offset = self.buckets[bucket].len() - 1;
        BucketPosition { bucket, offset }
    }

    fn remove_from_bucket(&mut self, position: BucketPosition) {
        self.buckets[position.bucket].swap_remove(position.offset);
        let Some(&moved) = self.buckets[position.bucket].get(position.offset) else {
            return;
        };
        if let Some(worker) = self.workers[moved].as_mut() {
            worker.position = Some(position);
        }
    }

    /// Totals over the serving workers.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Whether any worker can accept a request now.
    pub fn has_free_slot(&self) -> bool {
        self.buckets.iter().any(|bucket| !bucket.is_empty())
    }

    /// Selects a worker with a free slot.
    ///
    /// An idempotent request prefers a worker that awaits a probe, since the worker may fail it;
    /// other requests probe only if no other worker has a free slot. A retry avoids the workers that
    /// have failed it and prefers a different rack and zone from the last one's.
    pub fn choose(&self, preferences: Preferences<'_>, rng: &mut impl RngExt) -> Option<Index> {
        let open = self.buckets[1..PROBE_BUCKET].iter().rev();
        let probe = std::iter::once(&self.buckets[PROBE_BUCKET]);
        let found = if preferences.idempotent {
            self.search(probe.chain(open), preferences, rng)
        } else {
            self.search(open.chain(probe), preferences, rng)
        };
        found.or_else(|| self.choose_any(rng))
    }

    fn choose_any(&self, rng: &mut impl RngExt) -> Option<Index> {
        let bucket = self
            .buckets
            .iter()
            .rev()
            .find(|bucket| !bucket.is_empty())?;
        Some(bucket[rng.random_range(0..bucket.len())])
    }

    fn search<'a>(
        &self,
        buckets: impl Iterator<Item = &'a Vec<Index>>,
        preferences: Preferences<'_>,
        rng: &mut impl RngExt,
    ) -> Option<Index> {
        let mut fallback = None;
        for bucket in buckets.filter(|bucket| !bucket.is_empty()) {
            let first = rng.random_range(0..bucket.len());
            for step in 0..MAX_CANDIDATES.min(bucket.len()) {
                let index = bucket[(first + step) % bucket.len()];
                if preferences.tried.contains(&index) {
                    continue;
                }
                if self.is_in_other_rack_and_zone(index, preferences.tried.last().copied()) {
                    return Some(index);
                }
                fallback = fallback.or(Some(index));
            }
        }
        fallback
    }

    /// Whether the worker is in a different rack and zone from the one that failed last.
    fn is_in_other_rack_and_zone(&self, index: Index, last: Option<Index>) -> bool {
        let location = |index| self.get(index).map(|worker| &worker.member);
        let (Some(candidate), Some(failed)) = (location(index), last.and_then(location)) else {
            return true;
        };
        candidate.zone != failed.zone && candidate.rack != failed.rack
    }
}
