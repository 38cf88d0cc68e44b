//! A request's registration with a dispatcher.

use super::{Decision, dispatcher::Dispatcher};
use primroseroute_domain::outcome::Code;
use primroseroute_flow::request::AttemptOutcome;
use std::{sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// A request's registration with a dispatcher; dropping it before the request has ended cancels
/// the request.
#[derive(Debug)]
pub(crate) struct RequestHandle {
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) number: u64,
    /// Receives the next decision. Each decision has its own channel, since a dispatcher makes one
    /// decision at a time.
    pub(super) decision: Option<oneshot::Receiver<Decision>>,
    pub(super) ended: bool,
}

impl RequestHandle {
    /// Waits for the next decision; a dispatcher always makes one until the request has ended.
    pub(crate) async fn next_decision(&mut self) -> Decision {
        let decision = match self.decision.take() {
            Some(receiver) => receiver.await.ok(),
            None => None,
        };
        let fallback = Decision::Refuse {
            code: Code::Overloaded,
            retry_after: Duration::from_secs(1),
        };
        let decision = decision.unwrap_or(fallback);
        self.ended |= matches!(decision, Decision::Refuse { .. });
        decision
    }

    /// Moves the request to another owner, such as the body of a streaming response.
    pub(crate) fn hand_over(&mut self) -> Self {
        let moved = Self {
            dispatcher: Arc::clone(&self.dispatcher),
            number: self.number,
            decision: self.decision.take(),
            ended: self.ended,
        };
        self.ended = true;
        moved
    }

    /// Reports the outcome of an attempt to the dispatcher.
    pub(crate) fn finish(&mut self, outcome: AttemptOutcome) {
        self.ended |= matches!(
            outcome,
            AttemptOutcome::Responded { .. } | AttemptOutcome::Cancelled
        );
        let mut state = self.dispatcher.state.lock();
        if self.ended {
            state.waiters.remove(&self.number);
        } else {
            let (sender, receiver) = oneshot::channel();
            state.waiters.insert(self.number, sender);
            self.decision = Some(receiver);
        }
        self.dispatcher
            .handle_event_locked(&mut state, |pool, now| {
                pool.finish(now, self.number, outcome)
            });
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        if !self.ended {
            self.finish(AttemptOutcome::Cancelled);
        }
    }
}
