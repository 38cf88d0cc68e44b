//! Writing back what became of a claim, behind the caller's answer.

use crate::{
    group::{Expect, Fate, Item},
    lane::{Job, Lane},
    row::{Row, State},
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

/// One outcome on its way to the table.
#[derive(Debug)]
pub(crate) struct Record {
    key: Key,
    expect: Expect,
    row: Row,
    give_up: Instant,
    #[expect(dead_code, reason = "held for its drop")]
    weight: Weight,
    lost: Arc<AtomicU64>,
}

/// The bytes that a kept answer takes of the budget, given back when it is dropped.
#[derive(Debug)]
struct Weight {
    bytes: usize,
    used: Arc<AtomicUsize>,
}

impl Drop for Weight {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Job for Record {
    fn item(&self) -> Item {
        Item {
            key: Key::clone(&self.key),
            expect: self.expect,
            value: self.row.encode(),
        }
    }

    fn settle(mut self, fate: Fate) -> Option<Self> {
        match fate {
            Fate::Failed { .. } | Fate::Taken => Some(self),
            Fate::Found(Some(found)) => {
                let row = Row::decode(&found)?;
                let own = row.operation == self.row.operation && row.state == State::Claimed;
                // Else it is this record, written by a commit whose answer was lost, or the row
                // of a later attempt, which an earlier one must not touch.
                own.then(|| {
                    self.expect = Expect::At(found.revision);
                    self
                })
            }
            // Where nothing stands the row was swept: nobody asks for the outcome any longer.
            Fate::Committed(_) | Fate::Found(None) => None,
        }
    }

    fn is_over(&self, now: Instant) -> bool {
        now >= self.give_up
    }

    fn give_up(self) {
        self.lost.fetch_add(1, Ordering::Relaxed);
    }
}

/// Takes outcomes and writes them, bounded in number, bytes and time.
#[derive(Clone, Debug)]
pub(crate) struct Records {
    pub(crate) lane: Lane<Record>,
    pub(crate) keep_trying: Duration,
    pub(crate) answer_limit: usize,
    pub(crate) answers_limit: usize,
    pub(crate) used: Arc<AtomicUsize>,
    pub(crate) lost: Arc<AtomicU64>,
}

impl Records {
    /// Writes `state` over the claim that stands at `revision`.
    pub(crate) fn outcome(&self, key: Key, row: Row, revision: Revision, state: State) {
        self.push(key, row, Expect::At(revision), state);
    }

    /// Releases a claim that was never granted and whose row may or may not stand.
    ///
    /// The caller was told `not-run`, but a commit whose answer was lost may stand, or land later:
    /// every retry would then be answered "unknown" although nothing ever ran. Writing the
    /// released row where none stands is enough, since the late insert then finds its key taken.
    pub(crate) fn release(&self, key: Key, row: Row, expect: Expect) {
        self.push(key, row, expect, State::Released);
    }

    fn push(&self, key: Key, mut row: Row, expect: Expect, state: State) {
        let (state, weight) = self.weigh(state);
        row.state = state;
        let record = Record {
            key,
            expect,
            row,
            give_up: Instant::now() + self.keep_trying,
            weight,
            lost: Arc::clone(&self.lost),
        };
        if let Err(record) = self.lane.push(record) {
            record.give_up();
        }
    }

    /// Replaces an answer that is too large, alone or with those that wait, by the fact of it.
    fn weigh(&self, state: State) -> (State, Weight) {
        let used = Arc::clone(&self.used);
        let bytes = match &state {
            State::Completed(answer) => answer.size(),
            _ => 0,
        };
        let before = used.fetch_add(bytes, Ordering::Relaxed);
        let weight = Weight { bytes, used };
        if bytes > self.answer_limit || before + bytes > self.answers_limit {
            drop(weight);
            return (
                State::NotKept,
                Weight {
                    bytes: 0,
                    used: Arc::clone(&self.used),
                },
            );
        }
        (state, weight)
    }
}
