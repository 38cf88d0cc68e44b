//! The `demo` command, with its progress bar and result table.

use crate::{
    cli, exit,
    output::{Printable, Printer},
};
use eyre::Result;
use indicatif::{ProgressBar, ProgressStyle};
use primroseroute_demo::{
    Options, Progress,
    checker::{Breach, Report},
};
use std::time::Duration;

/// Maximum violations printed below the table; JSON contains all of them.
const MAX_PRINTED_BREACHES: usize = 20;

/// A progress bar on standard error, invisible if that is not a terminal.
#[derive(Debug)]
struct DemoProgress(ProgressBar);

impl DemoProgress {
    fn new(load: Duration) -> Self {
        let bar = ProgressBar::new(load.as_millis().try_into().unwrap_or(u64::MAX));
        let style = ProgressStyle::with_template("{elapsed_precise} {wide_bar} {msg}");
        Self(bar.with_style(style.unwrap_or_else(|_error| ProgressStyle::default_bar())))
    }
}

impl Progress for DemoProgress {
    fn show(&self, done: Duration, step: &str) {
        self.0
            .set_position(done.as_millis().try_into().unwrap_or(u64::MAX));
        if self.0.message() != step {
            self.0.set_message(step.to_owned());
        }
    }
}

pub(super) async fn run(options: &cli::Demo, printer: &mut Printer<'_>) -> Result<u8> {
    let options = Options {
        load: Duration::from_secs(options.seconds),
        seed: options.seed,
        ..Options::default()
    };
    let bar = DemoProgress::new(options.load);
    let report = primroseroute_demo::run(&options, &bar).await?;
    bar.0.finish_and_clear();
    print(&report, printer)
}

/// Prints the report; the exit code tells whether an invariant was violated.
fn print(report: &Report, printer: &mut Printer<'_>) -> Result<u8> {
    printer.print(&Printable {
        value: report,
        titles: &["what", "figure"],
        rows: rows(report),
    })?;
    if report.breaches.is_empty() {
        return Ok(exit::DONE);
    }
    if printer.output == cli::Output::Table {
        for breach in report.breaches.iter().take(MAX_PRINTED_BREACHES) {
            printer.line(&describe(breach))?;
        }
    }
    Ok(exit::INVARIANT_VIOLATED)
}

fn describe(breach: &Breach) -> String {
    format!("invariant violated: {breach:?}")
}

fn rows(report: &Report) -> Vec<Vec<String>> {
    let (requests, views, fleet) = (&report.requests, &report.views, &report.fleet);
    let times = views.in_force;
    let figures = [
        ("sent", requests.sent.to_string()),
        ("  of these keyed holds", requests.holds.to_string()),
        ("attempts", requests.attempts.to_string()),
        ("connections refused", requests.refused.to_string()),
        ("completed", requests.completed.to_string()),
        ("  of these a worker's error", requests.errors.to_string()),
        ("not run", requests.not_run.to_string()),
        ("unknown", requests.unknown.to_string()),
        ("late", requests.late.to_string()),
        ("doubled", requests.doubled.to_string()),
        ("lost", requests.lost.to_string()),
        ("not run, but ran", requests.ran.to_string()),
        ("another's answer", requests.foreign.to_string()),
        ("budget breaches", fleet.budget_breaches.to_string()),
        ("versions gone backwards", views.reverted.to_string()),
        (
            "configurations accepted",
            (views.orders + views.never).to_string(),
        ),
        ("  never in force everywhere", views.never.to_string()),
        (
            "  in force everywhere within",
            format!(
                "p50 {} ms, p99 {} ms, max {} ms",
                times.p50_ms, times.p99_ms, times.max_ms
            ),
        ),
        (
            "buffer cost",
            format!("{:.3} idle slot-hours", fleet.buffer_slot_hours),
        ),
        ("moves", fleet.moves.to_string()),
        ("arrivals", fleet.arrivals.to_string()),
        ("departures", fleet.departures.to_string()),
        ("quarantines", fleet.quarantines.to_string()),
        ("waves", fleet.waves.to_string()),
        ("  of these rolled out", fleet.waves_done.to_string()),
        ("  roll-out time", format!("{} ms", fleet.rollout_ms)),
        ("instances maintained", fleet.maintained.to_string()),
    ];
    let row = |(what, figure): (&str, String)| vec![what.to_owned(), figure];
    figures.into_iter().map(row).collect()
}
