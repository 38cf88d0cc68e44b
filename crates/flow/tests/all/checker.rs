//! Checks invariants of one pool over random histories, through its public interface.

use crate::fixture::{bad, check, entry, good, ms, name, view, worker};
use primroseroute_domain::{account::Class, id, instance::State};
use primroseroute_flow::{
    limits::Limits,
    pool::Pool,
    request::{Action, Arrival, AttemptOutcome},
    view::View,
};
use proptest::prelude::*;
use std::{collections::BTreeMap, time::Duration};

const WORKERS: usize = 5;

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        account: u8,
        timeout_ms: u16,
        idempotent: bool,
        urgent: bool,
    },
    Finish {
        which: prop::sample::Index,
        ending_kind: u8,
    },
    Cancel(prop::sample::Index),
    State {
        at: usize,
        state: u8,
    },
    Wait(u8),
}

fn step() -> impl Strategy<Value = Step> {
    let arrive = (0..3u8, 1..400u16, any::<bool>(), any::<bool>());
    let which = any::<prop::sample::Index>();
    prop_oneof![
        6 => arrive.prop_map(|(account, timeout_ms, idempotent, urgent)| Step::Arrive {
            account, timeout_ms, idempotent, urgent
        }),
        5 => (which.clone(), 0..6u8).prop_map(|(which, ending_kind)| Step::Finish { which, ending_kind }),
        1 => which.prop_map(Step::Cancel),
        1 => (0..WORKERS, 0..3u8).prop_map(|(at, state)| Step::State { at, state }),
        3 => (1..60u8).prop_map(Step::Wait),
    ]
}

/// The checker's record of an open request.
struct OpenRequest {
    arrival: Arrival,
    at: Option<id::Instance>,
    attempts: u32,
    may_have_run: bool,
}

struct Checker {
    pool: Pool,
    view: View,
    now: Duration,
    next: u64,
    open: BTreeMap<u64, OpenRequest>,
    first_attempts: u32,
    retries: u32,
}

impl Checker {
    fn step(&mut self, step: &Step) {
        match *step {
            Step::Arrive {
                account,
                timeout_ms,
                idempotent,
                urgent,
            } => {
                self.arrive(account, timeout_ms, idempotent, urgent);
            }
            Step::Finish { which, ending_kind } => self.finish(which, ending_kind),
            Step::Cancel(which) => self.cancel(which),
            Step::State { at, state } => self.change_state(at, state),
            Step::Wait(millis) => self.wait(ms(u64::from(millis))),
        }
        self.check();
    }

    fn arrive(&mut self, account: u8, timeout_ms: u16, idempotent: bool, urgent: bool) {
        self.next += 1;
        let arrival = Arrival {
            request: self.next,
            account: name(&format!("a{account}")),
            service: name("stay"),
            class: if urgent {
                Class::Urgent
            } else {
                Class::Deferrable
            },
            deadline: self.now + ms(u64::from(timeout_ms)),
            idempotent,
        };
        let open = OpenRequest {
            arrival: arrival.clone(),
            at: None,
            attempts: 0,
            may_have_run: false,
        };
        self.open.insert(self.next, open);
        let actions = self.pool.arrive(self.now, arrival);
        self.check_actions(actions);
    }

    fn finish(&mut self, which: prop::sample::Index, ending_kind: u8) {
        let sent: Vec<_> = self
            .open
            .iter()
            .filter(|(_, open)| open.at.is_some())
            .collect();
        if sent.is_empty() {
            return;
        }
        let number = *which.get(&sent).0;
        let ending = match ending_kind {
            0 => bad(),
            1 => AttemptOutcome::NotSent,
            2 => AttemptOutcome::ConnectionLost,
            3 => AttemptOutcome::TimedOut,
            _ => good(7),
        };
        let open = self.open.get_mut(&number).expect("it is open");
        open.at = None;
        open.may_have_run |= matches!(
            ending,
            AttemptOutcome::ConnectionLost | AttemptOutcome::TimedOut
        );
        if matches!(ending, AttemptOutcome::Responded { .. }) {
            self.open.remove(&number);
        }
        let actions = self.pool.finish(self.now, number, ending);
        self.check_actions(actions);
    }

    fn cancel(&mut self, which: prop::sample::Index) {
        let numbers: Vec<_> = self.open.keys().copied().collect();
        if numbers.is_empty() {
            return;
        }
        let number = *which.get(&numbers);
        self.open.remove(&number);
        let actions = self
            .pool
            .finish(self.now, number, AttemptOutcome::Cancelled);
        self.check_actions(actions);
    }

