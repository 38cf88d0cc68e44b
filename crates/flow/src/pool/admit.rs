//! Admission: which requests are taken in.

use super::{Phase, Pool, Request};
use crate::{
    estimate::Spread,
    fair,
    request::{Action, Arrival},
};
use primroseroute_domain::outcome::Code;
use std::time::Duration;

impl Pool {
    /// Takes a request in or refuses it.
    ///
    /// # Panics
    /// Where the number of the request is in use: two callers would get each other's answers.
    pub fn arrive(&mut self, now: Duration, arrival: Arrival) -> Vec<Action> {
        assert!(
            !self.requests.contains_key(&arrival.request),
            "request numbers are used once"
        );
        self.expire(now);
        let service = self.times.service(&arrival.service);
        self.meter.add(now, &arrival.account, service.mean());
        if let Some(code) = self.objection(now, &arrival, service) {
            self.refuse(arrival.request, code);
            return self.settle(now);
        }
        self.enqueue(now, arrival, service);
        self.settle(now)
    }

    /// Why a request cannot be taken in.
    fn objection(&self, now: Duration, arrival: &Arrival, service: Spread) -> Option<Code> {
        if self.workers.totals().serving == 0 {
            return Some(Code::NoInstance);
        }
        if arrival.deadline <= now {
            return Some(Code::DeadlineUnreachable);
        }
        if self.queue.is_empty() && self.workers.has_free() {
            // It starts at once, whatever the estimate says: without this, an estimate that is too
            // high would refuse everything and never be measured again.
            return None;
        }
        let waiting = self.queue.waiting(&arrival.account, &arrival.service);
        if waiting >= self.limits.queue {
            return Some(Code::QueueFull);
        }
        let wait = self
            .queue
            .wait(&arrival.account, arrival.class, self.slots());
        let left = arrival.deadline.saturating_sub(now).as_secs_f64();
        (wait + service.most() > left).then_some(Code::DeadlineUnreachable)
    }

    fn enqueue(&mut self, now: Duration, arrival: Arrival, service: Spread) {
        let until = latest_start(now, arrival.deadline, service);
        self.queue.push(fair::Item {
            request: arrival.request,
            account: arrival.account.clone(),
            service: arrival.service.clone(),
            class: arrival.class,
            cost: service.mean(),
        });
        self.timers.insert((until, arrival.request));
        let request = Request {
            account: arrival.account,
            service: arrival.service,
            class: arrival.class,
            deadline: arrival.deadline,
            idempotent: arrival.idempotent,
            attempt: 0,
            tried: Vec::new(),
            phase: Phase::Waiting { until },
        };
        self.requests.insert(arrival.request, request);
    }

    /// Slots that this entry may use, at least one: waiting times are divided by it.
    fn slots(&self) -> f64 {
        f64::from(self.workers.totals().slots.max(1))
    }

    /// Decides a final refusal.
    pub(super) fn refuse(&mut self, request: u64, code: Code) {
        let backlog = Duration::from_secs_f64(self.queue.cost() / self.slots());
        let retry_after = self.limits.retry_after.max(backlog);
        self.actions.push(Action::Refuse {
            request,
            code,
            retry_after,
        });
    }
}

/// When a request that waits can no longer meet its deadline.
pub(super) fn latest_start(now: Duration, deadline: Duration, service: Spread) -> Duration {
    let latest = deadline.saturating_sub(Duration::from_secs_f64(service.most()));
    latest.max(now)
}
