//! Tombstones: they hold ids whose jobs were cancelled or rejected before they were stored.
//!
//! A submission is stored on the condition that nobody has claimed its id. The store may carry that
//! transaction out seconds after its sender has given up, so a cancel or a rejection that finds no
//! claim proves nothing. It puts a tombstone in the claim's place, which makes the transaction fail
//! for good.
//!
//! A tombstone is stored as a [`Claim`] for a queue that doesn't exist, of an account that no caller
//! has. An entry of a version without tombstones therefore accepts no job under the id and shows
//! none. A [`Marker`] is written by the same transaction, so both rows have the same version. It
//! tells the pool's owner when to delete them.

use super::{Claim, id_part, jobs_table};
use primroseroute_domain::work::{JobId, Name};
use primroseroute_platform::rows::Place;
use serde::{Deserialize, Serialize};

/// Suffix of the key of a marker.
pub(super) const MARKER: &str = ".tombstone";

/// Queues of the claim; no queue's name begins with a dot.
const CANCELLED: &str = ".cancelled";
const REJECTED: &str = ".rejected";

/// Accounts of the claim; no account's name begins with a dot.
const ANONYMOUS: &str = ".anonymous";
const EVERYONE: &str = ".everyone";
const ACCOUNT_PREFIX: &str = ".account-";

/// Why an id is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tombstone {
    /// These callers have cancelled: none of their submissions is accepted.
    Cancelled(Scope),
    /// A submission was rejected: only later ones are accepted.
    Rejected,
}

/// The callers who have cancelled an id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Callers without an account.
    Anonymous,
    /// One account.
    Account(Name),
    /// All callers, since several have cancelled.
    Everyone,
}

impl Scope {
    /// The scope of a cancel by `account`, or by a caller without one.
    pub fn of(account: Option<&Name>) -> Self {
        account.map_or(Self::Anonymous, |account| {
            Self::Account(Name::clone(account))
        })
    }

    /// Whether submissions of `account`, or of callers without one, are refused.
    pub fn covers(&self, account: Option<&Name>) -> bool {
        match self {
            Self::Anonymous => account.is_none(),
            Self::Account(name) => account == Some(name),
            Self::Everyone => true,
        }
    }

    fn encode(&self) -> Name {
        match self {
            Self::Anonymous => ANONYMOUS.into(),
            Self::Account(name) => format!("{ACCOUNT_PREFIX}{name}").into(),
            Self::Everyone => EVERYONE.into(),
        }
    }

    /// An unknown scope, which a later version may have written, covers everyone.
    fn decode(text: &str) -> Self {
        match text.strip_prefix(ACCOUNT_PREFIX) {
            Some(name) => Self::Account(name.into()),
            None if text == ANONYMOUS => Self::Anonymous,
            None => Self::Everyone,
        }
    }
}

impl Claim {
    /// A tombstone whose marker is in the table of `pool`.
    pub fn held(pool: &Name, tombstone: &Tombstone) -> Self {
        let (queue, account) = match tombstone {
            Tombstone::Cancelled(scope) => (CANCELLED, scope.encode()),
            Tombstone::Rejected => (REJECTED, EVERYONE.into()),
        };
        Self {
            pool: Name::clone(pool),
            queue: queue.into(),
            account: Some(account),
        }
    }

    /// The tombstone; `None` for the claim of a job.
    pub fn tombstone(&self) -> Option<Tombstone> {
        match &*self.queue {
            CANCELLED => {
                let scope = self.account.as_deref();
                let scope = scope.map_or(Scope::Everyone, Scope::decode);
                Some(Tombstone::Cancelled(scope))
            }
            REJECTED => Some(Tombstone::Rejected),
            _ => None,
        }
    }
}

/// Marks a tombstone for its deletion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Marker {
    /// The pool whose owner deletes it; pools share a table.
    pub pool: Name,
    /// Wall-clock time of the cancel or the rejection in milliseconds since 1970.
    pub at_ms: u64,
}

/// Location of the marker of a tombstone.
pub fn marker(pool: &str, id: &JobId) -> Place {
    let key = format!("{id}{MARKER}");
    Place::new(&jobs_table(pool), &id_part(id), &key)
}
