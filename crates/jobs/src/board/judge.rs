//! What the ends of runs say about jobs and instances.

use super::{Board, sort};
use crate::{
    action::Action,
    row::{Reason, State},
};
use primroseroute_domain::id;
use std::time::Duration;

impl Board {
    /// A run that has lasted long enough proves its instance and its kind.
    pub(super) fn ran(&mut self, job: &id::Job, now: Duration) {
        let proof = self.limits.proof;
        let (Some(row), Some(run)) = (self.rows.get(job), self.runs.get_mut(job)) else {
            return;
        };
        if run.counted || now < run.since + proof {
            return;
        }
        run.counted = true;
        if let Some(instance) = row.state.instance() {
            self.faults.lasted(instance, &sort(row));
        }
    }

    pub(super) fn worked(&mut self, job: &id::Job) {
        if let Some(row) = self.rows.get(job)
            && let Some(instance) = row.state.instance()
        {
            self.faults.worked(instance, &sort(row));
        }
        self.end(job, State::Done);
    }

    pub(super) fn failed(&mut self, job: &id::Job) {
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
        let sort = sort(row);
        self.faults.failed(&instance, job, &sort);
        self.suspects.insert(job.clone());
        self.end(job, State::Queued);
    }

    /// Parks the queued jobs that were found to be at fault.
    ///
    /// With each plan and not with the failure: whether an instance is healthy shows by what works
    /// on it after the failure.
    pub(super) fn park(&mut self) {
        let judge = |job: &id::Job| self.judge_job(job).map(|reason| (job.clone(), reason));
        let guilty: Vec<(id::Job, Reason)> = self.suspects.iter().filter_map(judge).collect();
        for (job, reason) in guilty {
            self.faults.acquit(&job);
            self.end(&job, State::Parked(reason));
        }
    }

    /// Quarantines the instances on which enough jobs failed; the failures were not the jobs'.
    ///
    /// With each plan and not with the failure: that a kind of job works elsewhere may be learnt
    /// later than that it failed here.
    pub(super) fn quarantine(&mut self) {
        for (instance, failed) in self.faults.guilty(&self.limits) {
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

    fn judge_job(&self, job: &id::Job) -> Option<Reason> {
        let row = self
            .rows
            .get(job)
            .filter(|row| row.state == State::Queued)?;
        let healthy = |instance: &&id::Instance| self.faults.is_proven(instance);
        let faults = usize::try_from(self.limits.faults).unwrap_or(usize::MAX);
        if row.failed_on.iter().filter(healthy).count() >= faults {
            return Some(Reason::FailsOnHealthy);
        }
        (row.failures >= self.limits.tries).then_some(Reason::FailsEverywhere)
    }
}
