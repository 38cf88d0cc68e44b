//! Care for runs: lapse, renewal, drains, throttling.

use super::Board;
use crate::{
    action::Action,
    lease::Stop,
    worker::{Availability, Worker},
};
use primroseroute_domain::id;
use std::{collections::BTreeMap, time::Duration};

impl Board {
    /// Puts jobs whose run has surely ended back into the queue.
    pub(super) fn lapse(&mut self, now: Duration) {
        let lapsed = |job: &&id::Job| self.runs[*job].has_lapsed(now, &self.limits);
        let lapsed: Vec<id::Job> = self.runs.keys().filter(lapsed).cloned().collect();
        for job in lapsed {
            let at = self.rows[&job].state.instance().cloned();
            self.stopped(&job);
            self.lapsed.extend(at.map(|at| (job, at)));
        }
    }

    /// Renews, drains and throttles.
    pub(super) fn care(&mut self, now: Duration, workers: &BTreeMap<id::Instance, Worker>) {
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

            self.stop_again(&job);
            self.renew(&job, now);
        }
    }

    /// Sends a stop that did not get through once more.
    ///
    /// The lapse of the lease would end the run too, but later than a drain may wait.
    fn stop_again(&mut self, job: &id::Job) {
        if self
            .runs
            .get(job)
            .is_some_and(|run| run.stop == Stop::Again)
        {
            self.stop(job);
        }
    }

    fn renew(&mut self, job: &id::Job, now: Duration) {
        let limits = self.limits;
        let Some(run) = self.runs.get_mut(job) else {
            return;
        };
        if !run.is_due(now, self.read, &limits) {
            return;
        }
        run.calling = true;
        let token = self.rows[job].token;
        let (job, lease) = (job.clone(), limits.lease);
        self.actions.push(Action::Renew { job, token, lease });
    }

    /// Before a drain ends: a checkpoint, then the stop once it is written or time is short.
    fn drain(&mut self, job: &id::Job, worker: &Worker, now: Duration) {
        let Availability::Draining(end) = worker.availability else {
            return;
        };
        let (Some(run), row) = (self.runs.get_mut(job), &self.rows[job]) else {
            return;
        };
        if run.stop != Stop::No {
            return;
        }
        if run.asked.is_none() {
            run.asked = Some(now);
            run.asked_at = row.checkpoint;
            let (job, token) = (job.clone(), row.token);
            self.actions.push(Action::Checkpoint { job, token });
        }
        let written = row.checkpoint > run.asked_at;
        if written || now + self.limits.stop_before >= end {
            self.stop(job);
        }
    }

    /// Makes room for requests; two thresholds, so that pressure about one of them does not
    /// cause a call with every plan.
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
            run.fraction
        };
        if run.stop != Stop::No || (wanted - run.fraction).abs() < f64::EPSILON {
            return;
        }
        run.fraction = wanted;
        let (job, token) = (job.clone(), self.rows[job].token);
        self.actions.push(Action::Throttle {
            job,
            token,
            fraction: wanted,
        });
    }
}
