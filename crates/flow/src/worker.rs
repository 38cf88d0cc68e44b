//! The workers of a pool and the choice among them.
//!
//! Workers are kept in buckets by the number of slots that this entry may still use there, so the
//! choice looks at the fullest non-empty bucket and draws one worker from it: constant time at any
//! size. Spreading to the most free worker keeps each worker's other slots with their owners, and
//! the draw keeps entries and requests from going to the same worker in step.

use crate::{
    health::{Gate, Health},
    rights::owner::Slot,
    view::Member,
};
use primroseroute_domain::{id, instance::SLOTS};
use rand::RngExt;
use std::collections::BTreeMap;

/// Workers of a bucket that are looked at for one that a retry prefers; more than a request has
/// tries, so one that has not failed it yet is found wherever there is one.
const DRAWS: usize = 8;

/// Bucket of workers that let one probe in; the others hold workers by free slots.
const PROBE: usize = SLOTS as usize + 1;

/// A worker's position in the [`Set`]; it stays the same while the worker is known.
pub type Index = usize;

/// One worker as this entry sees it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its name.
    pub id: id::Instance,
    /// Its place and state.
    pub member: Member,
    /// Requests that this entry has in flight there.
    pub in_flight: u32,
    /// Slots that this entry may use there.
    pub rights: u32,
    /// Its slots, with their owners.
    pub slots: Vec<Slot>,
    /// Its record.
    pub health: Health,
    /// Whether it is in the view; one that has left stays until nothing is in flight.
    pub is_member: bool,
    place: Option<Place>,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    bucket: usize,
    at: usize,
}

impl Worker {
    /// Whether new requests may go to it, as far as the view says.
    pub fn is_serving(&self) -> bool {
        self.is_member && self.member.state.takes_requests()
    }

    /// Whether it was ejected and has not yet passed a probe.
    pub fn is_ejected(&self) -> bool {
        self.health.gate() != Gate::Open
    }

    fn count(&self) -> Totals {
        if !self.is_serving() {
            return Totals::default();
        }
        let is_ejected = self.is_ejected();
        Totals {
            serving: 1,
            slots: if is_ejected { 0 } else { self.rights },
            ejected: usize::from(is_ejected),
        }
    }

    fn bucket(&self) -> Option<usize> {
        if !self.is_serving() {
            return None;
        }
        let free = self.rights.saturating_sub(self.in_flight) as usize;
        match self.health.gate() {
            Gate::Open if free > 0 => Some(free.min(SLOTS as usize)),
            Gate::Probe if free > 0 && self.in_flight == 0 => Some(PROBE),
            _ => None,
        }
    }
}

/// Sums over the workers that the view lets get requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Number of them.
    pub serving: usize,
    /// Slots that this entry may use at those of them that are not ejected.
    pub slots: u32,
    /// Those of them that are ejected or probing.
    pub ejected: usize,
}

/// What a choice is for.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// Whether the request may serve as a probe of a worker that has failed.
    pub idempotent: bool,
    /// Workers that have failed this request, the last one at the end.
    pub tried: &'a [Index],
}

/// The workers of one pool.
#[derive(Clone, Debug, Default)]
pub struct Set {
    workers: Vec<Option<Worker>>,
    index: BTreeMap<id::Instance, Index>,
    vacant: Vec<Index>,
    buckets: [Vec<Index>; PROBE + 1],
    totals: Totals,
}

impl Set {
    /// Position of a worker.
    pub fn find(&self, id: &id::Instance) -> Option<Index> {
        self.index.get(id).copied()
    }

    /// The worker at `index`, if it is still known.
    pub fn get(&self, index: Index) -> Option<&Worker> {
        self.workers.get(index)?.as_ref()
    }

