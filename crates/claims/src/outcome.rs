//! Writing the outcomes of claims, asynchronously after the caller's response.

use crate::{
    batch::{Precondition, RowWrite, WriteResult},
    batcher::{Batcher, PendingWrite},
    row::{ClaimRow, ClaimState},
};
use primroseroute_platform::table::{Key, Revision};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;

/// One outcome to be written to the table.
#[derive(Debug)]
pub(crate) struct OutcomeWrite {
    key: Key,
    precondition: Precondition,
    row: ClaimRow,
    deadline: Instant,
    #[expect(dead_code, reason = "held for its drop")]
    reservation: Reservation,
    lost_count: Arc<AtomicU64>,
}

/// The bytes of the budget that a pending response uses; returned when this is dropped.
#[derive(Debug)]
struct Reservation {
    bytes: usize,
    reserved_bytes: Arc<AtomicUsize>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.reserved_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl PendingWrite for OutcomeWrite {
    fn row_write(&self) -> RowWrite {
        RowWrite {
            key: Key::clone(&self.key),
            precondition: self.precondition,
            value: self.row.encode(),
        }
    }

    fn handle_result(mut self, result: WriteResult) -> Option<Self> {
        match result {
            WriteResult::Failed { .. } | WriteResult::UnreadConflict => Some(self),
            WriteResult::Conflict(Some(found)) => {
                let row = ClaimRow::decode(&found)?;
                let is_own =
                    row.operation == self.row.operation && row.state == ClaimState::Claimed;
                // Otherwise it is this outcome, written by a commit whose result was lost, or the
                // row of a later attempt, which an earlier one must not modify.
                is_own.then(|| {
                    self.precondition = Precondition::At(found.revision);
                    self
                })
            }
            // If there is no row, it has been swept: the outcome is no longer needed.
            WriteResult::Committed(_) | WriteResult::Conflict(None) => None,
        }
    }

    fn is_obsolete(&self, now: Instant) -> bool {
        now >= self.deadline
    }

    fn abandon(self) {
        self.lost_count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes outcomes, with limits on their number, size and time.
#[derive(Clone, Debug)]
pub(crate) struct OutcomeWriter {
    pub(crate) batcher: Batcher<OutcomeWrite>,
    pub(crate) write_timeout: Duration,
    pub(crate) max_response_bytes: usize,
    pub(crate) max_pending_bytes: usize,
    pub(crate) reserved_bytes: Arc<AtomicUsize>,
    pub(crate) lost_count: Arc<AtomicU64>,
}

impl OutcomeWriter {
    /// Writes `state` to the claim's row, which has `revision`.
    pub(crate) fn write(&self, key: Key, row: ClaimRow, revision: Revision, state: ClaimState) {
        self.submit(key, row, Precondition::At(revision), state);
    }

    /// Releases a claim that was never granted and whose row may or may not exist.
    ///
    /// The caller was told `not-run`, but a commit whose result was lost may have been applied, or
    /// may be applied later: every retry would then be answered "unknown" although nothing ever
    /// ran. If there is no row, writing a released one is enough, since the late insert then
    /// conflicts with it.
    pub(crate) fn release(&self, key: Key, row: ClaimRow, precondition: Precondition) {
        self.submit(key, row, precondition, ClaimState::Released);
    }

    fn submit(&self, key: Key, mut row: ClaimRow, precondition: Precondition, state: ClaimState) {
        let (state, reservation) = self.reserve(state);
        row.state = state;
        let write = OutcomeWrite {
            key,
            precondition,
            row,
            deadline: Instant::now() + self.write_timeout,
            reservation,
            lost_count: Arc::clone(&self.lost_count),
        };
        if let Err(write) = self.batcher.submit(write) {
            write.abandon();
        }
    }

    /// Reserves budget for a response, or replaces the state by [`ClaimState::NotKept`] if the response
    /// alone or together with the pending ones is too large.
    fn reserve(&self, state: ClaimState) -> (ClaimState, Reservation) {
        let reserved_bytes = Arc::clone(&self.reserved_bytes);
        let bytes = match &state {
            ClaimState::Completed(response) => response.size(),
            _ => 0,
        };
        let previous = reserved_bytes.fetch_add(bytes, Ordering::Relaxed);
        let reservation = Reservation {
            bytes,
            reserved_bytes,
        };
        if bytes > self.max_response_bytes || previous + bytes > self.max_pending_bytes {
            drop(reservation);
            return (
                ClaimState::NotKept,
                Reservation {
                    bytes: 0,
                    reserved_bytes: Arc::clone(&self.reserved_bytes),
                },
            );
        }
        (state, reservation)
    }
}
