//! Actions on current runs: lease expiry, renewal, drains, throttling.

use super::Scheduler;
use crate::{
    action::Action,
    lease::Stop,
    worker::{Availability, Worker},
};
use primroseroute_domain::id;
use std::{collections::BTreeMap, time::Duration};

impl Scheduler {
    /// Returns jobs whose lease has certainly expired to the queue.
    pub(super) fn requeue_expired(&mut self, now: Duration) {
        let is_expired = |job: &&id::Job| self.runs[*job].has_expired(now, &self.limits);
        let expired: Vec<id::Job> = self.runs.keys().filter(is_expired).cloned().collect();
        for job in expired {
            let at = self.rows[&job].state.instance().cloned();
            self.record_stopped(&job);
            self.expired_on.extend(at.map(|at| (job, at)));
        }
    }

    /// Renews, drains and throttles runs.
    pub(super) fn update_runs(&mut self, now: Duration, workers: &BTreeMap<id::Instance, Worker>) {
        let jobs: Vec<id::Job> = self.runs.keys().cloned().collect();
        for job in jobs {
            let worker = self.rows[&job]
                .state
                .instance()
                .and_then(|id| workers.get(id));
            if let Some(worker) = worker {
                self.drain(&job, worker, now);
                self.throttle(&job, worker);
            }

            self.resend_stop(&job);
            self.renew(&job, now);
        }
    }

    /// Sends a stop again that failed or whose response was lost.
    ///
    /// The expiry of the lease would end the run too, but later than a drain may wait.
    fn resend_stop(&mut self, job: &id::Job) {
        if self
            .runs
            .get(job)
            .is_some_and(|run| run.stop == Stop::Resend)
        {
            self.stop(job);
        }
    }

    fn renew(&mut self, job: &id::Job, now: Duration) {
        let limits = self.limits;
        let Some(run) = self.runs.get_mut(job) else {
            return;
        };
        if !run.is_renewal_due(now, self.reports_read_at, &limits) {
            return;
        }
        run.call_in_flight = true;
        let token = self.rows[job].token;
        let (job, lease) = (job.clone(), limits.lease);
        self.actions.push(Action::Renew { job, token, lease });
    }

    /// Before a drain ends: requests a checkpoint, and stops the run once it is written or time is short.
    fn drain(&mut self, job: &id::Job, worker: &Worker, now: Duration) {
        let Availability::Draining(end) = worker.availability else {
            return;
        };
        let (Some(run), row) = (self.runs.get_mut(job), &self.rows[job]) else {
            return;
        };
        if run.stop != Stop::NotRequested {
            return;
        }
        if run.checkpoint_requested_at.is_none() {
            run.checkpoint_requested_at = Some(now);
            run.checkpoint_at_request = row.checkpoint;
            let (job, token) = (job.clone(), row.token);
            self.actions.push(Action::Checkpoint { job, token });
        }
        let written = row.checkpoint > run.checkpoint_at_request;
        if written || now + self.limits.stop_before >= end {
            self.stop(job);
        }
    }

    /// Frees processor time for requests. There are two thresholds, so that pressure around one of
    /// them does not cause a call with every plan.
    fn throttle(&mut self, job: &id::Job, worker: &Worker) {
        let limits = self.limits;
        let Some(run) = self.runs.get_mut(job) else {
            return;
        };
        let wanted = if worker.pressure > limits.pressure_high {
            limits.throttled
        } else if worker.pressure < limits.pressure_low {
            1.0
        } else {
            run.cpu_fraction
        };
        if run.stop != Stop::NotRequested || (wanted - run.cpu_fraction).abs() < f64::EPSILON {
            return;
        }
        run.cpu_fraction = wanted;
        let (job, token) = (job.clone(), self.rows[job].token);
        self.actions.push(Action::Throttle {
            job,
            token,
            fraction: wanted,
        });
    }
}
