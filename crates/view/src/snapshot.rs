//! The immutable state after one change.

use crate::route::Routes;
use primroseroute_domain::{
    account::{Pool, Template},
    change::{Edit, Record, Seq},
    id,
    instance::Row,
};
use primroseroute_ledger::{Versioned, key};
use serde::de::DeserializeOwned;
use std::{collections::BTreeMap, ops::Bound, sync::Arc};

/// Error from applying a record or decoding a row.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// Records between the snapshot and this one are missing.
    #[error("the view is at {have} and the record is {got}")]
    Gap {
        /// The snapshot's sequence number.
        have: Seq,
        /// The record's sequence number.
        got: Seq,
    },
    /// A row's value does not match the type that its key implies.
    #[error("row `{key}` cannot be read: {detail}")]
    Corrupt {
        /// The row's key.
        key: Arc<str>,
        /// The decoding error.
        detail: String,
    },
}

/// Configuration and fleet after one change.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    seq: Seq,
    accounts: BTreeMap<id::Account, Versioned<Template>>,
    instances: BTreeMap<id::Instance, Versioned<Row>>,
    rows: BTreeMap<Arc<str>, Arc<str>>,
    routes: Arc<Routes>,
}

impl Snapshot {
    /// Builds the snapshot at `seq` from rows, each a key and its JSON value.
    ///
    /// # Errors
    /// [`ApplyError::Corrupt`] if a row cannot be decoded.
    pub fn from_rows(
        seq: Seq,
        rows: impl IntoIterator<Item = (Arc<str>, Arc<str>)>,
    ) -> Result<Self, ApplyError> {
        let mut next = Self {
            seq,
            ..Self::default()
        };
        for (key, json) in rows {
            next.set_row(&key, Some(&json))?;
        }
        next.rebuild_routes();
        Ok(next)
    }

    /// The snapshot after `record`; records at or before this snapshot are ignored.
    ///
    /// # Errors
    /// [`ApplyError::Gap`] if records in between are missing, [`ApplyError::Corrupt`] if a row
    /// cannot be decoded.
    pub fn apply(&self, record: &Record) -> Result<Self, ApplyError> {
        if record.seq <= self.seq {
            return Ok(self.clone());
        }
        if record.seq != self.seq.next() {
            return Err(ApplyError::Gap {
                have: self.seq,
                got: record.seq,
            });
        }
        let mut next = self.clone();
        next.seq = record.seq;
        for Edit { key, after, .. } in &record.edits {
            next.set_row(key, after.as_ref())?;
        }
        if record
            .edits
            .iter()
            .any(|edit| edit.key.starts_with(key::ACCOUNTS))
        {
            next.rebuild_routes();
        }
        Ok(next)
    }

    fn rebuild_routes(&mut self) {
        let templates = self.accounts.values().map(|row| &row.value);
        self.routes = Arc::new(Routes::build(templates));
    }

    fn set_row(&mut self, key: &Arc<str>, json: Option<&Arc<str>>) -> Result<(), ApplyError> {
        if let Some(name) = key.strip_prefix(key::ACCOUNTS) {
            set_decoded(&mut self.accounts, key, name, json)?;
        } else if let Some(name) = key.strip_prefix(key::INSTANCES) {
            set_decoded(&mut self.instances, key, name, json)?;
        }
        match json {
            Some(json) => self.rows.insert(Arc::clone(key), Arc::clone(json)),
            None => self.rows.remove(key),
        };
        Ok(())
    }

    /// Sequence number of the last change that it includes.
    pub fn seq(&self) -> Seq {
        self.seq
    }

    /// Templates by account, with their versions.
    pub fn accounts(&self) -> &BTreeMap<id::Account, Versioned<Template>> {
        &self.accounts
    }

    /// Instance rows by name, with their versions.
    pub fn instances(&self) -> &BTreeMap<id::Instance, Versioned<Row>> {
        &self.instances
    }

    /// A copy of every instance row by name, for callers that modify the rows.
    pub fn instance_rows(&self) -> BTreeMap<id::Instance, Row> {
        self.instances
            .iter()
            .map(|(name, row)| (name.clone(), row.value.clone()))
            .collect()
    }

    /// The template of every client account, ordered by account name.
    pub fn templates(&self) -> impl Iterator<Item = &Template> {
        self.accounts.values().map(|row| &row.value)
    }

    /// Every row as key and JSON value, for a peer that lags too far for records.
    pub fn rows(&self) -> &BTreeMap<Arc<str>, Arc<str>> {
        &self.rows
    }

    /// The routing index.
    pub fn routes(&self) -> &Routes {
        &self.routes
    }

    /// Every pool with the account that owns it.
    pub fn pools(&self) -> impl Iterator<Item = (&id::Account, &Pool)> {
        self.accounts
            .iter()
            .flat_map(|(account, row)| row.value.pools.iter().map(move |pool| (account, pool)))
    }

    /// Rows of the instances that belong to `pool`.
    pub fn members<'a>(&'a self, pool: &'a id::Pool) -> impl Iterator<Item = &'a Row> {
        self.instances
            .values()
            .map(|row| &row.value)
            .filter(|row| row.pool.as_ref() == Some(pool))
    }

    /// Rows whose key starts with `prefix`, by the rest of the key and decoded as `T`; for waves,
    /// jobs and marks, which only some roles need.
    ///
    /// # Errors
    /// [`ApplyError::Corrupt`] if a row cannot be decoded as `T`.
    pub fn rows_with_prefix<I, T>(
        &self,
        prefix: &str,
    ) -> Result<BTreeMap<I, Versioned<T>>, ApplyError>
    where
        I: std::str::FromStr<Err = id::Malformed> + Ord,
        T: DeserializeOwned,
    {
        let mut found = BTreeMap::new();
        let from = (Bound::Included(prefix), Bound::Unbounded);
        for (key, json) in self.rows.range::<str, _>(from) {
            let Some(name) = key.strip_prefix(prefix) else {
                break;
            };
            set_decoded(&mut found, key, name, Some(json))?;
        }
        Ok(found)
    }
}

fn decode<T: DeserializeOwned>(key: &Arc<str>, json: &str) -> Result<T, ApplyError> {
    serde_json::from_str(json).map_err(|error| ApplyError::Corrupt {
        key: Arc::clone(key),
        detail: error.to_string(),
    })
}

fn set_decoded<I, T>(
    map: &mut BTreeMap<I, Versioned<T>>,
    key: &Arc<str>,
    name: &str,
    json: Option<&Arc<str>>,
) -> Result<(), ApplyError>
where
    I: std::str::FromStr<Err = id::Malformed> + Ord,
    T: DeserializeOwned,
{
    let name = name
        .parse()
        .map_err(|error: id::Malformed| ApplyError::Corrupt {
            key: Arc::clone(key),
            detail: error.to_string(),
        })?;
    match json {
        Some(json) => map.insert(name, decode(key, json)?),
        None => map.remove(&name),
    };
    Ok(())
}
