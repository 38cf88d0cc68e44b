//! The lease: who acts, and the epoch that fences everyone else.

use primroseroute_domain::{id, time};
use primroseroute_ledger::key;
use primroseroute_platform::{
    error::Error,
    table::{Commit, Condition, Key, Revision, Row, Table, Txn, Write},
};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;
use uuid::Uuid;

/// The row `lease/controller`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Lease {
    /// The entry that holds it.
    pub holder: id::Entry,
    /// The run of its process.
    pub incarnation: Uuid,
    /// The number of the takeover.
    pub epoch: u64,
    /// When it was renewed, by the holder's clock; for people.
    pub renewed: time::Instant,
}

/// The row `epoch/controller`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Epoch {
    /// The number of the takeover.
    pub epoch: u64,
    /// The entry that took over.
    pub holder: id::Entry,
}

/// A held lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Held {
    lease: Revision,
    epoch: Revision,
    number: u64,
}

impl Held {
    /// What every change of this holder depends on.
    pub(crate) fn guard(&self) -> Condition {
        Condition::At(key::EPOCH.into(), self.epoch)
    }

    /// Whether `revision` is still that of its own takeover.
    pub(crate) fn is_epoch(&self, revision: Revision) -> bool {
        self.epoch == revision
    }

    pub(crate) fn number(&self) -> u64 {
        self.number
    }
}

/// The lease row as it was last seen, and since when it has looked like that.
#[derive(Clone, Debug)]
struct Watched {
    revision: Option<Revision>,
    since: Instant,
}

/// One entry's side of the lease.
#[derive(Debug)]
pub(crate) struct Contender {
    table: Arc<dyn Table>,
    name: id::Entry,
    incarnation: Uuid,
    length: Duration,
    watched: Option<Watched>,
    holder: Option<id::Entry>,
}

fn decode<T: for<'a> Deserialize<'a>>(row: &Row) -> Option<T> {
    serde_json::from_slice(&row.value).ok()
}

fn put<T: Serialize>(key: &str, value: &T) -> Write {
    let json = serde_json::to_vec(value).expect("lease rows serialize");
    Write::Put(key.into(), json.into())
}

fn unchanged(key: &str, row: Option<&Row>) -> Condition {
    let key: Key = key.into();
    row.map_or_else(
        || Condition::Absent(Key::clone(&key)),
        |row| Condition::At(Key::clone(&key), row.revision),
    )
}

impl Contender {
    pub(crate) fn new(
        table: Arc<dyn Table>,
        name: id::Entry,
        incarnation: Uuid,
        length: Duration,
    ) -> Self {
        Self {
            table,
            name,
            incarnation,
            length,
            watched: None,
            holder: None,
        }
    }

    /// The holder as of the last look.
    pub(crate) fn holder(&self) -> Option<id::Entry> {
        self.holder.clone()
    }

    /// Takes the lease if nobody has renewed it for its whole length under this entry's eyes.
    pub(crate) async fn contend(&mut self, now: time::Instant) -> Result<Option<Held>, Error> {
        let row = self.table.read(&key::LEASE.into()).await?;
        let lease: Option<Lease> = row.as_ref().and_then(decode);
        self.holder = lease.as_ref().map(|lease| lease.holder.clone());
        if !self.has_lapsed(row.as_ref()) {
            return Ok(None);
        }
        let epoch = self.table.read(&key::EPOCH.into()).await?;
        let last = epoch
            .as_ref()
            .and_then(decode::<Epoch>)
            .map_or(0, |epoch| epoch.epoch);
        self.take(row.as_ref(), epoch.as_ref(), last + 1, now).await
    }

    /// Whether the row has not changed for the lease's length, by this entry's own clock.
    ///
    /// A row that is absent was given up or never written and may be taken at once.
    fn has_lapsed(&mut self, row: Option<&Row>) -> bool {
        let revision = row.map(|row| row.revision);
        if revision.is_none() {
            return true;
        }
        match &self.watched {
            Some(watched) if watched.revision == revision => watched.since.elapsed() >= self.length,
            _ => {
                self.watched = Some(Watched {
                    revision,
                    since: Instant::now(),
                });
                false
            }
        }
    }

    async fn take(
        &mut self,
        lease: Option<&Row>,
        epoch: Option<&Row>,
        number: u64,
        now: time::Instant,
    ) -> Result<Option<Held>, Error> {
        let next = self.row(number, now);
        let fence = Epoch {
            epoch: number,
            holder: self.name.clone(),
        };
        let txn = Txn {
            conditions: vec![unchanged(key::LEASE, lease), unchanged(key::EPOCH, epoch)],
            writes: vec![put(key::LEASE, &next), put(key::EPOCH, &fence)],
        };
        match self.table.commit(txn).await? {
            Commit::Committed(revision) => {
                self.holder = Some(self.name.clone());
                Ok(Some(Held {
                    lease: revision,
                    epoch: revision,
                    number,
                }))
            }
            Commit::Conflict(_) => Ok(None),
        }
    }

    fn row(&self, epoch: u64, now: time::Instant) -> Lease {
        Lease {
            holder: self.name.clone(),
            incarnation: self.incarnation,
            epoch,
            renewed: now,
        }
    }

    /// Renews a held lease; none where another entry has taken it.
    ///
    /// Where the answer was lost the lease may have been renewed with a revision that is not
    /// known, and the next renewal meets a conflict: the holder then steps back and contends anew,
    /// which costs one lease's length and never two holders.
    pub(crate) async fn renew(
        &mut self,
        held: &Held,
        now: time::Instant,
    ) -> Result<Option<Held>, Error> {
        let txn = Txn {
            conditions: vec![Condition::At(key::LEASE.into(), held.lease), held.guard()],
            writes: vec![put(key::LEASE, &self.row(held.number, now))],
        };
        match self.table.commit(txn).await? {
            Commit::Committed(revision) => Ok(Some(Held {
                lease: revision,
                ..held.clone()
            })),
            Commit::Conflict(_) => Ok(None),
        }
    }

    /// Gives a held lease up, so that a successor need not wait.
    pub(crate) async fn give_up(&mut self, held: &Held) -> Result<(), Error> {
        let txn = Txn {
            conditions: vec![Condition::At(key::LEASE.into(), held.lease)],
            writes: vec![Write::Delete(key::LEASE.into())],
        };
        self.table.commit(txn).await.map(|_commit| ())
    }
}
