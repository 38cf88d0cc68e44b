//! A request's place at a gate.

use super::{Step, one::Gate};
use primroseroute_domain::outcome::Code;
use primroseroute_flow::request::AttemptOutcome;
use std::{sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// A request's place at a gate; dropping it early tells the gate that the caller went away.
#[derive(Debug)]
pub(crate) struct Ticket {
    pub(super) gate: Arc<Gate>,
    pub(super) number: u64,
    /// Brings the next step; a new one for each, since a gate decides one step at a time.
    pub(super) step: Option<oneshot::Receiver<Step>>,
    pub(super) over: bool,
}

impl Ticket {
    /// The next step; a gate always has one until the request is over.
    pub(crate) async fn next(&mut self) -> Step {
        let step = match self.step.take() {
            Some(step) => step.await.ok(),
            None => None,
        };
        let lost = Step::Refuse {
            code: Code::Overloaded,
            retry_after: Duration::from_secs(1),
        };
        let step = step.unwrap_or(lost);
        self.over |= matches!(step, Step::Refuse { .. });
        step
    }

    /// Moves the request to another owner, such as the body of a streaming answer.
    pub(crate) fn hand_over(&mut self) -> Self {
        let handed = Self {
            gate: Arc::clone(&self.gate),
            number: self.number,
            step: self.step.take(),
            over: self.over,
        };
        self.over = true;
        handed
    }

    /// Tells the gate how an attempt ended.
    pub(crate) fn finish(&mut self, ending: AttemptOutcome) {
        self.over |= matches!(
            ending,
            AttemptOutcome::Responded { .. } | AttemptOutcome::Cancelled
        );
        let mut state = self.gate.state.lock();
        if self.over {
            state.waiting.remove(&self.number);
        } else {
            let (sender, step) = oneshot::channel();
            state.waiting.insert(self.number, sender);
            self.step = Some(step);
        }
        self.gate.decide_in(&mut state, |pool, now| {
            pool.finish(now, self.number, ending)
        });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.over {
            self.finish(AttemptOutcome::Cancelled);
        }
    }
}
