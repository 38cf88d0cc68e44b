//! Timers and sending.

use super::{Phase, Pool, admit::latest_start};
use crate::{fair, request::Action, worker::Wish};
use primroseroute_domain::outcome::Code;
use std::time::Duration;

impl Pool {
    /// Does what is due, sends what can be sent, and hands the actions out.
    pub(super) fn settle(&mut self, now: Duration) -> Vec<Action> {
        self.expire(now);
        self.dispatch(now);
        std::mem::take(&mut self.actions)
    }

    /// Runs the timers that are due.
    pub(super) fn expire(&mut self, now: Duration) {
        while let Some(&(at, worker)) = self.shut.first().filter(|(at, _)| *at <= now) {
            self.shut.remove(&(at, worker));
            self.workers
                .change(worker, |worker| worker.health.half_open(at));
        }
        while let Some(&(at, worker, number)) = self.held.first().filter(|(at, ..)| *at <= now) {
            self.held.remove(&(at, worker, number));
            self.release(worker);
        }
        while let Some(&(at, request)) = self.timers.first().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, request));
            self.fire(now, request);
        }
    }

    fn fire(&mut self, now: Duration, number: u64) {
        match self.requests.get(&number).map(|request| request.phase) {
            Some(Phase::Waiting { .. }) => self.last_chance(now, number),
            Some(Phase::BackingOff { .. }) => self.resume(now, number),
            Some(Phase::Sent { .. }) | None => {}
        }
    }

    /// Refuses a request that is unlikely to meet its deadline, unless a slot is free for it now.
    ///
    /// The estimate may be wrong. Were such requests refused beside a free slot, no answer would ever
    /// correct it, and callers with deadlines below it would be refused for ever.
    fn last_chance(&mut self, now: Duration, number: u64) {
        self.dispatch(now);
        let request = self.requests.get(&number);
        if request.is_some_and(|request| matches!(request.phase, Phase::Waiting { .. })) {
            self.give_up(number);
        }
    }

    /// Refuses a waiting request.
    fn give_up(&mut self, number: u64) {
        if let Some(request) = self.requests.remove(&number) {
            if let Phase::Waiting { until } = request.phase {
                self.timers.remove(&(until, number));
            }
            self.queue
                .remove(&request.account, &request.service, request.class, number);
            self.refuse(number, request.verdict(Code::DeadlineUnreachable));
        }
    }

    /// Puts a request whose back-off is over at the front of its line.
    fn resume(&mut self, now: Duration, number: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let service = self.times.service(&request.service);
        let until = latest_start(now, request.deadline, service);
        let item = fair::Item {
            request: number,
            account: request.account.clone(),
            service: request.service.clone(),
            class: request.class,
            cost: service.mean(),
        };
        self.queue.push_front(item);
        self.timers.insert((until, number));
        if let Some(request) = self.requests.get_mut(&number) {
            request.phase = Phase::Waiting { until };
        }
    }

    /// Sends waiting requests in fair order while a worker has a slot for them.
    fn dispatch(&mut self, now: Duration) {
        while self.workers.has_free() {
            let Some(item) = self.queue.pop() else {
                return;
            };
            let request = self.requests.get(&item.request);
            if request.is_some_and(|request| request.deadline <= now) {
                self.give_up(item.request);
            } else {
                self.send(now, item.request);
            }
        }
    }

    fn send(&mut self, now: Duration, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let wish = Wish {
            idempotent: request.idempotent,
            tried: &request.tried,
        };
        let Some(index) = self.workers.choose(wish, &mut self.random) else {
            return;
        };
        if let Phase::Waiting { until } = request.phase {
            self.timers.remove(&(until, number));
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
