//! Attribution of failures to jobs or instances.
//!
//! A single failure shows that the job or the instance is faulty, not which. Other results decide:
//! a job that fails where others succeed is faulty, and an instance is faulty where jobs fail whose
//! kind succeeds elsewhere. Until that is known, the damage of both is bounded:
//!
//! * an unproven instance (no success since its last failure) gets a job only while the sum of its
//!   failures and runs is below [`Limits::faults`]. One that fails everything thus receives at most
//!   that many jobs, besides those that ran on it when it began to fail;
//! * an unproven kind runs at most [`Limits::faults`] jobs at a time, so that a batch of a thousand
//!   broken jobs does not fill the pool with failures;
//! * a job is attempted at most [`Limits::tries`] times, whatever the evidence.

use crate::{limits::Limits, row::Kind};
use primroseroute_domain::id;
use std::collections::{BTreeMap, BTreeSet};

/// An account and its kind of job.
pub type JobClass = (id::Account, Kind);

#[derive(Clone, Debug, Default)]
struct Record {
    /// Whether a job has succeeded, or run for long, since the last failure.
    proven: bool,
    /// Jobs that failed here since the last success.
    failed: BTreeMap<id::Job, JobClass>,
}

/// Success and failure history of instances and job classes.
#[derive(Clone, Debug, Default)]
pub struct FaultTracker {
    instances: BTreeMap<id::Instance, Record>,
    proven: BTreeSet<JobClass>,
}

impl FaultTracker {
    /// Records that a job of `class` has run for long on `instance`.
    ///
    /// Earlier failures there stay on record: an instance on which jobs fail late must not be
    /// cleared by each job that has not failed yet.
    pub fn record_long_run(&mut self, instance: &id::Instance, class: &JobClass) {
        self.instances.entry(instance.clone()).or_default().proven = true;
        self.proven.insert(class.clone());
    }

    /// Records that a job of `class` succeeded on `instance`.
    pub fn record_success(&mut self, instance: &id::Instance, class: &JobClass) {
        let record = self.instances.entry(instance.clone()).or_default();
        record.proven = true;
        record.failed.clear();
        self.proven.insert(class.clone());
    }

    /// Records that `job` failed on `instance`.
    pub fn record_failure(&mut self, instance: &id::Instance, job: &id::Job, class: &JobClass) {
        let record = self.instances.entry(instance.clone()).or_default();
        record.proven = false;
        record.failed.insert(job.clone(), class.clone());
    }

    /// Removes the failures of `job`, which was found to be faulty, from all instances.
    pub fn remove_job(&mut self, job: &id::Job) {
        for record in self.instances.values_mut() {
            record.failed.remove(job);
        }
    }

    /// Resets an instance that was repaired or replaced: it is unproven again.
    pub fn reset_instance(&mut self, instance: &id::Instance) {
        self.instances.remove(instance);
    }

    /// Whether a job has succeeded, or run for long, on the instance since its last failure.
    pub fn is_proven(&self, instance: &id::Instance) -> bool {
        self.instances
            .get(instance)
            .is_some_and(|record| record.proven)
    }

    /// Whether a job of this class has ever succeeded or run for long.
    pub fn is_class_proven(&self, class: &JobClass) -> bool {
        self.proven.contains(class)
    }

    /// Whether an instance with `running` jobs may receive one more.
    pub fn may_accept(&self, instance: &id::Instance, running: u32, limits: &Limits) -> bool {
        self.is_proven(instance) || self.failure_count(instance) + running < limits.faults
    }

    /// Number of failures that count against the instance.
    ///
    /// Those of classes that never succeeded anywhere count as one in total: a batch of broken jobs
    /// of one owner must not quarantine the instances of a pool one after the other.
    fn failure_count(&self, instance: &id::Instance) -> u32 {
        let Some(record) = self.instances.get(instance) else {
            return 0;
        };
        let of_proven = record
            .failed
            .values()
            .filter(|class| self.is_class_proven(class))
            .count();
        let of_unproven = usize::from(of_proven < record.failed.len());
        u32::try_from(of_proven + of_unproven).unwrap_or(u32::MAX)
    }

    /// The instances with enough failures for a quarantine, each with the jobs that failed on it.
    pub fn faulty_instances(&self, limits: &Limits) -> Vec<(id::Instance, Vec<id::Job>)> {
        let is_faulty = |instance: &id::Instance| self.failure_count(instance) >= limits.faults;
        let faulty = self
            .instances
            .iter()
            .filter(|(instance, _)| is_faulty(instance));
        faulty
            .map(|(instance, record)| (instance.clone(), record.failed.keys().cloned().collect()))
            .collect()
    }
}
