//! Admission control.

use super::{Phase, Pool, Request};
use crate::{
    estimate::ServiceTime,
    fair,
    request::{Action, Arrival},
};
use primroseroute_domain::{id, outcome::Code};
use rand::RngExt;
use std::time::Duration;

/// Maximum expected wait of an admitted request, as a fraction of the time to its deadline.
///
/// If queues were as long as deadlines allow, every request of more than average duration would be
/// late and waste its slot, and long requests account for most of the work.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// Lower bound of the slots assumed to serve an account, so that wait estimates stay finite.
const MIN_SERVICE_SLOTS: f64 = 0.1;

impl Pool {
    /// Admits or refuses a request.
    ///
    /// # Panics
    /// If the request number is in use: two callers could receive each other's responses.
    pub fn arrive(&mut self, now: Duration, arrival: Arrival) -> Vec<Action> {
        assert!(
            !self.requests.contains_key(&arrival.request),
            "request numbers are used once"
        );
        self.run_timers(now);
        let service = self.service_times.service(&arrival.service);
        self.meter.add(now, &arrival.account, service.mean());
        if let Some(code) = self.refusal_reason(now, &arrival, service) {
            self.refuse(arrival.request, code);
            return self.advance(now);
        }
        self.enqueue(now, arrival, service);
        self.advance(now)
    }

    /// The reason to refuse a request, or `None` to admit it.
    fn refusal_reason(
        &self,
        now: Duration,
        arrival: &Arrival,
        service: ServiceTime,
    ) -> Option<Code> {
        if self.workers.totals().serving == 0 {
            return Some(Code::NoInstance);
        }
        if arrival.deadline <= now {
            return Some(Code::DeadlineUnreachable);
        }
        if self.queue.is_empty() && self.workers.has_free_slot() {
            // Start it regardless of the estimate. Otherwise an estimate that is too high would
            // cause all requests to be refused and would never be corrected.
            return None;
        }
        let waiting = self.queue.waiting(&arrival.account, &arrival.service);
        if waiting >= self.limits.max_queued {
            return Some(Code::QueueFull);
        }
        let rate = self.rate(&arrival.account);
        let wait = self
            .queue
            .expected_wait(&arrival.account, arrival.class, rate);
        let remaining = arrival.deadline.saturating_sub(now).as_secs_f64();
        let max_wait = (remaining - service.upper_bound()).min(remaining * MAX_WAIT_FRACTION);
        (wait > max_wait).then_some(Code::DeadlineUnreachable)
    }

    fn enqueue(&mut self, now: Duration, arrival: Arrival, service: ServiceTime) {
        let until = latest_start(now, arrival.deadline, service);
        self.queue.push(fair::QueuedRequest {
            request: arrival.request,
            account: arrival.account.clone(),
            service: arrival.service.clone(),
            class: arrival.class,
            cost: service.mean(),
        });
        self.request_timers.insert((until, arrival.request));
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

    /// Number of slots that serve an account while it has requests queued.
    fn rate(&self, account: &id::Account) -> f64 {
        let slots = self.slots();
        let measured = self.rates.get(account).copied();
        let part = measured.unwrap_or_else(|| self.queue.weight_fraction(account));
        (slots * part).max(MIN_SERVICE_SLOTS)
    }

    /// Number of slots that this entry may use, at least one because it is used as a divisor.
    fn slots(&self) -> f64 {
        f64::from(self.workers.totals().slots.max(1))
    }

    /// Adds a refusal to the actions.
    ///
    /// The retry-after grows with the backlog and has jitter, so that callers that were refused
    /// together do not retry together.
    pub(super) fn refuse(&mut self, request: u64, code: Code) {
        let backlog = Duration::from_secs_f64(self.queue.cost() / self.slots());
        let min_delay = match code {
            Code::NoInstance => self.limits.min_retry_after_no_instance,
            _ => self.limits.min_retry_after,
        };
        let jitter = 1.0 + self.rng.random::<f64>() / 2.0;
        self.actions.push(Action::Refuse {
            request,
            code,
            retry_after: min_delay.max(backlog).mul_f64(jitter),
        });
    }
}

/// The time after which a queued request can no longer meet its deadline.
pub(super) fn latest_start(now: Duration, deadline: Duration, service: ServiceTime) -> Duration {
    let latest = deadline.saturating_sub(Duration::from_secs_f64(service.upper_bound()));
    latest.max(now)
}
