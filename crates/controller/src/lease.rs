//! The lease, which selects the active controller, and the epoch, which fences all others.

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

/// Value of the row `lease/controller`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Lease {
    /// The entry that holds the lease.
    pub holder: id::Entry,
    /// Incarnation of the holder's process.
    pub incarnation: Uuid,
    /// The number of the takeover.
    pub epoch: u64,
    /// Time of the last renewal by the holder's clock; informational only.
    pub renewed: time::Instant,
}

/// Value of the row `epoch/controller`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Epoch {
    /// The number of the takeover.
    pub epoch: u64,
    /// The entry that took over.
    pub holder: id::Entry,
}

/// A lease held by this entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeldLease {
    lease: Revision,
    epoch: Revision,
    number: u64,
}

impl HeldLease {
    /// The condition on which every change by this holder depends.
    pub(crate) fn guard(&self) -> Condition {
        Condition::At(key::EPOCH.into(), self.epoch)
    }

    /// Whether `revision` is the epoch row's revision as of this holder's takeover.
    pub(crate) fn matches_epoch(&self, revision: Revision) -> bool {
        self.epoch == revision
    }

    pub(crate) fn number(&self) -> u64 {
        self.number
    }
}

/// The lease row's revision as last read, and since when it has been unchanged.
#[derive(Clone, Debug)]
struct ObservedLease {
    revision: Option<Revision>,
    since: Instant,
}

/// One entry's client of the lease.
#[derive(Debug)]
pub(crate) struct Contender {
    table: Arc<dyn Table>,
    name: id::Entry,
    incarnation: Uuid,
    duration: Duration,
    observed: Option<ObservedLease>,
    holder: Option<id::Entry>,
}

fn decode<T: for<'a> Deserialize<'a>>(row: &Row) -> Option<T> {
    serde_json::from_slice(&row.value).ok()
}

fn put<T: Serialize>(key: &str, value: &T) -> Write {
    let json = serde_json::to_vec(value).expect("lease rows serialize to JSON");
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
        duration: Duration,
    ) -> Self {
        Self {
            table,
            name,
            incarnation,
            duration,
            observed: None,
            holder: None,
        }
    }

    /// The holder as of the last read.
    pub(crate) fn holder(&self) -> Option<id::Entry> {
        self.holder.clone()
    }

    /// Acquires the lease if this entry has observed it unrenewed for the whole lease duration.
    pub(crate) async fn try_acquire(
        &mut self,
        now: time::Instant,
    ) -> Result<Option<HeldLease>, Error> {
        let row = self.table.read(&key::LEASE.into()).await?;
        let lease: Option<Lease> = row.as_ref().and_then(decode);
        self.holder = lease.as_ref().map(|lease| lease.holder.clone());
        if !self.has_expired(row.as_ref()) {
            return Ok(None);
        }
        let epoch = self.table.read(&key::EPOCH.into()).await?;
        let last_epoch = epoch
            .as_ref()
            .and_then(decode::<Epoch>)
            .map_or(0, |epoch| epoch.epoch);
        self.acquire(row.as_ref(), epoch.as_ref(), last_epoch + 1, now)
            .await
    }

    /// Whether the row has not changed for the lease duration by this entry's own clock.
    ///
    /// An absent row was released or never written, so the lease may be acquired immediately.
    fn has_expired(&mut self, row: Option<&Row>) -> bool {
        let revision = row.map(|row| row.revision);
        if revision.is_none() {
            return true;
        }
        match &self.observed {
            Some(last) if last.revision == revision => last.since.elapsed() >= self.duration,
            _ => {
                self.observed = Some(ObservedLease {
                    revision,
                    since: Instant::now(),
                });
                false
            }
        }
    }

    async fn acquire(
        &mut self,
        lease: Option<&Row>,
        epoch: Option<&Row>,
        number: u64,
        now: time::Instant,
    ) -> Result<Option<HeldLease>, Error> {
        let next = self.lease_row(number, now);
        let epoch_row = Epoch {
            epoch: number,
            holder: self.name.clone(),
        };
        let txn = Txn {
            conditions: vec![unchanged(key::LEASE, lease), unchanged(key::EPOCH, epoch)],
            writes: vec![put(key::LEASE, &next), put(key::EPOCH, &epoch_row)],
        };
        match self.table.commit(txn).await? {
            Commit::Committed(revision) => {
                self.holder = Some(self.name.clone());
                Ok(Some(HeldLease {
                    lease: revision,
                    epoch: revision,
                    number,
                }))
            }
            Commit::Conflict(_) => Ok(None),
        }
    }

    fn lease_row(&self, epoch: u64, now: time::Instant) -> Lease {
        Lease {
            holder: self.name.clone(),
            incarnation: self.incarnation,
            epoch,
            renewed: now,
        }
    }

    /// Renews a held lease; returns `None` if another entry has acquired it.
    ///
    /// If the response was lost the lease may have been renewed with an unknown revision, and the
    /// next renewal conflicts. The holder then gives up its role and contends again, which costs
    /// one lease duration but never results in two holders.
    pub(crate) async fn renew(
        &mut self,
        held: &HeldLease,
        now: time::Instant,
    ) -> Result<Option<HeldLease>, Error> {
        let txn = Txn {
            conditions: vec![Condition::At(key::LEASE.into(), held.lease), held.guard()],
            writes: vec![put(key::LEASE, &self.lease_row(held.number, now))],
        };
        match self.table.commit(txn).await? {
            Commit::Committed(revision) => Ok(Some(HeldLease {
                lease: revision,
                ..held.clone()
            })),
            Commit::Conflict(_) => Ok(None),
        }
    }

    /// Releases a held lease, so that a successor need not wait.
    pub(crate) async fn release(&mut self, held: &HeldLease) -> Result<(), Error> {
        let txn = Txn {
            conditions: vec![Condition::At(key::LEASE.into(), held.lease)],
            writes: vec![Write::Delete(key::LEASE.into())],
        };
        self.table.commit(txn).await.map(|_commit| ())
    }
}
