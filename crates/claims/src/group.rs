//! Commits the rows of many claims in one transaction, and tells each how it fared.

use futures::future::join_all;
use primroseroute_platform::{
    error::Error,
    table::{Commit, Condition, Key, Revision, Row, Table, Txn, Write},
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::timeout;

/// What must hold of a row before it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expect {
    Absent,
    At(Revision),
}

impl Expect {
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

/// One row of a group.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    pub(crate) key: Key,
    pub(crate) expect: Expect,
    pub(crate) value: bytes::Bytes,
}

/// How one row of a group fared.
#[derive(Clone, Debug)]
pub(crate) enum Fate {
    /// It was written by this commit.
    Committed(Revision),
    /// Its condition did not hold; this is what stands there.
    Found(Option<Row>),
    /// Its condition did not hold, and what stands there could not be read.
    Taken,
    /// The store failed; where `may_have_applied`, the row may stand or come to stand.
    Failed { may_have_applied: bool },
}

/// Transactions that one group may take before the rest of it waits for the next group.
const ROUNDS: u32 = 4;

/// Writes `items`, whose keys differ, under their conditions.
///
/// A conflict names one key. That key is looked up and the others are sent again without it, so a
/// repeated request never fails its neighbours. From the second conflict on, all that remain are
/// looked up at once: a burst of repeats costs one read each and not one transaction each.
pub(crate) async fn commit(
    table: &Arc<dyn Table>,
    items: &[Item],
    call: Duration,
) -> BTreeMap<Key, Fate> {
    let mut fates = BTreeMap::new();
    let mut rest: Vec<&Item> = items.iter().collect();
    for round in 0..ROUNDS {
        if rest.is_empty() {
            return fates;
        }
        let conflict = match send(table, &rest, call).await {
            Ok(Commit::Committed(revision)) => {
                settle(&mut fates, &rest, &Fate::Committed(revision));
                return fates;
            }
            Ok(Commit::Conflict(key)) => key,
            Err(error) => {
                let may_have_applied = error.may_have_applied();
                settle(&mut fates, &rest, &Fate::Failed { may_have_applied });
                return fates;
            }
        };
        let (doubtful, sure): (Vec<&Item>, Vec<&Item>) = rest
            .into_iter()
            .partition(|item| round > 0 || item.key == conflict);
        rest = sure;
        rest.extend(look_up(table, doubtful, &conflict, call, &mut fates).await);
    }
    settle(
        &mut fates,
        &rest,
        &Fate::Failed {
            may_have_applied: false,
        },
    );
    fates
}

fn settle(fates: &mut BTreeMap<Key, Fate>, items: &[&Item], fate: &Fate) {
    for item in items {
        fates.insert(Key::clone(&item.key), fate.clone());
    }
}

async fn send(table: &Arc<dyn Table>, items: &[&Item], call: Duration) -> Result<Commit, Error> {
    let txn = Txn {
        conditions: items
            .iter()
            .map(|item| item.expect.condition(&item.key))
            .collect(),
        writes: items
            .iter()
            .map(|item| Write::Put(Key::clone(&item.key), item.value.clone()))
            .collect(),
    };
    // A commit that hangs is one whose answer was lost: it may still take effect.
    timeout(call, table.commit(txn)).await.unwrap_or_else(|_| {
        Err(Error::Unknown(
            "the commit did not return in time".to_owned(),
        ))
    })
}

/// Reads `items` and returns those whose condition holds after all.
async fn look_up<'a>(
    table: &Arc<dyn Table>,
    items: Vec<&'a Item>,
    conflict: &Key,
    call: Duration,
    fates: &mut BTreeMap<Key, Fate>,
) -> Vec<&'a Item> {
    let reads = items
        .iter()
        .map(|item| timeout(call, table.read(&item.key)));
    let mut still = Vec::new();
    for (item, read) in items.iter().zip(join_all(reads).await) {
        let fate = match read {
            Ok(Ok(row)) if item.expect.holds(row.as_ref()) => {
                still.push(*item);
                continue;
            }
            Ok(Ok(row)) => Fate::Found(row),
            Ok(Err(_)) | Err(_) if item.key == *conflict => Fate::Taken,
            Ok(Err(_)) | Err(_) => Fate::Failed {
                may_have_applied: false,
            },
        };
        fates.insert(Key::clone(&item.key), fate);
    }
    still
}
