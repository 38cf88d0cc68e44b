//! Reservation of instances for jobs that have waited too long.

use super::{Entry, Scheduler, candidates::Assignment, job_class};
use crate::{
    amount,
    row::{Row, State},
    scheduler::candidates::Candidate,
    share::ShareRank,
};
use primroseroute_domain::{id, time::Instant};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

impl Scheduler {
    /// Starts an aged job of each pool, or reserves an instance for it.
    ///
    /// A large job finds no free capacity while small ones take each gap that opens. On the instance
    /// reserved for it nothing else starts, so that it runs when the runs there have ended. It stays
    /// the pool's aged job until it runs: if another were chosen meanwhile, neither would ever start.
    pub(super) fn reserve_for_aged(
        &mut self,
        assignment: &mut Assignment<'_>,
        now: Duration,
        at: Instant,
    ) {
        let reserved = std::mem::take(&mut self.reserved);
        let is_queued = |job: &id::Job| {
            self.rows
                .get(job)
                .is_some_and(|row| row.state == State::Queued)
        };
        let mut aged: BTreeMap<id::Pool, id::Job> = reserved
            .into_iter()
            .filter(|(_, (job, _))| is_queued(job))
            .map(|(pool, (job, _))| (pool, job))
            .collect();
        for (pool, job) in self.aged(assignment, at) {
            aged.entry(pool).or_insert(job);
        }
        for (pool, job) in aged {
            let row = &self.rows[&job];
            if let Some(instance) = self.choose(row, assignment) {
                self.start(&job, &instance, assignment, now);
            } else if let Some(instance) = self.closest_fit(row, assignment) {
                self.reserved.insert(pool, (job, instance));
            }
        }
    }

    /// The aged job of each pool: the oldest job of the account with the smallest share.
    ///
    /// Not simply the oldest job: where all jobs wait for long, that would be first come, first served
    /// instead of fair shares.
    fn aged(&self, assignment: &Assignment<'_>, at: Instant) -> BTreeMap<id::Pool, id::Job> {
        let mut first: BTreeMap<id::Pool, (ShareRank, &Entry)> = BTreeMap::new();
        for (account, queues) in &self.queue {
            let rank = assignment.shares.account_rank(account);
            for entry in queues.values().filter_map(BTreeSet::first) {
                let row = &self.rows[&entry.1];
                // An unproven kind waits for its own runs and not for free capacity.
                let waits_for_proof =
                    assignment.unproven_runs(&job_class(row)) >= self.limits.faults;
                if waits_for_proof || at.since(entry.0) < self.limits.aged {
                    continue;
                }
                let ranked = (rank.clone(), entry);
                let best = first
                    .entry(row.pool.clone())
                    .or_insert_with(|| ranked.clone());
                if ranked < *best {
                    *best = ranked;
                }
            }
        }
        first
            .into_iter()
            .map(|(pool, (_, entry))| (pool, entry.1.clone()))
            .collect()
    }

    /// The instance with the smallest lack of capacity for the job.
    ///
    /// On the reserved one the lack only shrinks, since nothing starts there; another one is chosen
    /// only where it lacks even less. So each run that ends brings the job closer to its start.
    fn closest_fit(&self, row: &Row, assignment: &Assignment<'_>) -> Option<id::Instance> {
        let size = self.clamped_size(row, assignment);
        let candidates = assignment.candidates.get(&row.pool)?;
        let possible = candidates.values().filter(|candidate| {
            candidate.open
                && !row.failed_on.contains(&candidate.worker.id)
                && amount::fits(size, candidate.worker.capacity)
        });
        let lacking = |candidate: &Candidate<'_>| {
            amount::dominant_fraction(
                amount::subtract(size, candidate.free),
                candidate.worker.capacity,
            )
        };
        let best = possible.min_by(|a, b| lacking(a).total_cmp(&lacking(b)));
        best.map(|candidate| candidate.worker.id.clone())
    }
}
