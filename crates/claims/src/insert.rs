//! Making a claim: inserting its row, or interpreting the existing row.

use crate::{
    batch::{Precondition, RowWrite, WriteResult},
    batcher::PendingWrite,
    outcome::OutcomeWriter,
    permit::{HeldClaim, PendingPermit},
    recent::RecentGrants,
    response::StoredResponse,
    row::{ClaimRow, ClaimState},
};
use primroseroute_domain::time;
use primroseroute_platform::table::{self, Key, Revision};
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};
use tokio::{sync::oneshot, time::Instant};

/// The batcher's reply to one claim.
#[derive(Debug)]
pub(crate) enum Reply {
    Granted(PendingPermit),
    Replay(StoredResponse),
    InProgress,
    OutcomeUnknown,
    NotKept,
    KeyReused,
    Unavailable,
}

/// One claim to be inserted into the table.
///
/// # Why a key is granted at most once
///
/// A grant requires proof that the row of this claim's own operation exists: either its commit
/// succeeded, or a read found the operation in the row. Rows are written only on the condition that
/// there is no row or that the released row read before is unchanged, so exactly one of several
/// operations succeeds. Operation ids are never shared, and each is granted only by the insert that
/// created it.
///
/// # A commit whose result was lost
///
/// It is sent again under the same precondition and with the same operation. If the first one was
/// applied, the second conflicts and the row that is read is this claim's own: granted. If the
/// first one was lost, the second is applied: granted. If the first one is applied late, before or
/// after the second, at most one of the two can succeed, because each invalidates the precondition
/// of the other, and both write the same row. A read alone would not suffice: it may find nothing
/// and the late commit may be applied after it. No order of events results in two rows or in the
/// row of another operation, hence none results in a second grant.
#[derive(Debug)]
pub(crate) struct Insert {
    pub(crate) key: Key,
    pub(crate) row: ClaimRow,
    pub(crate) precondition: Precondition,
    /// Whether an earlier commit of this operation may have been applied or may still be.
    pub(crate) unresolved: bool,
    /// Whether a row exists that could not be read: an earlier attempt may have run.
    pub(crate) row_unread: Arc<AtomicBool>,
    pub(crate) deadline: Instant,
    pub(crate) wall_time: time::Instant,
    pub(crate) reply: oneshot::Sender<Reply>,
    pub(crate) outcomes: OutcomeWriter,
    pub(crate) recent_grants: Arc<RecentGrants>,
}

impl Insert {
    fn reply_with(self, reply: Reply) {
        // If the caller is gone, the reply is dropped, and with it a grant, which releases the row.
        let _: Result<(), Reply> = self.reply.send(reply);
    }

    fn grant(self, revision: Revision) {
        let claim = HeldClaim {
            key: self.key,
            row: self.row,
            revision,
            outcomes: self.outcomes,
            recent_grants: self.recent_grants,
        };
        let _: Result<(), Reply> = self.reply.send(Reply::Granted(PendingPermit::new(claim)));
    }

    fn on_conflict(mut self, found: &table::Row) -> Option<Self> {
        let Some(row) = ClaimRow::decode(found) else {
            // A row that cannot be read may belong to a request that ran.
            self.reply_with(Reply::OutcomeUnknown);
            return None;
        };
        if row.operation == self.row.operation && row.state == ClaimState::Claimed {
            self.grant(found.revision);
            return None;
        }
        if row.state == ClaimState::Released {
            self.row_unread.store(false, Ordering::Relaxed);
            self.precondition = Precondition::At(found.revision);
            return Some(self);
        }
        let reply = if row.fingerprint == self.row.fingerprint {
            reply_for(row, self.wall_time)
        } else {
            Reply::KeyReused
        };
        self.reply_with(reply);
        None
    }
}

fn reply_for(row: ClaimRow, now: time::Instant) -> Reply {
    match row.state {
        ClaimState::Completed(response) => Reply::Replay(response),
        ClaimState::NotKept => Reply::NotKept,
        ClaimState::Claimed if now < row.until => Reply::InProgress,
        ClaimState::Claimed | ClaimState::Unknown | ClaimState::Released => Reply::OutcomeUnknown,
    }
}

impl PendingWrite for Insert {
    fn row_write(&self) -> RowWrite {
        RowWrite {
            key: Key::clone(&self.key),
            precondition: self.precondition,
            value: self.row.encode(),
        }
    }

    fn handle_result(mut self, result: WriteResult) -> Option<Self> {
        match result {
            WriteResult::Committed(revision) => {
                self.grant(revision);
                None
            }
            WriteResult::Conflict(Some(row)) => self.on_conflict(&row),
            WriteResult::UnreadConflict => {
                self.row_unread.store(true, Ordering::Relaxed);
                Some(self)
            }
            WriteResult::Conflict(None) => {
                self.row_unread.store(false, Ordering::Relaxed);
                self.precondition = Precondition::Absent;
                Some(self)
            }
            WriteResult::Failed { may_have_applied } => {
                self.unresolved |= may_have_applied;
                Some(self)
            }
        }
    }

    fn is_obsolete(&self, now: Instant) -> bool {
        now >= self.deadline || self.reply.is_closed()
    }

    fn abandon(self) {
        if self.unresolved {
            let key = Key::clone(&self.key);
            self.outcomes
                .release(key, self.row.clone(), self.precondition);
        }
        self.reply_with(Reply::Unavailable);
    }
}
