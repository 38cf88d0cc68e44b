//! The partitioned table.

use primroseroute_domain::work::Name;
use primroseroute_platform::{
    Error,
    rows::{Commit, Feed, Page, Place, Range, Row, Txn, Version},
};
use std::collections::BTreeMap;

/// Maximum number of entries of a transaction.
const MAX_ENTRIES: usize = 100;

/// Maximum length of a value in bytes.
const MAX_VALUE_BYTES: usize = 65_536;

/// Maximum length of all values of a transaction in bytes.
const MAX_TXN_BYTES: usize = 750_000;

#[derive(Debug, Default)]
pub(crate) struct Store {
    version: Version,
    /// Versions up to and including this one are no longer in the history.
    compacted_version: Version,
    rows: BTreeMap<Place, Row>,
    history: Vec<Row>,
    /// Rows whose keys begin so are refused.
    pub refused_prefix: Option<Name>,
}

impl Store {
    /// Allocates a version, also for changes outside the table that use the same counter.
    pub(crate) fn bump(&mut self) -> Version {
        self.version += 1;
        self.version
    }

    pub(crate) fn version(&self) -> Version {
        self.version
    }

    pub(crate) fn compacted_version(&self) -> Version {
        self.compacted_version
    }

    pub(crate) fn compact(&mut self) {
        self.compacted_version = self.version;
        self.history.clear();
    }

    fn current(&self, place: &Place) -> Row {
        self.rows.get(place).cloned().unwrap_or_else(|| Row {
            place: place.clone(),
            value: None,
            version: 0,
        })
    }

    /// Rejects a transaction that is invalid whatever the rows are.
    pub(crate) fn validate(&self, txn: &Txn) -> Result<(), Error> {
        let entries = txn.conditions.len() + txn.puts.len() + txn.deletes.len();
        if entries > MAX_ENTRIES {
            return Err(Error::Invalid(format!("{entries} entries")));
        }
        let lengths = txn.puts.iter().map(|(_place, value)| value.len());
        let total: usize = lengths.clone().sum();
        if total > MAX_TXN_BYTES {
            return Err(Error::Invalid(format!("{total} bytes")));
        }
        if let Some(longest) = lengths.max().filter(|length| *length > MAX_VALUE_BYTES) {
            return Err(Error::Invalid(format!("value of {longest} bytes")));
        }
        let prefix = self.refused_prefix.as_deref();
        let refused = |place: &Place| prefix.is_some_and(|prefix| place.key.starts_with(prefix));
        if txn.puts.iter().any(|(place, _value)| refused(place)) {
            return Err(Error::Invalid("key is refused".into()));
        }
        Ok(())
    }

    pub(crate) fn commit(&mut self, txn: &Txn) -> Commit {
        let current: Vec<Row> = txn
            .conditions
            .iter()
            .map(|(place, _version)| self.current(place))
            .collect();
        let expected = txn.conditions.iter().map(|(_place, version)| *version);
        let holds = current.iter().zip(expected);
        if holds
            .into_iter()
            .any(|(row, version)| row.version != version)
        {
            return Commit::Conflict(current);
        }
        let version = self.bump();
        for (place, value) in &txn.puts {
            let row = Row {
                place: place.clone(),
                value: Some(value.clone()),
                version,
            };
            self.rows.insert(place.clone(), row.clone());
            self.history.push(row);
        }
        for place in &txn.deletes {
            if self.rows.remove(place).is_some() {
                self.history.push(Row {
                    place: place.clone(),
                    value: None,
                    version,
                });
            }
        }
        Commit::Committed(version)
    }

    pub(crate) fn read(&self, range: &Range) -> Page {
        let from = Place {
            table: Name::clone(&range.table),
            partition: Name::clone(&range.partition),
            key: range.from.clone().unwrap_or_else(|| "".into()),
        };
        let rows = self.rows.range(from..).map(|(_place, row)| row);
        let inside = rows.take_while(|row| {
            let place = &row.place;
            place.table == range.table
                && place.partition == range.partition
                && range.to.as_ref().is_none_or(|to| place.key < *to)
        });
        Page {
            rows: inside.cloned().collect(),
            more: false,
            version: self.version,
        }
    }

    /// Changes of `table` after a version; `None` if there are none yet.
    pub(crate) fn feed(&self, table: &str, after: Version) -> Option<Feed<Row>> {
        if after < self.compacted_version {
            return Some(Feed::Compacted);
        }
        let begin = self.history.partition_point(|row| row.version <= after);
        let changes = self.history[begin..].iter();
        let changes = changes.filter(|row| &*row.place.table == table);
        let items: Vec<Row> = changes.cloned().collect();
        let next = self.version;
        (!items.is_empty()).then_some(Feed::Changes {
            items,
            next,
            complete: true,
        })
    }
}
