//! Completion of an attempt: releases the slot, updates health statistics, and retries or refuses.

use super::{Phase, Pool, Request};
use crate::{
    health::Sample,
    request::{Action, AttemptOutcome},
    retry, worker,
};
use primroseroute_domain::outcome::Code;
use std::time::Duration;

/// Time for which the slot of an attempt without a response is held, as a multiple of the mean
/// service time: with exponential service times, 86% of such requests have completed by then.
const SLOT_HOLD_FACTOR: f64 = 2.0;

impl Pool {
    /// Records the end of an attempt, or the caller's cancellation of a request in any phase.
    ///
    /// Ignores a request that the pool has refused in the meantime.
    pub fn finish(&mut self, now: Duration, number: u64, outcome: AttemptOutcome) -> Vec<Action> {
        if let Some(request) = self.requests.remove(&number) {
            self.end(now, number, request, outcome);
        }
        self.advance(now)
    }

    fn end(&mut self, now: Duration, number: u64, request: Request, outcome: AttemptOutcome) {
        match request.phase {
            Phase::Sent { worker, at } => {
                self.release_slot(now, number, &request, worker, outcome);
                self.record_outcome(now, &request, worker, at, outcome);
                self.retry_or_refuse(now, number, request, worker, outcome);
            }
            Phase::Waiting { until } => {
                self.request_timers.remove(&(until, number));
                self.queue
                    .remove(&request.account, &request.service, request.class, number);
            }
            Phase::BackingOff { until } => {
                self.request_timers.remove(&(until, number));
            }
        }
    }

    /// Releases the slot, immediately or when the worker has probably completed the request.
    ///
    /// A worker continues to process an abandoned request. If its slot were released immediately, a
    /// second request would be sent while the first still runs and would be late too: under overload
    /// nearly every worker ran more requests than it has slots, and goodput fell by a sixth.
    fn release_slot(
        &mut self,
        now: Duration,
        number: u64,
        request: &Request,
        worker: worker::Index,
        outcome: AttemptOutcome,
    ) {
        if matches!(
            outcome,
            AttemptOutcome::Responded { .. } | AttemptOutcome::NotSent
        ) {
            self.release(worker);
            return;
        }
        let hold = SLOT_HOLD_FACTOR * self.service_times.service(&request.service).mean();
        let until = now + Duration::from_secs_f64(hold);
        self.held_slots.insert((until, worker, number));
    }

    pub(super) fn release(&mut self, worker: worker::Index) {
        self.workers.change(worker, |worker| worker.in_flight -= 1);
    }

    /// Updates service times and the worker's health record.
    fn record_outcome(
        &mut self,
        now: Duration,
        request: &Request,
        worker: worker::Index,
        at: Duration,
        outcome: AttemptOutcome,
    ) {
        let sample = match outcome {
            AttemptOutcome::Responded {
                latency,
                failure: false,
            } => {
                self.service_times.add(&request.service, latency);
                Sample::Success(latency)
            }
            AttemptOutcome::TimedOut => {
                let had_enough_time = self.had_enough_time(request, at);
                self.service_times
                    .add_lower_bound(&request.service, now.saturating_sub(at));
                if !had_enough_time {
                    return;
                }
                Sample::Failure
            }
            AttemptOutcome::Cancelled => return,
            _ => Sample::Failure,
        };
        let baseline = self.baseline;
        self.baseline.failure_ratio.add(sample == Sample::Failure);
        if let Sample::Success(latency) = sample {
            self.baseline.latency.add(latency);
        }
        let limits = &self.limits;
        let change = |worker: &mut worker::Worker| worker.health.record(sample, &baseline, limits);
        let is_failing = self.workers.change(worker, change);
        if is_failing == Some(true) {
            self.eject(now, worker);
        }
    }

    /// Whether an attempt that timed out had enough time.
    ///
    /// Otherwise a caller whose deadlines are too short for any worker would cause one worker after
    /// the other to be ejected.
    fn had_enough_time(&self, request: &Request, at: Duration) -> bool {
        let allowed = request.deadline.saturating_sub(at).as_secs_f64();
        allowed > self.limits.slow_factor * self.service_times.service(&request.service).mean()
    }

    /// Ejects a worker, unless too many are ejected already.
    fn eject(&mut self, now: Duration, index: worker::Index) {
        let totals = self.workers.totals();
        let is_ejected_already = self
            .workers
            .get(index)
            .is_some_and(worker::Worker::is_ejected);
        let ejected_after = totals.ejected as f64 + 1.0;
        if !is_ejected_already
            && ejected_after > self.limits.max_ejected_fraction * totals.serving as f64
        {
            return;
        }
        let limits = &self.limits;
        let until = self
            .workers
            .change(index, |worker| worker.health.eject(now, limits));
        self.probe_timers.extend(until.map(|until| (until, index)));
    }

    /// Schedules a retry, or refuses the request.
    fn retry_or_refuse(
        &mut self,
        now: Duration,
        number: u64,
        mut request: Request,
        worker: worker::Index,
        outcome: AttemptOutcome,
    ) {
        let code = match outcome {
            AttemptOutcome::Responded { .. } | AttemptOutcome::Cancelled => return,
            AttemptOutcome::NotSent => Code::ConnectFailed,
            AttemptOutcome::ConnectionLost => Code::AnswerLost,
            AttemptOutcome::TimedOut => Code::AnswerTimeout,
        };
        let Some(until) = self.next_attempt(now, &request, outcome) else {
            self.refuse(number, request.final_code(code));
            return;
        };
        request.may_have_run |= outcome == AttemptOutcome::ConnectionLost;
        request.tried.push(worker);
        request.phase = Phase::BackingOff { until };
        self.requests.insert(number, request);
        self.request_timers.insert((until, number));
    }

    /// The time of the next attempt, if there is one.
    fn next_attempt(
        &mut self,
        now: Duration,
        request: &Request,
        outcome: AttemptOutcome,
    ) -> Option<Duration> {
        if !retry::is_safe(outcome, request.idempotent)
            || request.attempt >= self.limits.max_attempts
        {
            return None;
        }
        let until = now + retry::backoff(&self.limits, request.attempt, &mut self.rng);
        let service = self.service_times.service(&request.service).mean();
        let end = until + Duration::from_secs_f64(service);
        (end < request.deadline && self.budget.withdraw()).then_some(until)
    }
}
