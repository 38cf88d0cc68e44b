//! Changing what the ledger holds: decide on the newest view, commit, decide again if raced.

use crate::{Cell, Snapshot, poll};
use primroseroute_domain::{
    change::Record,
    outcome::{Code, Refusal},
    time::Clock,
};
use primroseroute_ledger::{Draft, Error as LedgerError, Ledger};
use primroseroute_platform::table::Condition;
use std::sync::Arc;
use uuid::Uuid;

/// Races that one amendment loses before it gives up. Each loss means that another change was
/// accepted; at 4,700 changes a day even two losses in a row are rare.
const TRIES: u32 = 8;

/// Who makes a change, why, and on what further condition.
#[derive(Clone, Debug)]
pub struct Author {
    /// `operator:NAME` or `controller:ENTRY`.
    pub actor: Arc<str>,
    /// Why, for people.
    pub reason: Arc<str>,
    /// Conditions besides the head, such as the controller's epoch.
    pub guards: Vec<Condition>,
}

/// Lets `decide` fill a change on top of the newest snapshot, and commits it.
///
/// Where another change was committed first, the view is brought up to date and `decide` is asked
/// again, so what it checked (a version, a budget) holds at the commit. The accepted change is in
/// force in `cell` on return. Where `decide` puts nothing, nothing is committed.
///
/// # Errors
/// What `decide` refuses; [`Code::VersionConflict`] where every try was raced or a guard moved;
/// the store's codes where it fails.
pub async fn amend(
    ledger: &Ledger,
    cell: &Cell,
    clock: &dyn Clock,
    author: &Author,
    decide: &(dyn Fn(&Snapshot, &mut Draft) -> Result<(), Refusal> + Sync),
) -> Result<Option<Record>, Refusal> {
    for _ in 0..TRIES {
        poll(ledger, cell).await.map_err(refuse)?;
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
                    .map_err(|error| refuse(error.into()))?;
                return Ok(Some(record));
            }
            Err(LedgerError::Raced(key)) if *key == *primroseroute_ledger::key::HEAD => {}
            Err(error) => return Err(error.into()),
        }
    }
    Err(Refusal::new(
        Code::VersionConflict,
        "other changes were committed first each time",
    ))
}

fn refuse(error: crate::Error) -> Refusal {
    match error {
        crate::Error::Ledger(error) => error.into(),
        crate::Error::Apply(error) => Refusal::new(Code::ViewStale, error.to_string()),
    }
}
