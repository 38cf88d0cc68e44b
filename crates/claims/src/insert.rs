//! Making a claim: inserting its row, or learning from the row that stands.

use crate::{
    answer::Answer,
    group::{Expect, Fate, Item},
    lane::Job,
    permit::{Claimed, Grant},
    recent::Recent,
    record::Records,
    row::{Row, State},
};
use primroseroute_domain::time;
use primroseroute_platform::table::{self, Key, Revision};
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};
use tokio::{sync::oneshot, time::Instant};

/// What the lane answers to one claim.
#[derive(Debug)]
pub(crate) enum Reply {
    Grant(Grant),
    Repeat(Answer),
    InProgress,
    OutcomeUnknown,
    NotKept,
    KeyReused,
    Unavailable,
}

/// One claim on its way to the table.
///
/// # Why a key is granted at most once
///
/// A grant needs proof that the row of this claim's own operation stands: either its commit was
/// answered, or a read found the operation in the row. Rows are written only under the condition
/// that none stands or that the released row read before is unchanged, so of all operations one
/// wins. Operations are never shared and each is granted by the one job that made it.
///
/// # A commit whose answer was lost
///
/// It is sent again under the same condition and with the same operation. If the first one took
/// effect, the second conflicts and the row that is read is this claim's own: granted. If the
/// first one was lost, the second takes effect: granted. If the first one is late and lands
/// between or after, at most one of the two can take effect, for each needs the key as the other
/// leaves it not, and both write the same row. A read alone would not do: it may find nothing and
/// the late commit may land after it. No order of events ends with two rows or with the row of
/// another operation, hence none with a second grant.
#[derive(Debug)]
pub(crate) struct Insert {
    pub(crate) key: Key,
    pub(crate) row: Row,
    pub(crate) expect: Expect,
    /// Whether an earlier commit of this operation may stand or come to stand.
    pub(crate) unresolved: bool,
    /// Whether a row stands that could not be read: an earlier attempt may have run.
    pub(crate) taken: Arc<AtomicBool>,
    pub(crate) give_up: Instant,
    pub(crate) wall: time::Instant,
    pub(crate) reply: oneshot::Sender<Reply>,
    pub(crate) records: Records,
    pub(crate) recent: Arc<Recent>,
}

impl Insert {
    fn answer(self, reply: Reply) {
        // A caller that has gone drops the reply, and with it a grant, which releases the row.
        let _: Result<(), Reply> = self.reply.send(reply);
    }

    fn grant(self, revision: Revision) {
        let claim = Claimed {
            key: self.key,
            row: self.row,
            revision,
            records: self.records,
            recent: self.recent,
        };
        let _: Result<(), Reply> = self.reply.send(Reply::Grant(Grant::new(claim)));
    }

    fn found(mut self, found: &table::Row) -> Option<Self> {
        let Some(row) = Row::decode(found) else {
            // A row that cannot be read may belong to a request that ran.
            self.answer(Reply::OutcomeUnknown);
            return None;
        };
        if row.operation == self.row.operation && row.state == State::Claimed {
            self.grant(found.revision);
            return None;
        }
        if row.state == State::Released {
            self.taken.store(false, Ordering::Relaxed);
            self.expect = Expect::At(found.revision);
            return Some(self);
        }
        let reply = if row.fingerprint == self.row.fingerprint {
            first_outcome(row, self.wall)
        } else {
            Reply::KeyReused
        };
        self.answer(reply);
        None
    }
}

fn first_outcome(row: Row, now: time::Instant) -> Reply {
    match row.state {
        State::Completed(answer) => Reply::Repeat(answer),
        State::NotKept => Reply::NotKept,
        State::Claimed if now < row.until => Reply::InProgress,
        State::Claimed | State::Unknown | State::Released => Reply::OutcomeUnknown,
    }
}

impl Job for Insert {
    fn item(&self) -> Item {
        Item {
            key: Key::clone(&self.key),
            expect: self.expect,
            value: self.row.encode(),
        }
    }

    fn settle(mut self, fate: Fate) -> Option<Self> {
        match fate {
            Fate::Committed(revision) => {
                self.grant(revision);
                None
            }
            Fate::Found(Some(row)) => self.found(&row),
            Fate::Taken => {
                self.taken.store(true, Ordering::Relaxed);
                Some(self)
            }
            Fate::Found(None) => {
                self.taken.store(false, Ordering::Relaxed);
                self.expect = Expect::Absent;
                Some(self)
            }
            Fate::Failed { may_have_applied } => {
                self.unresolved |= may_have_applied;
                Some(self)
            }
        }
    }

    fn is_over(&self, now: Instant) -> bool {
        now >= self.give_up || self.reply.is_closed()
    }

    fn give_up(self) {
        if self.unresolved {
            let key = Key::clone(&self.key);
            self.records.release(key, self.row.clone(), self.expect);
        }
        self.answer(Reply::Unavailable);
    }
}
