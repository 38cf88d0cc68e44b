//! The `job` commands.

use super::{instance::order, print_accepted};
use crate::{
    cli::{Job, Output, Submission},
    exit,
    output::{Printable, Printer},
};
use eyre::{Result, WrapErr, eyre};
use primroseroute_api::{Cancel, Spec, Submit};
use primroseroute_client::Admin;
use primroseroute_domain::id;
use primroseroute_jobs::{Kind, Row};
use primroseroute_ledger::Versioned;
use primroseroute_platform::task::Resources;
use std::{fs, path::Path};

const TITLES: [&str; 9] = [
    "job", "account", "pool", "kind", "state", "instance", "failures", "code", "version",
];

pub(super) async fn run(command: Job, admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    match command {
        Job::Submit(submission) => submit(submission, admin, printer).await,
        Job::List {
            account,
            kind,
            state,
        } => {
            let (kind, state) = (kind.as_ref(), state.as_ref());
            let kind = kind.map(id::Job::as_str);
            let state = state.map(id::Job::as_str);
            let jobs = admin.jobs(account.as_ref(), kind, state).await?;
            list(&jobs, printer)
        }
        Job::Show { name } => show(&name, admin, printer).await,
        Job::Cancel {
            names,
            account,
            kind,
            reason,
        } => {
            let order = Cancel {
                jobs: names,
                account,
                kind: kind.map(|kind| Kind(kind.into())),
                reason: reason.into(),
            };
            cancel(&order, admin, printer).await
        }
        Job::Release { name, change } => {
            let accepted = admin.release_job(&name, &order(&change, false)).await?;
            print_accepted(accepted, &change, admin, printer).await
        }
    }
}

/// Reads one job or a list of jobs; errors contain line, column and what was expected.
fn read_jobs(file: &Path) -> Result<Vec<Spec>> {
    let text = fs::read_to_string(file).wrap_err_with(|| format!("reading {}", file.display()))?;
    let is_content = |line: &&str| !line.is_empty() && !line.starts_with('#') && *line != "---";
    let first = text.lines().map(str::trim).find(is_content);
    let malformed = || format!("{} does not contain valid jobs", file.display());
    if first.is_some_and(|line| line.starts_with(['-', '['])) {
        serde_saphyr::from_str(&text).wrap_err_with(malformed)
    } else {
        let one = serde_saphyr::from_str(&text).wrap_err_with(malformed)?;
        Ok(vec![one])
    }
}

/// Builds the job that the options describe.
fn spec_from_options(submission: Submission) -> Result<Spec> {
    let missing = || eyre!("name, account, pool and kind must be given together");
    let kind = submission.kind.ok_or_else(missing)?;
    Ok(Spec {
        name: submission.name.ok_or_else(missing)?,
        account: submission.account.ok_or_else(missing)?,
        pool: submission.pool.ok_or_else(missing)?,
        kind: Kind(kind.into()),
        declared: Resources {
            cores: submission.cores,
            memory: submission.memory,
            accelerators: submission.accelerators,
        },
    })
}

async fn submit(submission: Submission, admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    let reason = submission.reason.as_str().into();
    let jobs = match &submission.file {
        Some(file) => read_jobs(file)?,
        None => vec![spec_from_options(submission)?],
    };
    let count = jobs.len();
    let accepted = admin.submit(&Submit { jobs, reason }).await?;
    printer.print(&Printable {
        value: &accepted,
        titles: &["version", "jobs"],
        rows: vec![vec![accepted.version.to_string(), count.to_string()]],
    })?;
    Ok(exit::DONE)
}

async fn cancel(order: &Cancel, admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    let accepted = admin.cancel(order).await?;
    let row = vec![
        accepted.version.to_string(),
        accepted.cancelled.to_string(),
        accepted.left.to_string(),
    ];
    printer.print(&Printable {
        value: &accepted,
        titles: &["version", "cancelled", "left"],
        rows: vec![row],
    })?;
    Ok(exit::DONE)
}

fn row(found: &Versioned<Row>) -> Vec<String> {
    const NONE: &str = "-";
    let row = &found.value;
    let at = row.state.instance().map(ToString::to_string);
    let code = row.code().map(|code| code.number().to_string());
    vec![
        row.id.to_string(),
        row.account.to_string(),
        row.pool.to_string(),
        row.kind.to_string(),
        row.state.name().to_owned(),
        at.unwrap_or_else(|| NONE.to_owned()),
        row.failures.to_string(),
        code.unwrap_or_else(|| NONE.to_owned()),
        found.version.to_string(),
    ]
}

fn list(jobs: &Vec<Versioned<Row>>, printer: &mut Printer<'_>) -> Result<u8> {
    printer.print(&Printable {
        value: jobs,
        titles: &TITLES,
        rows: jobs.iter().map(row).collect(),
    })?;
    Ok(exit::DONE)
}

async fn show(name: &id::Job, admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    let found = admin.job(name).await?;
    match printer.output {
        Output::Json => printer.json(&found)?,
        Output::Table => {
            let yaml = serde_saphyr::to_string(&found.value).wrap_err("writing YAML")?;
            printer.line(&format!("# version {}\n{yaml}", found.version))?;
        }
    }
    Ok(exit::DONE)
}
