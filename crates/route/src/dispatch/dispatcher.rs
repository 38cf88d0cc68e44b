//! The dispatcher of one pool.

use super::Decision;
use parking_lot::Mutex;
use primroseroute_flow::{pool::Pool, report::Report, request::Action, view::View};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{
    sync::{Notify, oneshot},
    time::{Instant, sleep_until},
};

/// The state machine, and the requests that wait for its next decision.
#[derive(Debug)]
pub(super) struct State {
    pub(super) pool: Pool,
    pub(super) waiters: BTreeMap<u64, oneshot::Sender<Decision>>,
    /// The view applied last; none before the first.
    view: Option<View>,
    /// Whether the last report for the peers was empty.
    was_idle: bool,
}

/// The dispatcher of one pool.
#[derive(Debug)]
pub(super) struct Dispatcher {
    started: Instant,
    pub(super) state: Mutex<State>,
    wake: Notify,
}

impl Dispatcher {
    /// Creates a dispatcher whose times count from `started`.
    pub(super) fn new(pool: Pool, started: Instant) -> Self {
        let state = State {
            pool,
            waiters: BTreeMap::new(),
            view: None,
            was_idle: true,
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

    /// Passes one event to the state machine and delivers the returned actions to waiting requests.
    pub(super) fn handle_event(&self, event: impl FnOnce(&mut Pool, Duration) -> Vec<Action>) {
        self.handle_event_locked(&mut self.state.lock(), event);
    }

    /// Like [`Self::handle_event`], with the lock already held: the caller adds or removes a waiting
    /// request together with the event.
    pub(super) fn handle_event_locked(
        &self,
        state: &mut State,
        event: impl FnOnce(&mut Pool, Duration) -> Vec<Action>,
    ) {
        let due = state.pool.next_tick();
        let actions = event(&mut state.pool, self.now());
        for action in actions {
            self.deliver(state, action);
        }
        if state.pool.next_tick() != due {
            self.wake.notify_one();
        }
    }

    /// Applies `view`; returns after a comparison if it has been applied already.
    pub(super) fn apply_view(&self, view: View) {
        let mut state = self.state.lock();
        if state.view.as_ref() == Some(&view) {
            return;
        }
        self.handle_event_locked(&mut state, |pool, now| pool.apply_view(now, &view));
        state.view = Some(view);
    }

    fn deliver(&self, state: &mut State, action: Action) {
        let (request, decision) = match action {
            Action::Send {
                request,
                instance,
                not_after,
                ..
            } => (
                request,
                Decision::Send {
                    instance,
                    not_after: self.started + not_after,
                },
            ),
            Action::Refuse {
                request,
                code,
                retry_after,
            } => (request, Decision::Refuse { code, retry_after }),
        };
        // The send fails only if the request was cancelled at the same moment; `RequestHandle::drop`
        // then reports the cancellation to the state machine.
        let waiter = state.waiters.remove(&request);
        let delivered = waiter.is_some_and(|waiter| waiter.send(decision).is_ok());
        if !delivered {
            log::debug!("request {request} was cancelled before its next decision");
        }
    }

    /// The report of an active pool, if it has changed.
    ///
    /// Idle pools are not reported: their keep-alives alone would be 54 messages a second to each
    /// peer at 270 pools. The report that a pool became idle is sent once.
    pub(super) fn changed_report(&self) -> Option<Report> {
        let mut state = self.state.lock();
        let report = state.pool.report_if_changed(self.now())?;
        let is_idle = report.demand.is_empty() && report.lent.is_empty() && report.seen.is_empty();
        let was_idle = std::mem::replace(&mut state.was_idle, is_idle);
        (!is_idle || !was_idle).then_some(report)
    }

    pub(super) async fn run_timer(self: Arc<Self>) {
        loop {
            let due = self.state.lock().pool.next_tick();
            match due {
                Some(due) => {
                    tokio::select! {
                        () = sleep_until(self.started + due) => self.handle_event(Pool::tick),
                        () = self.wake.notified() => {}
                    }
                }
                None => self.wake.notified().await,
            }
        }
    }
}
