//! Timers and dispatch of queued requests.

use super::{Phase, Pool, admit::latest_start};
use crate::{fair, request::Action, worker::Preferences};
use primroseroute_domain::outcome::Code;
use std::time::Duration;

impl Pool {
    /// Runs due timers, sends what can be sent, and returns the pending actions.
    pub(super) fn advance(&mut self, now: Duration) -> Vec<Action> {
        self.run_timers(now);
        self.dispatch(now);
        std::mem::take(&mut self.actions)
    }

    /// Runs due timers.
    pub(super) fn run_timers(&mut self, now: Duration) {
        while let Some(&(at, worker)) = self.probe_timers.first().filter(|(at, _)| *at <= now) {
            self.probe_timers.remove(&(at, worker));
            self.workers
                .change(worker, |worker| worker.health.allow_probe(at));
        }
        while let Some(&(at, worker, number)) =
            self.held_slots.first().filter(|(at, ..)| *at <= now)
        {
            self.held_slots.remove(&(at, worker, number));
            self.release(worker);
        }
        while let Some(&(at, request)) = self.request_timers.first().filter(|(at, _)| *at <= now) {
            self.request_timers.remove(&(at, request));
            self.on_request_timer(now, request);
        }
    }

    fn on_request_timer(&mut self, now: Duration, number: u64) {
        match self.requests.get(&number).map(|request| request.phase) {
            Some(Phase::Waiting { .. }) => self.dispatch_or_refuse(now, number),
            Some(Phase::BackingOff { .. }) => self.requeue(now, number),
            Some(Phase::Sent { .. }) | None => {}
        }
    }

    /// Refuses a request that is unlikely to meet its deadline, unless a slot is free for it now.
    ///
    /// The estimate may be too high. If such requests were refused while slots are free, no response
    /// would ever correct it, and callers with shorter deadlines would be refused forever.
    fn dispatch_or_refuse(&mut self, now: Duration, number: u64) {
        self.dispatch(now);
        let request = self.requests.get(&number);
        if request.is_some_and(|request| matches!(request.phase, Phase::Waiting { .. })) {
            self.refuse_waiting(number);
        }
    }

    /// Refuses a queued request.
    fn refuse_waiting(&mut self, number: u64) {
        if let Some(request) = self.requests.remove(&number) {
            if let Phase::Waiting { until } = request.phase {
                self.request_timers.remove(&(until, number));
            }
            self.queue
                .remove(&request.account, &request.service, request.class, number);
            self.refuse(number, request.final_code(Code::DeadlineUnreachable));
        }
    }

    /// Returns a request whose backoff has ended to the front of its queue.
    fn requeue(&mut self, now: Duration, number: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let service = self.service_times.service(&request.service);
        let until = latest_start(now, request.deadline, service);
        let item = fair::QueuedRequest {
            request: number,
            account: request.account.clone(),
            service: request.service.clone(),
            class: request.class,
            cost: service.mean(),
        };
        self.queue.push_front(item);
        self.request_timers.insert((until, number));
        if let Some(request) = self.requests.get_mut(&number) {
            request.phase = Phase::Waiting { until };
        }
    }

    /// Sends queued requests in fair order while any worker has a free slot.
    fn dispatch(&mut self, now: Duration) {
        while self.workers.has_free_slot() {
            let Some(item) = self.queue.pop() else {
                return;
            };
            let request = self.requests.get(&item.request);
            if request.is_some_and(|request| request.deadline <= now) {
                self.refuse_waiting(item.request);
            } else {
                self.send(now, item.request);
            }
        }
    }

    fn send(&mut self, now: Duration, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let preferences = Preferences {
            idempotent: request.idempotent,
            tried: &request.tried,
        };
        let Some(index) = self.workers.choose(preferences, &mut self.rng) else {
            return;
        };
        if let Phase::Waiting { until } = request.phase {
            self.request_timers.remove(&(until, number));
        }
        request.attempt += 1;
        request.phase = Phase::Sent {
            worker: index,
            at: now,
        };
        if request.attempt == 1 {
            self.budget.deposit();
        }
        let (attempt, not_after) = (request.attempt, request.deadline);
        let instance = self.workers.change(index, |worker| {
            worker.in_flight += 1;
            worker.id.clone()
        });
        self.actions.extend(instance.map(|instance| Action::Send {
            request: number,
            instance,
            attempt,
            not_after,
        }));
    }
}