    fn change_state(&mut self, at: usize, state: u8) {
        let initial = view(WORKERS, 1)
            .members
            .remove(&worker(at))
            .expect("a member");
        let member = self.view.members.entry(worker(at)).or_insert(initial);
        match state {
            0 => member.state = State::Serving,
            1 => member.state = State::Draining,
            _ => {
                self.view.members.remove(&worker(at));
            }
        }
        let actions = self.pool.apply_view(self.now, &self.view.clone());
        self.check_actions(actions);
    }

    /// Advances the time, with a tick whenever one is due.
    fn wait(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(due) = self.pool.next_tick().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            let actions = self.pool.tick(self.now);
            self.check_actions(actions);
            assert!(
                self.pool.next_tick().is_none_or(|next| next > self.now),
                "a tick has left its timer due"
            );
        }
        self.now = end;
    }

    fn check_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    request,
                    instance,
                    attempt,
                    not_after,
                } => {
                    self.check_send(request, instance, attempt, not_after);
                }
                Action::Refuse {
                    request,
                    code,
                    retry_after,
                } => {
                    let open = self
                        .open
                        .remove(&request)
                        .expect("refused once, while open");
                    assert!(open.at.is_none(), "refused while it is at a worker");
                    assert!(retry_after > Duration::ZERO);
                    let not_run = code.verdict() == primroseroute_domain::outcome::Verdict::NotRun;
                    assert!(
                        !(not_run && open.may_have_run),
                        "refused with {code} although it may have run"
                    );
                }
            }
        }
    }

    fn check_send(&mut self, number: u64, at: id::Instance, attempt: u32, not_after: Duration) {
        let open = self.open.get_mut(&number).expect("sent while open");
        assert!(open.at.is_none(), "sent while it is at a worker");
        assert!(
            !open.may_have_run || open.arrival.idempotent,
            "a non-idempotent request is sent twice"
        );
        assert!(self.now < open.arrival.deadline, "sent after its deadline");
        assert_eq!(not_after, open.arrival.deadline);
        let member = self.view.members.get(&at);
        assert!(
            member.is_some_and(|member| member.state == State::Serving),
            "sent to {at}, which is not serving"
        );
        open.attempts += 1;
        assert_eq!(open.attempts, attempt);
        assert!(attempt <= 3);
        self.first_attempts += u32::from(attempt == 1);
        self.retries += u32::from(attempt > 1);
        open.at = Some(at);
    }

    fn check(&self) {
        let budget = 10.0 + 0.2 * f64::from(self.first_attempts);
        assert!(
            f64::from(self.retries) <= budget + 1e-6,
            "{} retries",
            self.retries
        );
        for at in (0..WORKERS).map(worker) {
            let sent = self
                .open
                .values()
                .filter(|open| open.at.as_ref() == Some(&at))
                .count();
            let counted = self.pool.in_flight(&at) as usize;
            assert!(
                (sent..=8).contains(&counted),
                "{sent} requests at {at}, {counted} counted"
            );
        }
    }

    /// Ends the requests at workers and waits; no request may be left.
    fn close(mut self) {
        let sent: Vec<_> = self
            .open
            .iter()
            .filter(|(_, open)| open.at.is_some())
            .collect();
        let numbers: Vec<_> = sent.iter().map(|(number, _)| **number).collect();
        for number in numbers {
            self.open.remove(&number);
            let actions = self
                .pool
                .finish(self.now, number, AttemptOutcome::Cancelled);
            self.check_actions(actions);
        }
        while self.open.values().any(|open| open.at.is_none()) {
            let before = self.open.len();
            self.wait(ms(1_000));
            for number in self.open.keys().copied().collect::<Vec<_>>() {
                self.open.remove(&number);
                let actions = self.pool.finish(self.now, number, good(5));
                self.check_actions(actions);
            }
            assert!(self.open.len() < before, "requests never end");
        }
        self.wait(ms(60_000));
        assert_eq!(self.pool.waiting(), 0);
        assert!((0..WORKERS).all(|at| self.pool.in_flight(&worker(at)) == 0));
    }
}

#[test]
fn every_request_ends_once_and_only_safe_retries_are_sent() {
    check(300, &prop::collection::vec(step(), 1..250), |steps| {
        let mut pool = Pool::new(entry(0), 1, Limits::default(), 3);
        let view = view(WORKERS, 1);
        pool.apply_view(ms(0), &view);
        let mut checker = Checker {
            pool,
            view,
            now: ms(0),
            next: 0,
            open: BTreeMap::new(),
            first_attempts: 0,
            retries: 0,
        };
        for step in &steps {
            checker.step(step);
        }
        checker.close();
    });
}
