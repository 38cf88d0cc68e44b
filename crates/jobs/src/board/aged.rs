//! Room for jobs that have waited too long.

use super::{Board, Entry, floor::Floor, sort};
use crate::{
    amount,
    board::floor::Room,
    row::{Row, State},
    share::Place,
};
use primroseroute_domain::{id, time::Instant};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

impl Board {
    /// Starts an aged job of each pool, or keeps an instance free for it.
    ///
    /// A large job finds no room while small ones take each gap that opens. On the instance that is
    /// kept for it nothing else starts, so that it runs when the runs there have ended. It stays
    /// the pool's aged job until it runs: were another chosen meanwhile, neither would get there.
    pub(super) fn keep_for_aged(&mut self, floor: &mut Floor<'_>, now: Duration, at: Instant) {
        let kept = std::mem::take(&mut self.kept);
        let waits = |job: &id::Job| {
            self.rows
                .get(job)
                .is_some_and(|row| row.state == State::Queued)
        };
        let mut aged: BTreeMap<id::Pool, id::Job> = kept
            .into_iter()
            .filter(|(_, (job, _))| waits(job))
            .map(|(pool, (job, _))| (pool, job))
            .collect();
        for (pool, job) in self.aged(floor, at) {
            aged.entry(pool).or_insert(job);
        }
        for (pool, job) in aged {
            let row = &self.rows[&job];
            if let Some(instance) = self.choose(row, floor) {
                self.start(&job, &instance, floor, now);
            } else if let Some(instance) = self.nearest(row, floor) {
                self.kept.insert(pool, (job, instance));
            }
        }
    }

    /// The aged job of each pool: the oldest of the account that has the smallest share.
    ///
    /// Not simply the oldest: where all jobs wait for long, that would be first come, first served
    /// and no fair share would be left.
    fn aged(&self, floor: &Floor<'_>, at: Instant) -> BTreeMap<id::Pool, id::Job> {
        let mut first: BTreeMap<id::Pool, (Place, &Entry)> = BTreeMap::new();
        for (account, lines) in &self.queue {
            let place = floor.shares.place(account);
            for entry in lines.values().filter_map(BTreeSet::first) {
                let row = &self.rows[&entry.1];
                // A kind that has to prove itself first waits for its own runs, not for room.
                let held = floor.untested(&sort(row)) >= self.limits.faults;
                if held || at.since(entry.0) < self.limits.aged {
                    continue;
                }
                let candidate = (place.clone(), entry);
                let best = first
                    .entry(row.pool.clone())
                    .or_insert_with(|| candidate.clone());
                if candidate < *best {
                    *best = candidate;
                }
            }
        }
        first
            .into_iter()
            .map(|(pool, (_, entry))| (pool, entry.1.clone()))
            .collect()
    }

    /// The instance that lacks the least room for the job.
    ///
    /// On the one that is kept, what is lacking only shrinks, since nothing starts there; another
    /// is taken only where it lacks less still. So the job comes nearer with each run that ends.
    fn nearest(&self, row: &Row, floor: &Floor<'_>) -> Option<id::Instance> {
        let size = self.clamped(row, floor);
        let rooms = floor.rooms.get(&row.pool)?;
        let could = rooms.values().filter(|room| {
            room.open
                && !row.failed_on.contains(&room.worker.id)
                && amount::fits(size, room.worker.capacity)
        });
        let lacking = |room: &Room<'_>| {
            amount::dominant(amount::subtract(size, room.free), room.worker.capacity)
        };
        let best = could.min_by(|a, b| lacking(a).total_cmp(&lacking(b)));
        best.map(|room| room.worker.id.clone())
    }
}
