//! Conclusions from results of runs about jobs and instances.

use super::{Scheduler, job_class};
use crate::{
    action::Action,
    row::{Reason, State},
};
use primroseroute_domain::id;
use std::time::Duration;

impl Scheduler {
    /// Records a running job; a run that has lasted long enough proves its instance and its kind.
    pub(super) fn record_running(&mut self, job: &id::Job, now: Duration) {
        let proof = self.limits.proof;
        let (Some(row), Some(run)) = (self.rows.get(job), self.runs.get_mut(job)) else {
            return;
        };
        if run.counted_as_proof || now < run.began_at + proof {
            return;
        }
        run.counted_as_proof = true;
        if let Some(instance) = row.state.instance() {
            self.fault_tracker
                .record_long_run(instance, &job_class(row));
        }
    }

    pub(super) fn record_done(&mut self, job: &id::Job) {
        if let Some(row) = self.rows.get(job)
            && let Some(instance) = row.state.instance()
        {
            self.fault_tracker.record_success(instance, &job_class(row));
        }
        self.end(job, State::Done);
    }

    pub(super) fn record_failed(&mut self, job: &id::Job) {
        let Some(row) = self.rows.get_mut(job) else {
            return;
        };
        let instance = match &row.state {
            State::Running(instance) => instance.clone(),
            State::Cancelling(_) => return self.end(job, State::Cancelled),
            _ => return,
        };
        row.failures += 1;
        row.failed_on.insert(instance.clone());
        let class = job_class(row);
        self.fault_tracker.record_failure(&instance, job, &class);
        self.failed_jobs.insert(job.clone());
        self.end(job, State::Queued);
    }

    /// Parks the queued jobs that were found to be faulty.
    ///
    /// This is checked with each plan and not at the failure: whether an instance is healthy shows
    /// by the jobs that succeed on it after the failure.
    pub(super) fn park_faulty(&mut self) {
        let check = |job: &id::Job| self.park_reason(job).map(|reason| (job.clone(), reason));
        let faulty: Vec<(id::Job, Reason)> = self.failed_jobs.iter().filter_map(check).collect();
        for (job, reason) in faulty {
            self.fault_tracker.remove_job(&job);
            self.end(&job, State::Parked(reason));
        }
    }

    /// Quarantines the instances on which enough jobs failed; these failures no longer count against
    /// the jobs.
    ///
    /// This is checked with each plan and not at the failure: that a kind of job succeeds elsewhere may
    /// become known later than its failure here.
    pub(super) fn quarantine_faulty(&mut self) {
        for (instance, failed) in self.fault_tracker.faulty_instances(&self.limits) {
            if !self.quarantined.insert(instance.clone()) {
                continue;
            }
            for job in &failed {
                if let Some(row) = self.rows.get_mut(job) {
                    row.failed_on.remove(&instance);
                    self.changed.insert(job.clone());
                }
            }
            self.actions.push(Action::Quarantine { instance, failed });
        }
    }

    fn park_reason(&self, job: &id::Job) -> Option<Reason> {
        let row = self
            .rows
            .get(job)
            .filter(|row| row.state == State::Queued)?;
        let on_proven = |instance: &&id::Instance| self.fault_tracker.is_proven(instance);
        let needed_failures = usize::try_from(self.limits.faults).unwrap_or(usize::MAX);
        if row.failed_on.iter().filter(on_proven).count() >= needed_failures {
            return Some(Reason::FailsOnHealthy);
        }
        (row.failures >= self.limits.tries).then_some(Reason::FailsEverywhere)
    }
}
