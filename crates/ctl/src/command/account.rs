//! The `account` commands.

use super::{audit, if_version, print_accepted};
use crate::{
    cli::{Account, Output},
    exit,
    output::{Printable, Printer},
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

/// Changes per request: the maximum that an entry returns.
const PAGE_SIZE: u32 = 1000;

pub(super) async fn run(command: Account, admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    match command {
        Account::Apply { file, change } => {
            let template = read_template(&file)?;
            let order = Apply {
                template,
                if_version: if_version(&change),
                reason: change.reason.as_str().into(),
            };
            let accepted = admin.apply(&order).await?;
            print_accepted(accepted, &change, admin, printer).await
        }
        Account::Get { name } => get(&name, admin, printer).await,
        Account::List => list(admin, printer).await,
        Account::Diff { file } => diff(&file, admin, printer).await,
        Account::History { name } => history(&name, admin, printer).await,
    }
}

/// Reads a template; errors contain line, column and what was expected.
fn read_template(file: &Path) -> Result<Template> {
    let text = fs::read_to_string(file).wrap_err_with(|| format!("reading {}", file.display()))?;
    serde_saphyr::from_str(&text)
        .wrap_err_with(|| format!("{} is not a valid template", file.display()))
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
    printer.print(&Printable {
        value: &accounts,
        titles: &titles,
        rows,
    })?;
    Ok(exit::DONE)
}

async fn diff(file: &Path, admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    let diff = admin.diff(&read_template(file)?).await?;
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

/// Prints all changes of one account, reading the history trail page by page.
async fn history(name: &id::Account, admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    let key = format!("account/{name}");
    let mut history = Audit {
        read_to: Seq(0),
        records: Vec::new(),
    };
    loop {
        let page = admin
            .audit(history.read_to, PAGE_SIZE, None, Some(&key))
            .await?;
        let is_end = page.read_to <= history.read_to;
        // The entry filters by key prefix, which also matches longer account names.
        let is_own = |record: &Record| record.edits.iter().any(|edit| *edit.key == *key);
        history
            .records
            .extend(page.records.into_iter().filter(is_own));
        if is_end {
            break;
        }
        history.read_to = page.read_to;
    }
    audit::print(&history, printer)?;
    Ok(exit::DONE)
}
