//! Instances and accounts during one assignment of queued jobs.

use super::{Scheduler, job_class};
use crate::{
    amount,
    fault::JobClass,
    row::Row,
    share::Shares,
    worker::{Availability, Worker},
};
use primroseroute_domain::id;
use primroseroute_platform::task::Resources;
use std::collections::BTreeMap;

/// Free capacity and state of an instance.
#[derive(Debug)]
pub(super) struct Candidate<'a> {
    pub(super) worker: &'a Worker,
    pub(super) free: Resources,
    pub(super) running: u32,
    /// Whether it accepts jobs, regardless of its pressure and failures.
    pub(super) open: bool,
    /// Whether a job has succeeded, or run for long, on it since its last failure.
    pub(super) proven: bool,
}

/// Instances and accounts during one assignment of queued jobs.
#[derive(Debug)]
pub(super) struct Assignment<'a> {
    pub(super) candidates: BTreeMap<&'a id::Pool, BTreeMap<&'a id::Instance, Candidate<'a>>>,
    /// For each pool, the largest capacity of an instance by resource.
    largest: BTreeMap<&'a id::Pool, Resources>,
    pub(super) shares: Shares<'a>,
    /// Number of runs of each unproven class.
    unproven_runs: BTreeMap<JobClass, u32>,
}

impl<'a> Assignment<'a> {
    /// The candidate of an instance, which may have moved to another pool since the run started.
    fn candidate_at(&mut self, at: &id::Instance, pool: &id::Pool) -> Option<&mut Candidate<'a>> {
        let in_pool = self
            .candidates
            .get(pool)
            .is_some_and(|candidates| candidates.contains_key(at));
        if in_pool {
            return self.candidates.get_mut(pool)?.get_mut(at);
        }
        self.candidates
            .values_mut()
            .find_map(|candidates| candidates.get_mut(at))
    }

    /// Number of runs of `class` while it is unproven; otherwise 0.
    pub(super) fn unproven_runs(&self, class: &JobClass) -> u32 {
        self.unproven_runs.get(class).copied().unwrap_or(0)
    }
}

impl Scheduler {
    /// Begins an assignment with all current runs counted.
    pub(super) fn begin_assignment<'a>(
        &self,
        workers: &'a BTreeMap<id::Instance, Worker>,
        weights: &'a BTreeMap<id::Account, u32>,
    ) -> Assignment<'a> {
        let capacities = workers.values().map(|worker| worker.capacity);
        let total = capacities.fold(Resources::default(), amount::add);
        let mut assignment = Assignment {
            candidates: BTreeMap::new(),
            largest: BTreeMap::new(),
            shares: Shares::new(total, weights),
            unproven_runs: BTreeMap::new(),
        };
        for worker in workers.values() {
            let largest = assignment.largest.entry(&worker.pool).or_default();
            *largest = amount::maximum(*largest, worker.capacity);
            let candidates = assignment.candidates.entry(&worker.pool).or_default();
            candidates.insert(&worker.id, self.candidate(worker));
        }
        for job in self.runs.keys() {
            let row = &self.rows[job];
            self.count_run(row, &mut assignment);
        }
        assignment
    }

    fn candidate<'a>(&self, worker: &'a Worker) -> Candidate<'a> {
        Candidate {
            worker,
            free: worker.capacity,
            running: 0,
            open: worker.availability == Availability::Open
                && !self.quarantined.contains(&worker.id),
            proven: self.fault_tracker.is_proven(&worker.id),
        }
    }

    /// Counts the run of `row` on its instance and for its account and class.
    pub(super) fn count_run(&self, row: &Row, assignment: &mut Assignment<'_>) {
        let size = self.clamped_size(row, assignment);
        assignment.shares.add(&row.account, size);
        if let Some(candidate) = row
            .state
            .instance()
            .and_then(|at| assignment.candidate_at(at, &row.pool))
        {
            candidate.free = amount::subtract(candidate.free, size);
            candidate.running += 1;
        }
        let class = job_class(row);
        if !self.fault_tracker.is_class_proven(&class) {
            *assignment.unproven_runs.entry(class).or_default() += 1;
        }
    }

    /// The estimated size of a job, limited to the largest instance of its pool.
    ///
    /// A declaration of ten times the true size may exceed every instance; such a job gets a whole
    /// one, and its first reports show the true size.
    pub(super) fn clamped_size(&self, row: &Row, assignment: &Assignment<'_>) -> Resources {
        let size = self.size(row);
        let largest = assignment.largest.get(&row.pool);
        largest.map_or(size, |largest| amount::minimum(size, *largest))
    }
}