    /// All known workers, in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.index.values().filter_map(|&index| self.get(index))
    }

    /// The positions of all known workers, in order of their names.
    pub fn indices(&self) -> Vec<Index> {
        self.index.values().copied().collect()
    }

    /// Changes a worker and files it anew.
    pub fn change<T>(&mut self, index: Index, change: impl FnOnce(&mut Worker) -> T) -> Option<T> {
        let worker = self.workers.get_mut(index)?.as_mut()?;
        let before = worker.count();
        let result = change(worker);
        let after = worker.count();
        let is_gone = !worker.is_member && worker.in_flight == 0;
        self.totals.serving = self.totals.serving + after.serving - before.serving;
        self.totals.slots = self.totals.slots + after.slots - before.slots;
        self.totals.ejected = self.totals.ejected + after.ejected - before.ejected;
        self.file(index);
        if is_gone {
            self.remove(index);
        }
        Some(result)
    }

    /// Takes a worker in, or its new state.
    pub fn put(&mut self, id: &id::Instance, member: Member) -> Index {
        let index = self
            .find(id)
            .unwrap_or_else(|| self.insert(id, member.clone()));
        self.change(index, |worker| {
            let was_serving = worker.is_serving();
            worker.member = member;
            worker.is_member = true;
            if worker.is_serving() && !was_serving {
                // It comes back from a reboot or a check: what it did before says nothing.
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
            rights: 0,
            slots: Vec::new(),
            health: Health::default(),
            is_member: false,
            place: None,
        };
        let index = self.vacant.pop().unwrap_or_else(|| {
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
            self.vacant.push(index);
        }
    }

    /// Moves a worker to the bucket where it belongs now.
    fn file(&mut self, index: Index) {
        let Some(worker) = self.workers[index].as_mut() else {
            return;
        };
        let target = worker.bucket();
        let place = worker.place;
        if place.map(|place| place.bucket) == target {
            return;
        }
        if let Some(place) = place {
            self.take_out(place);
        }
        let target = target.map(|bucket| self.put_in(bucket, index));
        if let Some(worker) = self.workers[index].as_mut() {
            worker.place = target;
        }
    }

    fn put_in(&mut self, bucket: usize, index: Index) -> Place {
        self.buckets[bucket].push(index);
        let at = self.buckets[bucket].len() - 1;
        Place { bucket, at }
    }

    fn take_out(&mut self, place: Place) {
        self.buckets[place.bucket].swap_remove(place.at);
        let Some(&moved) = self.buckets[place.bucket].get(place.at) else {
            return;
        };
        if let Some(worker) = self.workers[moved].as_mut() {
            worker.place = Some(place);
        }
    }

    /// Sums over the serving workers.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Whether any worker can take a request now.
    pub fn has_free(&self) -> bool {
        self.buckets.iter().any(|bucket| !bucket.is_empty())
    }

    /// A worker with a free slot that suits the wish.
    ///
    /// A probe goes first to an idempotent request, since the worker may fail it; a request that is
    /// not idempotent probes only where no other worker is free. A retry avoids the workers that
    /// have failed it and prefers another rack and zone than the last one's.
    pub fn choose(&self, wish: Wish<'_>, random: &mut impl RngExt) -> Option<Index> {
        let open = self.buckets[1..PROBE].iter().rev();
        let probe = std::iter::once(&self.buckets[PROBE]);
        let found = if wish.idempotent {
            self.search(probe.chain(open), wish, random)
        } else {
            self.search(open.chain(probe), wish, random)
        };
        found.or_else(|| self.any(random))
    }

    fn any(&self, random: &mut impl RngExt) -> Option<Index> {
        let bucket = self
            .buckets
            .iter()
            .rev()
            .find(|bucket| !bucket.is_empty())?;
        Some(bucket[random.random_range(0..bucket.len())])
    }

    fn search<'a>(
        &self,
        buckets: impl Iterator<Item = &'a Vec<Index>>,
        wish: Wish<'_>,
        random: &mut impl RngExt,
    ) -> Option<Index> {
        let mut fallback = None;
        for bucket in buckets.filter(|bucket| !bucket.is_empty()) {
            let from = random.random_range(0..bucket.len());
            for step in 0..DRAWS.min(bucket.len()) {
                let index = bucket[(from + step) % bucket.len()];
                if wish.tried.contains(&index) {
                    continue;
                }
                if self.is_elsewhere(index, wish.tried.last().copied()) {
                    return Some(index);
                }
                fallback = fallback.or(Some(index));
            }
        }
        fallback
    }

    /// Whether the worker is in another rack and zone than the one that failed last.
    fn is_elsewhere(&self, index: Index, last: Option<Index>) -> bool {
        let place = |index| self.get(index).map(|worker| &worker.member);
        let (Some(here), Some(there)) = (place(index), last.and_then(place)) else {
            return true;
        };
        here.zone != there.zone && here.rack != there.rack
    }
}
