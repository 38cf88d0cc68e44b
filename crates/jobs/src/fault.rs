//! Telling a faulty job from a faulty instance.
//!
//! A failure alone says that the job or the instance is at fault, not which. What tells them apart
//! is the company: a job that fails where others succeed is at fault, and an instance is at fault
//! where jobs fail whose kind succeeds elsewhere. Until that is known, both sides are bounded:
//!
//! * an instance without proof (no success since its last failure) gets a job only while its
//!   failures and runs together are below [`Limits::faults`]. One that fails everything thus takes
//!   at most that many jobs, besides those that ran on it when it began to fail;
//! * a kind without proof runs at most [`Limits::faults`] jobs at a time, so that a batch of a
//!   thousand broken jobs does not fill the pool with failures;
//! * a job is tried at most [`Limits::tries`] times, whatever the evidence.

use crate::{limits::Limits, row::Kind};
use primroseroute_domain::id;
use std::collections::{BTreeMap, BTreeSet};

/// An account's kind of job.
pub type Sort = (id::Account, Kind);

#[derive(Clone, Debug, Default)]
struct Record {
    /// Whether something worked since the last failure.
    proven: bool,
    /// Jobs that failed here since something last worked.
    failed: BTreeMap<id::Job, Sort>,
}

/// What is known of instances and kinds by their successes and failures.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    instances: BTreeMap<id::Instance, Record>,
    proven: BTreeSet<Sort>,
}

impl Faults {
    /// A job of `sort` has run for long on `instance`.
    ///
    /// Earlier failures there stay on record: an instance on which jobs fail late must not clear
    /// itself with each job that has not failed yet.
    pub fn lasted(&mut self, instance: &id::Instance, sort: &Sort) {
        self.instances.entry(instance.clone()).or_default().proven = true;
        self.proven.insert(sort.clone());
    }

    /// A job of `sort` ended well on `instance`.
    pub fn worked(&mut self, instance: &id::Instance, sort: &Sort) {
        let record = self.instances.entry(instance.clone()).or_default();
        record.proven = true;
        record.failed.clear();
        self.proven.insert(sort.clone());
    }

    /// `job` failed on `instance`.
    pub fn failed(&mut self, instance: &id::Instance, job: &id::Job, sort: &Sort) {
        let record = self.instances.entry(instance.clone()).or_default();
        record.proven = false;
        record.failed.insert(job.clone(), sort.clone());
    }

    /// `job` was found to be at fault, so no instance is to blame for its failures.
    pub fn acquit(&mut self, job: &id::Job) {
        for record in self.instances.values_mut() {
            record.failed.remove(job);
        }
    }

    /// The instance was repaired or replaced: it starts again without proof.
    pub fn forget(&mut self, instance: &id::Instance) {
        self.instances.remove(instance);
    }

    /// Whether something worked on the instance since its last failure.
    pub fn is_proven(&self, instance: &id::Instance) -> bool {
        self.instances
            .get(instance)
            .is_some_and(|record| record.proven)
    }

    /// Whether a job of this sort ever worked.
    pub fn is_known(&self, sort: &Sort) -> bool {
        self.proven.contains(sort)
    }

    /// Whether an instance on which `running` jobs run may be given one more.
    pub fn may_take(&self, instance: &id::Instance, running: u32, limits: &Limits) -> bool {
        self.is_proven(instance) || self.count(instance) + running < limits.faults
    }

    /// Failures that count against the instance.
    ///
    /// Those of kinds that never worked anywhere count as one together: a batch of broken jobs of
    /// one owner must not quarantine the instances of a pool one after the other.
    fn count(&self, instance: &id::Instance) -> u32 {
        let Some(record) = self.instances.get(instance) else {
            return 0;
        };
        let known = record
            .failed
            .values()
            .filter(|sort| self.is_known(sort))
            .count();
        let unknown = usize::from(known < record.failed.len());
        u32::try_from(known + unknown).unwrap_or(u32::MAX)
    }

    /// The instances with failures enough for a quarantine, each with the jobs that failed on it.
    pub fn guilty(&self, limits: &Limits) -> Vec<(id::Instance, Vec<id::Job>)> {
        let is_guilty = |instance: &id::Instance| self.count(instance) >= limits.faults;
        let guilty = self
            .instances
            .iter()
            .filter(|(instance, _)| is_guilty(instance));
        guilty
            .map(|(instance, record)| (instance.clone(), record.failed.keys().cloned().collect()))
            .collect()
    }
}
