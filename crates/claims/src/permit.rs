//! Permission to send a claimed request.

use crate::{
    outcome::OutcomeWriter,
    recent::RecentGrants,
    response::StoredResponse,
    row::{ClaimRow, ClaimState},
};
use primroseroute_platform::table::{Key, Revision};
use std::sync::Arc;

/// Permission to send one request to a backend server, once.
///
/// The claim's row is committed and states that the request may have run. The row is unique, so an
/// entry that is suspended here for any length of time and then sends is still the only one that
/// does.
///
/// Dropping a permit without reporting an outcome counts as [`Permit::unknown`], which is always
/// correct.
#[derive(Debug)]
pub struct Permit {
    claim: Option<HeldClaim>,
}

#[derive(Debug)]
pub(crate) struct HeldClaim {
    pub(crate) key: Key,
    pub(crate) row: ClaimRow,
    pub(crate) revision: Revision,
    pub(crate) outcomes: OutcomeWriter,
    pub(crate) recent_grants: Arc<RecentGrants>,
}

impl HeldClaim {
    fn finish(self, state: ClaimState) {
        if state == ClaimState::Released {
            self.recent_grants.remove(&self.key);
        }
        self.outcomes
            .write(self.key, self.row, self.revision, state);
    }
}

impl Permit {
    /// The request completed; `response` is stored for repeats, asynchronously.
    pub fn completed(mut self, response: StoredResponse) {
        self.finish(ClaimState::Completed(response));
    }

    /// No byte of the request was sent. A retry may run.
    pub fn not_run(mut self) {
        self.finish(ClaimState::Released);
    }

    /// The request was or may have been sent, and its outcome will never be known.
    pub fn unknown(mut self) {
        self.finish(ClaimState::Unknown);
    }

    fn finish(&mut self, state: ClaimState) {
        if let Some(claim) = self.claim.take() {
            claim.finish(state);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.finish(ClaimState::Unknown);
    }
}

/// A permit that the caller of `claim` has not yet received.
///
/// The caller may stop waiting while the row is committed: its connection is closed, or it timed
/// out and was told `not-run`. The permit is then never used, so dropping this releases the row.
#[derive(Debug)]
pub(crate) struct PendingPermit(Option<HeldClaim>);

impl PendingPermit {
    pub(crate) fn new(claim: HeldClaim) -> Self {
        Self(Some(claim))
    }

    pub(crate) fn accept(mut self) -> Permit {
        Permit {
            claim: self.0.take(),
        }
    }
}

impl Drop for PendingPermit {
    fn drop(&mut self) {
        if let Some(claim) = self.0.take() {
            claim.finish(ClaimState::Released);
        }
    }
}
