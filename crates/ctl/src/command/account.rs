//! Commands on templates.

use super::{accepted, audit, if_version};
use crate::{
    cli::{Account, Output},
    exit,
    output::{Printer, Shown},
};
use eyre::{Result, WrapErr};
use primroseroute_api::{Apply, Audit, Diff};
use primroseroute_client::Admin;
use primroseroute_domain::{
    account::Template,
    change::{Record, Seq},
    id,
};
use std::{fs, path::Path};

/// Changes that are read at a time: the most that an entry gives.
const PAGE: u32 = 1000;

pub(super) async fn run(command: Account, admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    match command {
        Account::Apply { file, change } => {
            let template = read(&file)?;
            let order = Apply {
                template,
                if_version: if_version(&change),
                reason: change.reason.as_str().into(),
            };
            let done = admin.apply(&order).await?;
            accepted(done, &change, admin, printer).await
        }
        Account::Get { name } => get(&name, admin, printer).await,
        Account::List => list(admin, printer).await,
        Account::Diff { file } => diff(&file, admin, printer).await,
        Account::History { name } => history(&name, admin, printer).await,
    }
}

/// Reads a template; the error names line, column and what was expected.
fn read(file: &Path) -> Result<Template> {
    let text = fs::read_to_string(file).wrap_err_with(|| format!("reading {}", file.display()))?;
    serde_saphyr::from_str(&text).wrap_err_with(|| format!("{} is no template", file.display()))
}

async fn get(name: &id::Account, admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    let found = admin.account(name).await?;
    match printer.output {
        Output::Json => printer.json(&found)?,
        Output::Table => {
            let yaml = serde_saphyr::to_string(&found.value).wrap_err("writing YAML")?;
            printer.line(&format!("# version {}\n{yaml}", found.version))?;
        }
    }
    Ok(exit::DONE)
}

async fn list(admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    let accounts = admin.accounts().await?;
    let row = |row: &primroseroute_ledger::Versioned<Template>| {
        vec![
            row.value.account.to_string(),
            row.version.to_string(),
            row.value.share.to_string(),
            row.value.pools.len().to_string(),
        ]
    };
    let rows = accounts.iter().map(row).collect();
    let titles = ["account", "version", "share", "pools"];
    printer.print(&Shown {
        value: &accounts,
        titles: &titles,
        rows,
    })?;
    Ok(exit::DONE)
}

async fn diff(file: &Path, admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    let diff = admin.diff(&read(file)?).await?;
    match printer.output {
        Output::Json => printer.json(&diff)?,
        Output::Table => print_diff(&diff, printer)?,
    }
    Ok(if diff.faults.is_empty() {
        exit::DONE
    } else {
        exit::REFUSED
    })
}

fn print_diff(diff: &Diff, printer: &mut Printer<'_>) -> Result<()> {
    for text in &diff.lines {
        printer.line(text)?;
    }
    for fault in &diff.faults {
        printer.line(&format!("fault: {fault}"))?;
    }
    Ok(())
}

/// Shows every change of one account, however long ago; the trail is read page by page.
async fn history(name: &id::Account, admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    let key = format!("account/{name}");
    let mut whole = Audit {
        read_to: Seq(0),
        records: Vec::new(),
    };
    loop {
        let page = admin.audit(whole.read_to, PAGE, None, Some(&key)).await?;
        let is_end = page.read_to <= whole.read_to;
        // The entry matches by prefix, which other accounts' names may begin with too.
        let is_own = |record: &Record| record.edits.iter().any(|edit| *edit.key == *key);
        whole
            .records
            .extend(page.records.into_iter().filter(is_own));
        if is_end {
            break;
        }
        whole.read_to = page.read_to;
    }
    audit::print(&whole, printer)?;
    Ok(exit::DONE)
}
