//! The rows after each change.

use crate::replay::Error;
use primroseroute_domain::{
    account::Template,
    change::{Edit, Record},
    id,
    instance::Row,
};
use primroseroute_fleet::{Fleet, wave};
use primroseroute_ledger::{Versioned, key};
use serde::de::DeserializeOwned;
use std::{collections::BTreeMap, sync::Arc};

/// Rows that a report depends on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rows {
    pub(crate) fleet: Fleet,
    pub(crate) waves: BTreeMap<Arc<str>, wave::Row>,
    /// The account that had each pool last, including pools that no longer exist.
    pub(crate) owners: BTreeMap<id::Pool, id::Account>,
    templates: BTreeMap<Arc<str>, Template>,
}

impl Rows {
    /// Applies a record's edits.
    pub(crate) fn apply(&mut self, record: &Record) -> Result<(), Error> {
        for edit in &record.edits {
            let corrupt = |error: serde_json::Error| Error::Corrupt {
                seq: record.seq,
                key: Arc::clone(&edit.key),
                detail: error.to_string(),
            };
            self.apply_edit(edit).map_err(corrupt)?;
        }
        Ok(())
    }

    /// Applies one edit; a report ignores rows of other kinds.
    fn apply_edit(&mut self, edit: &Edit) -> Result<(), serde_json::Error> {
        if edit.key.starts_with(key::INSTANCES) {
            self.edit_instance(edit)
        } else if edit.key.starts_with(key::ACCOUNTS) {
            self.edit_account(edit)
        } else if edit.key.starts_with(key::WAVES) {
            edit_map(&mut self.waves, edit)
        } else {
            Ok(())
        }
    }

    fn edit_instance(&mut self, edit: &Edit) -> Result<(), serde_json::Error> {
        if let Some(row) = value::<Row>(edit)? {
            self.fleet.rows.insert(row.id.clone(), row);
        } else {
            let name = &edit.key[key::INSTANCES.len()..];
            self.fleet.rows.retain(|id, _row| id.as_str() != name);
        }
        Ok(())
    }

    fn edit_account(&mut self, edit: &Edit) -> Result<(), serde_json::Error> {
        edit_map(&mut self.templates, edit)?;
        self.fleet.budgets = Fleet::budgets(self.templates.values());
        if let Some(template) = self.templates.get(&edit.key) {
            for pool in &template.pools {
                self.owners
                    .insert(pool.name.clone(), template.account.clone());
            }
        }
        Ok(())
    }
}

fn edit_map<T: DeserializeOwned>(
    map: &mut BTreeMap<Arc<str>, T>,
    edit: &Edit,
) -> Result<(), serde_json::Error> {
    match value(edit)? {
        Some(row) => map.insert(Arc::clone(&edit.key), row),
        None => map.remove(&edit.key),
    };
    Ok(())
}

/// The row's value after the change; `None` if the change deleted it.
fn value<T: DeserializeOwned>(edit: &Edit) -> Result<Option<T>, serde_json::Error> {
    let parse = |text: &str| serde_json::from_str::<Versioned<T>>(text);
    let row = edit.after.as_deref().map(parse).transpose()?;
    Ok(row.map(|row| row.value))
}
