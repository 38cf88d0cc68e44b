//! Changes the ledger: decides on the newest snapshot, commits, and decides again after a conflict.

use crate::{Snapshot, SnapshotCell, poll};
use primroseroute_domain::{
    change::Record,
    outcome::{Code, Refusal},
    time::Clock,
};
use primroseroute_ledger::{Draft, Error as LedgerError, Ledger};
use primroseroute_platform::table::Condition;
use std::sync::Arc;
use uuid::Uuid;

/// Attempts before a change is given up. Each conflict means that another change was committed; at
/// 4,700 changes a day even two conflicts in a row are rare.
const MAX_ATTEMPTS: u32 = 8;

/// Author of and reason for a change, with further conditions on its commit.
#[derive(Clone, Debug)]
pub struct Author {
    /// `operator:NAME` or `controller:ENTRY`.
    pub actor: Arc<str>,
    /// Reason for the change, as free text.
    pub reason: Arc<str>,
    /// Conditions in addition to the head, such as the controller's epoch being unchanged.
    pub guards: Vec<Condition>,
}

/// Calls `decide` to fill a draft based on the newest snapshot, and commits it.
///
/// If another change was committed first, the view is updated and `decide` is called again, so what
/// it checked (a version, a budget) holds at the commit. On return the committed change has been
/// applied to `cell`. If `decide` makes no edits, nothing is committed.
///
/// # Errors
/// Refusals of `decide`; [`Code::VersionConflict`] if every attempt conflicted or a guard has
/// changed; the store's codes if it fails.
pub async fn commit_with_retry(
    ledger: &Ledger,
    cell: &SnapshotCell,
    clock: &dyn Clock,
    author: &Author,
    decide: &(dyn Fn(&Snapshot, &mut Draft) -> Result<(), Refusal> + Sync),
) -> Result<Option<Record>, Refusal> {
    for _ in 0..MAX_ATTEMPTS {
        poll(ledger, cell).await.map_err(refusal)?;
        let head = ledger.head().await?;
        let snapshot = cell.current();
        if head.seq != snapshot.seq() {
            continue;
        }
        let mut draft = Draft::new(
            head,
            clock.now(),
            Arc::clone(&author.actor),
            Arc::clone(&author.reason),
            Uuid::new_v4(),
        );
        for guard in &author.guards {
            draft.guard(guard.clone());
        }
        decide(&snapshot, &mut draft)?;
        if draft.is_empty() {
            return Ok(None);
        }
        match ledger.commit(&draft).await {
            Ok(record) => {
                cell.apply(std::slice::from_ref(&record))
                    .map_err(|error| refusal(error.into()))?;
                return Ok(Some(record));
            }
            Err(LedgerError::Conflict(key)) if *key == *primroseroute_ledger::key::HEAD => {}
            Err(error) => return Err(error.into()),
        }
    }
    Err(Refusal::new(
        Code::VersionConflict,
        "other changes were committed first each time",
    ))
}

fn refusal(error: crate::Error) -> Refusal {
    match error {
        crate::Error::Ledger(error) => error.into(),
        crate::Error::ApplyError(error) => Refusal::new(Code::ViewStale, error.to_string()),
    }
}
