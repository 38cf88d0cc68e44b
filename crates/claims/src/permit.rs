//! The right to send one request, once.

use crate::{
    answer::Answer,
    recent::Recent,
    record::Records,
    row::{Row, State},
};
use primroseroute_platform::table::{Key, Revision};
use std::sync::Arc;

/// The right to send one request to a backend server, once.
///
/// The claim's row is committed and says that the request may have run. The row is unique, so an
/// entry that is paused here, for however long, and then sends, is still the only one that does.
///
/// A permit that is dropped without a word counts as [`Permit::unknown`]: that is always true.
#[derive(Debug)]
pub struct Permit {
    claim: Option<Claimed>,
}

#[derive(Debug)]
pub(crate) struct Claimed {
    pub(crate) key: Key,
    pub(crate) row: Row,
    pub(crate) revision: Revision,
    pub(crate) records: Records,
    pub(crate) recent: Arc<Recent>,
}

impl Claimed {
    fn end(self, state: State) {
        if state == State::Released {
            self.recent.remove(&self.key);
        }
        self.records
            .outcome(self.key, self.row, self.revision, state);
    }
}

impl Permit {
    /// The request completed; `answer` is kept for repeats, written behind the caller's answer.
    pub fn completed(mut self, answer: Answer) {
        self.end(State::Completed(answer));
    }

    /// Proven: no byte of the request was sent. A retry may run.
    pub fn not_run(mut self) {
        self.end(State::Released);
    }

    /// It was sent, or may have been, and its outcome will not be learnt.
    pub fn unknown(mut self) {
        self.end(State::Unknown);
    }

    fn end(&mut self, state: State) {
        if let Some(claim) = self.claim.take() {
            claim.end(state);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.end(State::Unknown);
    }
}

/// A permit on its way to the caller of `claim`.
///
/// The caller may have gone while the row was committed: its connection closed, or its time was
/// up and it was told `not-run`. The permit was then never used, so the row is released.
#[derive(Debug)]
pub(crate) struct Grant(Option<Claimed>);

impl Grant {
    pub(crate) fn new(claim: Claimed) -> Self {
        Self(Some(claim))
    }

    pub(crate) fn accept(mut self) -> Permit {
        Permit {
            claim: self.0.take(),
        }
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if let Some(claim) = self.0.take() {
            claim.end(State::Released);
        }
    }
}
