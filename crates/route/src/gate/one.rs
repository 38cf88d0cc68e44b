//! The gate before one pool.

use super::Step;
use parking_lot::Mutex;
use primroseroute_flow::{pool::Pool, report::Report, request::Action, view::View};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{
    sync::{Notify, oneshot},
    time::{Instant, sleep_until},
};

/// The decisions, and the requests that wait for their next step.
#[derive(Debug)]
pub(super) struct State {
    pub(super) decisions: Pool,
    pub(super) waiting: BTreeMap<u64, oneshot::Sender<Step>>,
    /// The view in force; none before the first.
    view: Option<View>,
    /// Whether the last report for the peers had nothing in it.
    was_quiet: bool,
}

/// The gate before one pool.
#[derive(Debug)]
pub(super) struct Gate {
    started: Instant,
    pub(super) state: Mutex<State>,
    wake: Notify,
}

impl Gate {
    /// A gate whose times count from `started`.
    pub(super) fn new(decisions: Pool, started: Instant) -> Self {
        let state = State {
            decisions,
            waiting: BTreeMap::new(),
            view: None,
            was_quiet: true,
        };
        Self {
            started,
            state: Mutex::new(state),
            wake: Notify::new(),
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Runs one decision and hands its actions to the requests that wait for them.
    pub(super) fn decide(&self, decision: impl FnOnce(&mut Pool, Duration) -> Vec<Action>) {
        self.decide_in(&mut self.state.lock(), decision);
    }

    /// The same where a request that `decision` is about joins or leaves those that wait.
    pub(super) fn decide_in(
        &self,
        state: &mut State,
        decision: impl FnOnce(&mut Pool, Duration) -> Vec<Action>,
    ) {
        let due = state.decisions.next_tick();
        let actions = decision(&mut state.decisions, self.now());
        for action in actions {
            self.pass_on(state, action);
        }
        if state.decisions.next_tick() != due {
            self.wake.notify_one();
        }
    }

    /// Puts `view` in force; one that is in force already costs a comparison.
    pub(super) fn put_in_force(&self, view: View) {
        let mut state = self.state.lock();
        if state.view.as_ref() == Some(&view) {
            return;
        }
        self.decide_in(&mut state, |pool, now| pool.apply_view(now, &view));
        state.view = Some(view);
    }

    fn pass_on(&self, state: &mut State, action: Action) {
        let (request, step) = match action {
            Action::Send {
                request,
                instance,
                not_after,
                ..
            } => (
                request,
                Step::Send {
                    instance,
                    not_after: self.started + not_after,
                },
            ),
            Action::Refuse {
                request,
                code,
                retry_after,
            } => (request, Step::Refuse { code, retry_after }),
        };
        // A ticket is told of its own end by `Ticket::drop`, so a send that fails is one that was
        // cancelled in the same moment, and the cancellation follows.
        let waiter = state.waiting.remove(&request);
        let delivered = waiter.is_some_and(|waiter| waiter.send(step).is_ok());
        if !delivered {
            log::debug!("request {request} went away before its next step");
        }
    }

    /// The report of a busy pool that has news.
    ///
    /// A pool that nobody calls has nothing to say: its keep-alives alone would be 54 messages a
    /// second to each peer at 270 pools. The report that it fell quiet is sent once.
    pub(super) fn news(&self) -> Option<Report> {
        let mut state = self.state.lock();
        let report = state.decisions.report_if_changed(self.now())?;
        let is_quiet = report.demand.is_empty() && report.lent.is_empty() && report.seen.is_empty();
        let was_quiet = std::mem::replace(&mut state.was_quiet, is_quiet);
        (!is_quiet || !was_quiet).then_some(report)
    }

    pub(super) async fn run_timer(self: Arc<Self>) {
        loop {
            let due = self.state.lock().decisions.next_tick();
            match due {
                Some(due) => {
                    tokio::select! {
                        () = sleep_until(self.started + due) => self.decide(Pool::tick),
                        () = self.wake.notified() => {}
                    }
                }
                None => self.wake.notified().await,
            }
        }
    }
}
