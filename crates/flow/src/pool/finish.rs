//! The end of an attempt: what the worker's record learns, and whether there is another attempt.

use super::{Phase, Pool, Request};
use crate::{
    health::Sample,
    request::{Action, Ending},
    retry, worker,
};
use primroseroute_domain::outcome::Code;
use std::time::Duration;

/// Mean service times for which the slot of an attempt without an answer is held: a worker with
/// exponential service times is done by then in 86 of 100 cases.
const HOLD: f64 = 2.0;

impl Pool {
    /// Takes the end of an attempt in, or the caller's cancellation of a request in any phase.
    ///
    /// A request that the pool has refused meanwhile is unknown to it, which changes nothing.
    pub fn finish(&mut self, now: Duration, number: u64, ending: Ending) -> Vec<Action> {
        if let Some(request) = self.requests.remove(&number) {
            self.end(now, number, request, ending);
        }
        self.settle(now)
    }

    fn end(&mut self, now: Duration, number: u64, request: Request, ending: Ending) {
        match request.phase {
            Phase::Sent { worker, at } => {
                self.free(now, number, &request, worker, ending);
                self.learn(now, &request, worker, at, ending);
                self.conclude(now, number, request, worker, ending);
            }
            Phase::Waiting { until } => {
                self.timers.remove(&(until, number));
                self.queue
                    .remove(&request.account, &request.service, request.class, number);
            }
            Phase::BackingOff { until } => {
                self.timers.remove(&(until, number));
            }
        }
    }

    /// Frees the slot, at once or when the worker is likely to be done.
    ///
    /// A worker that is not asked any more goes on with what it has begun. A slot that were free
    /// at once would be sent a second request while the first still runs, which makes that one late
    /// too: under overload nearly every worker ran more than its slots and goodput fell by a sixth.
    fn free(
        &mut self,
        now: Duration,
        number: u64,
        request: &Request,
        worker: worker::Index,
        ending: Ending,
    ) {
        if matches!(ending, Ending::Answered { .. } | Ending::NotSent) {
            self.release(worker);
            return;
        }
        let rest = HOLD * self.times.service(&request.service).mean();
        let until = now + Duration::from_secs_f64(rest);
        self.held.insert((until, worker, number));
    }

    pub(super) fn release(&mut self, worker: worker::Index) {
        self.workers.change(worker, |worker| worker.in_flight -= 1);
    }

    /// Takes the ending into the service times and the worker's record.
    fn learn(
        &mut self,
        now: Duration,
        request: &Request,
        worker: worker::Index,
        at: Duration,
        ending: Ending,
    ) {
        let sample = match ending {
            Ending::Answered {
                latency,
                failure: false,
            } => {
                self.times.add(&request.service, latency);
                Sample::Good(latency)
            }
            Ending::Late => {
                let was_patient = self.was_patient(request, at);
                self.times
                    .add_longer(&request.service, now.saturating_sub(at));
                if !was_patient {
                    return;
                }
                Sample::Bad
            }
            Ending::Cancelled => return,
            _ => Sample::Bad,
        };
        let norm = self.norm;
        self.norm.ratio.add(sample == Sample::Bad);
        if let Sample::Good(latency) = sample {
            self.norm.latency.add(latency);
        }
        let limits = &self.limits;
        let change = |worker: &mut worker::Worker| worker.health.add(sample, &norm, limits);
        let is_failing = self.workers.change(worker, change);
        if is_failing == Some(true) {
            self.eject(now, worker);
        }
    }

    /// Whether an attempt that was late had time enough.
    ///
    /// A caller that sets deadlines too short for any worker would otherwise have one worker after
    /// the other ejected.
    fn was_patient(&self, request: &Request, at: Duration) -> bool {
        let given = request.deadline.saturating_sub(at).as_secs_f64();
        given > self.limits.slow * self.times.service(&request.service).mean()
    }

    /// Ejects a worker, unless too many are out already.
    fn eject(&mut self, now: Duration, index: worker::Index) {
        let totals = self.workers.totals();
        let is_out = self
            .workers
            .get(index)
            .is_some_and(worker::Worker::is_ejected);
        let out = totals.ejected as f64 + 1.0;
        if !is_out && out > self.limits.ejected * totals.serving as f64 {
            return;
        }
        let limits = &self.limits;
        let until = self
            .workers
            .change(index, |worker| worker.health.eject(now, limits));
        self.shut.extend(until.map(|until| (until, index)));
    }

    /// Ends the request, or sets it up for another attempt.
    fn conclude(
        &mut self,
        now: Duration,
        number: u64,
        mut request: Request,
        worker: worker::Index,
        ending: Ending,
    ) {
        let code = match ending {
            Ending::Answered { .. } | Ending::Cancelled => return,
            Ending::NotSent => Code::ConnectFailed,
            Ending::Lost => Code::AnswerLost,
            Ending::Late => Code::AnswerTimeout,
        };
        let Some(until) = self.next_attempt(now, &request, ending) else {
            self.refuse(number, request.verdict(code));
            return;
        };
        request.may_have_run |= ending == Ending::Lost;
        request.tried.push(worker);
        request.phase = Phase::BackingOff { until };
        self.requests.insert(number, request);
        self.timers.insert((until, number));
    }

    /// When the next attempt is, if there is one.
    fn next_attempt(
        &mut self,
        now: Duration,
        request: &Request,
        ending: Ending,
    ) -> Option<Duration> {
        if !retry::is_safe(ending, request.idempotent) || request.attempt >= self.limits.attempts {
            return None;
        }
        let until = now + retry::backoff(&self.limits, request.attempt, &mut self.random);
        let service = self.times.service(&request.service).mean();
        let end = until + Duration::from_secs_f64(service);
        (end < request.deadline && self.budget.withdraw()).then_some(until)
    }
}
