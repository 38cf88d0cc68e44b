//! Reads the fleet's history from the change records in the table.

use crate::checker::Change;
use eyre::{Result, WrapErr};
use primroseroute_domain::{
    account::Template,
    change::{Edit, Record, Seq},
    id,
    instance::Row,
};
use primroseroute_fleet::{Fleet, wave};
use primroseroute_ledger::{Versioned, key};
use primroseroute_testbed::Site;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;

/// Changes per read.
const PAGE_SIZE: u32 = 500;

/// Reads every change in the table, in order.
pub(super) async fn read(site: &Site) -> Result<Vec<Change>> {
    // This reader isn't part of the deployment and must not be throttled by its rate limits.
    site.platform.faults().set_rates(None);
    let ledger = site.ledger();
    let mut changes = Vec::new();
    let mut after = Seq(0);
    loop {
        let page = ledger.records_after(after, PAGE_SIZE).await?;
        let Some(last) = page.last() else {
            return Ok(changes);
        };
        after = last.seq;
        for record in &page {
            changes.push(change(record)?);
        }
    }
}

fn change(record: &Record) -> Result<Change> {
    let mut rows = BTreeMap::new();
    let mut templates = Vec::new();
    let mut waves = BTreeMap::new();
    for edit in &record.edits {
        if let Some(name) = edit.key.strip_prefix(key::INSTANCES) {
            rows.insert(name.parse::<id::Instance>()?, row(edit)?);
        }
        if edit.key.starts_with(key::ACCOUNTS) {
            templates.extend(template(edit)?);
        }
        if edit.key.starts_with(key::WAVES) {
            waves.extend(wave(edit)?.map(|row| (row.id().clone(), row)));
        }
    }
    Ok(Change {
        seq: record.seq,
        at: record.at,
        rows,
        budgets: Fleet::budgets(&templates),
        waves,
    })
}

fn row(edit: &Edit) -> Result<Option<Row>> {
    value(edit).wrap_err("parsing an instance row")
}

fn template(edit: &Edit) -> Result<Option<Template>> {
    value(edit).wrap_err("parsing a template")
}

fn wave(edit: &Edit) -> Result<Option<wave::Row>> {
    value(edit).wrap_err("parsing a wave row")
}

/// The row's value after the change; `None` if the change deleted it.
fn value<T: DeserializeOwned>(edit: &Edit) -> Result<Option<T>> {
    let read = |text: &str| serde_json::from_str::<Versioned<T>>(text);
    let row = edit.after.as_deref().map(read).transpose()?;
    Ok(row.map(|row| row.value))
}
