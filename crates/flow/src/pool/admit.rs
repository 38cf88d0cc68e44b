//! Admission: which requests are taken in.

use super::{Phase, Pool, Request};
use crate::{
    estimate::Spread,
    fair,
    request::{Action, Arrival},
};
use primroseroute_domain::{id, outcome::Code};
use rand::RngExt;
use std::time::Duration;

/// Part of the time to its deadline that a request may be expected to wait.
///
/// With queues as long as deadlines allow, whatever takes longer than usual is late: it has used a
/// slot for nothing, and the long ones hold most of the work.
const MAX_WAIT: f64 = 0.5;

/// Least number of slots that an account is taken to have, so that an estimate stays finite.
const MIN_RATE: f64 = 0.1;

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
        let rate = self.rate(&arrival.account);
        let wait = self.queue.wait(&arrival.account, arrival.class, rate);
        let left = arrival.deadline.saturating_sub(now).as_secs_f64();
        let longest = (left - service.most()).min(left * MAX_WAIT);
        (wait > longest).then_some(Code::DeadlineUnreachable)
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
            may_have_run: false,
            tried: Vec::new(),
            phase: Phase::Waiting { until },
        };
        self.requests.insert(arrival.request, request);
    }

    /// Slots that are at work for an account while it has requests waiting.
    fn rate(&self, account: &id::Account) -> f64 {
        let slots = self.slots();
        let measured = self.rates.get(account).copied();
        let part = measured.unwrap_or_else(|| self.queue.part(account));
        (slots * part).max(MIN_RATE)
    }

    /// Slots that this entry may use, at least one: waiting times are divided by it.
    fn slots(&self) -> f64 {
        f64::from(self.workers.totals().slots.max(1))
    }

    /// Decides a final refusal.
    ///
    /// The retry-after grows with the backlog and is drawn from a range, so that callers who were
    /// refused together do not come back together.
    pub(super) fn refuse(&mut self, request: u64, code: Code) {
        let backlog = Duration::from_secs_f64(self.queue.cost() / self.slots());
        let least = match code {
            Code::NoInstance => self.limits.absence,
            _ => self.limits.retry_after,
        };
        let jitter = 1.0 + self.random.random::<f64>() / 2.0;
        self.actions.push(Action::Refuse {
            request,
            code,
            retry_after: least.max(backlog).mul_f64(jitter),
        });
    }
}

/// When a request that waits can no longer meet its deadline.
pub(super) fn latest_start(now: Duration, deadline: Duration, service: Spread) -> Duration {
    let latest = deadline.saturating_sub(Duration::from_secs_f64(service.most()));
    latest.max(now)
}
