//! The `audit` command.

use crate::{
    cli, exit,
    output::{Printable, Printer},
};
use eyre::Result;
use jiff::Timestamp;
use primroseroute_api::Audit;
use primroseroute_client::Admin;
use primroseroute_domain::{
    change::{Edit, Record, Seq},
    time::Instant,
};
use std::time::Duration;
use tokio::time::sleep;

/// Interval between requests for new changes. There are thousands of changes a day, not several a
/// second.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

pub(super) async fn run(
    filter: cli::Audit,
    admin: &Admin,
    printer: &mut Printer<'_>,
) -> Result<u8> {
    let mut after = Seq(filter.after);
    loop {
        let page = admin
            .audit(
                after,
                filter.limit,
                filter.actor.as_deref(),
                filter.key.as_deref(),
            )
            .await?;
        if !page.records.is_empty() || !filter.follow {
            print(&page, printer)?;
        }
        if !filter.follow {
            return Ok(exit::DONE);
        }
        after = page.read_to.max(after);
        sleep(POLL_INTERVAL).await;
    }
}

/// Prints a page of the audit trail.
pub(super) fn print(page: &Audit, printer: &mut Printer<'_>) -> Result<()> {
    let rows = page.records.iter().map(row).collect();
    let titles = ["version", "at", "actor", "reason", "rows"];
    printer.print(&Printable {
        value: &page.records,
        titles: &titles,
        rows,
    })
}

fn row(record: &Record) -> Vec<String> {
    let edits: Vec<String> = record.edits.iter().map(edit).collect();
    vec![
        record.seq.to_string(),
        time(record.at),
        record.actor.to_string(),
        record.reason.to_string(),
        edits.join("\n"),
    ]
}

/// Formats one row's change, such as `account/a 3 -> 5`.
fn edit(edit: &Edit) -> String {
    let before = edit
        .before
        .map_or_else(|| "new".to_owned(), |seq| seq.to_string());
    let after = if edit.after.is_some() { "" } else { " deleted" };
    format!("{} (was {before}){after}", edit.key)
}

pub(super) fn time(at: Instant) -> String {
    let millis = i64::try_from(at.0).unwrap_or(i64::MAX);
    Timestamp::from_millisecond(millis).map_or_else(|_| at.0.to_string(), |at| at.to_string())
}
