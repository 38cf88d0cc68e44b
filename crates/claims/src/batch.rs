//! Commits the rows of many claims in one transaction and returns the result of each.

use futures::future::join_all;
use primroseroute_platform::{
    error::Error,
    table::{Commit, Condition, Key, Revision, Row, Table, Txn, Write},
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::timeout;

/// Precondition for writing a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Precondition {
    Absent,
    At(Revision),
}

impl Precondition {
    fn condition(self, key: &Key) -> Condition {
        match self {
            Self::Absent => Condition::Absent(Key::clone(key)),
            Self::At(revision) => Condition::At(Key::clone(key), revision),
        }
    }

    fn holds(self, row: Option<&Row>) -> bool {
        match (self, row) {
            (Self::Absent, None) => true,
            (Self::At(revision), Some(row)) => row.revision == revision,
            _ => false,
        }
    }
}

/// One row of a batch.
#[derive(Clone, Debug)]
pub(crate) struct RowWrite {
    pub(crate) key: Key,
    pub(crate) precondition: Precondition,
    pub(crate) value: bytes::Bytes,
}

/// Result of writing one row of a batch.
#[derive(Clone, Debug)]
pub(crate) enum WriteResult {
    /// The row was written by this commit.
    Committed(Revision),
    /// The precondition did not hold; contains the current row.
    Conflict(Option<Row>),
    /// The precondition did not hold, and the current row could not be read.
    UnreadConflict,
    /// The store failed; if `may_have_applied`, the write may have been applied or may still be.
    Failed { may_have_applied: bool },
}

/// Most transactions for one batch; rows that remain after these wait for the next batch.
const MAX_TRANSACTIONS: u32 = 4;

/// Writes `items`, whose keys differ, under their preconditions.
///
/// A conflict reports one key. That key is read and the others are sent again without it, so a
/// repeated request never makes others in the batch fail. From the second conflict on, all
/// remaining keys are read at once: a burst of repeats costs one read each and not one transaction
/// each.
pub(crate) async fn commit(
    table: &Arc<dyn Table>,
    items: &[RowWrite],
    call_timeout: Duration,
) -> BTreeMap<Key, WriteResult> {
    let mut results = BTreeMap::new();
    let mut remaining: Vec<&RowWrite> = items.iter().collect();
    for attempt in 0..MAX_TRANSACTIONS {
        if remaining.is_empty() {
            return results;
        }
        let conflict = match commit_once(table, &remaining, call_timeout).await {
            Ok(Commit::Committed(revision)) => {
                set_results(&mut results, &remaining, &WriteResult::Committed(revision));
                return results;
            }
            Ok(Commit::Conflict(key)) => key,
            Err(error) => {
                let may_have_applied = error.may_have_applied();
                set_results(
                    &mut results,
                    &remaining,
                    &WriteResult::Failed { may_have_applied },
                );
                return results;
            }
        };
        let (to_read, to_resend): (Vec<&RowWrite>, Vec<&RowWrite>) = remaining
            .into_iter()
            .partition(|item| attempt > 0 || item.key == conflict);
        remaining = to_resend;
        remaining.extend(read_rows(table, to_read, &conflict, call_timeout, &mut results).await);
    }
    set_results(
        &mut results,
        &remaining,
        &WriteResult::Failed {
            may_have_applied: false,
        },
    );
    results
}

fn set_results(
    results: &mut BTreeMap<Key, WriteResult>,
    items: &[&RowWrite],
    result: &WriteResult,
) {
    for item in items {
        results.insert(Key::clone(&item.key), result.clone());
    }
}

async fn commit_once(
    table: &Arc<dyn Table>,
    items: &[&RowWrite],
    call_timeout: Duration,
) -> Result<Commit, Error> {
    let txn = Txn {
        conditions: items
            .iter()
            .map(|item| item.precondition.condition(&item.key))
            .collect(),
        writes: items
            .iter()
            .map(|item| Write::Put(Key::clone(&item.key), item.value.clone()))
            .collect(),
    };
    // A commit that times out may still be applied.
    timeout(call_timeout, table.commit(txn))
        .await
        .unwrap_or_else(|_| {
            Err(Error::Unknown(
                "the commit did not return in time".to_owned(),
            ))
        })
}

/// Reads the rows of `items` and returns the items whose precondition holds after all.
async fn read_rows<'a>(
    table: &Arc<dyn Table>,
    items: Vec<&'a RowWrite>,
    conflict: &Key,
    call_timeout: Duration,
    results: &mut BTreeMap<Key, WriteResult>,
) -> Vec<&'a RowWrite> {
    let reads = items
        .iter()
        .map(|item| timeout(call_timeout, table.read(&item.key)));
    let mut holding = Vec::new();
    for (item, read) in items.iter().zip(join_all(reads).await) {
        let result = match read {
            Ok(Ok(row)) if item.precondition.holds(row.as_ref()) => {
                holding.push(*item);
                continue;
            }
            Ok(Ok(row)) => WriteResult::Conflict(row),
            Ok(Err(_)) | Err(_) if item.key == *conflict => WriteResult::UnreadConflict,
            Ok(Err(_)) | Err(_) => WriteResult::Failed {
                may_have_applied: false,
            },
        };
        results.insert(Key::clone(&item.key), result);
    }
    holding
}
