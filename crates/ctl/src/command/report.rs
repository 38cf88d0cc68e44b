//! The `report` command, which computes costs over a period from the audit trail.

use super::audit::time;
use crate::{
    cli::{self, Output},
    exit,
    output::Printer,
};
use eyre::{Result, WrapErr, bail};
use jiff::{SignedDuration, Timestamp};
use primroseroute_client::Admin;
use primroseroute_domain::time::Instant;
use primroseroute_fleet::{measure::Cost, placement::Weights};
use primroseroute_report::{Line, Period, Replay, ReplayResult, Report, Wave, plot};
use std::fs;

/// Records per request: the maximum that an entry returns.
const PAGE_SIZE: u32 = 1_000;

/// Default length of the period.
const DEFAULT_PERIOD: SignedDuration = SignedDuration::from_hours(24);

/// Column titles that all tables share.
const COST_TITLES: [&str; 4] = ["buffer slot-h", "lower bound", "moves", "roll-out"];

pub(super) async fn run(
    options: &cli::Report,
    admin: &Admin,
    printer: &mut Printer<'_>,
) -> Result<u8> {
    let replay = Replay::new(period(options)?, weights(options)?);
    let found = replay_trail(admin, replay).await?;
    match printer.output {
        Output::Json => printer.json(&found.report)?,
        Output::Table => print(&found.report, printer)?,
    }
    if let Some(file) = &options.plot {
        fs::write(file, plot::svg(&found)?)
            .wrap_err_with(|| format!("writing the plot to {}", file.display()))?;
    }
    Ok(exit::DONE)
}

fn period(options: &cli::Report) -> Result<Period> {
    let to = options.to.unwrap_or_else(Timestamp::now);
    let from = match options.from {
        Some(from) => from,
        None => to
            .checked_sub(DEFAULT_PERIOD)
            .wrap_err("the period's start")?,
    };
    if from >= to {
        bail!("the period ends at {to}, which is not after its start at {from}");
    }
    Ok(Period {
        from: instant(from),
        to: instant(to),
    })
}

fn weights(options: &cli::Report) -> Result<Weights> {
    let Some(file) = &options.weights else {
        return Ok(Weights::default());
    };
    let text = fs::read_to_string(file)
        .wrap_err_with(|| format!("reading the weights from {}", file.display()))?;
    serde_saphyr::from_str(&text)
        .wrap_err_with(|| format!("{} does not contain valid weights", file.display()))
}

fn instant(at: Timestamp) -> Instant {
    Instant(u64::try_from(at.as_millisecond()).unwrap_or(0))
}

/// Reads the whole trail up to the period's end, page by page.
async fn replay_trail(admin: &Admin, mut replay: Replay) -> Result<ReplayResult> {
    while !replay.is_past() {
        let page = admin
            .audit(replay.last_seq(), PAGE_SIZE, None, None)
            .await?;
        if page.records.is_empty() {
            break;
        }
        for record in &page.records {
            replay.apply(record)?;
        }
    }
    Ok(replay.finish())
}

fn print(report: &Report, printer: &mut Printer<'_>) -> Result<()> {
    let Period { from, to } = report.period;
    printer.line(&format!(
        "from {} to {}, {} changes",
        time(from),
        time(to),
        report.changes
    ))?;
    let accounts = report.accounts.iter();
    let rows: Vec<_> = accounts
        .map(|(name, line)| row([name.to_string()], line))
        .collect();
    printer.table(&titles(["account"]), &rows)?;
    let pools = report.pools.iter();
    let rows: Vec<_> = pools
        .map(|(name, line)| {
            let owner = report.owners.get(name).map(ToString::to_string);
            row([name.to_string(), owner.unwrap_or_default()], line)
        })
        .collect();
    printer.table(&titles(["pool", "account"]), &rows)?;
    let rows: Vec<_> = report.waves.iter().map(wave).collect();
    printer.table(&titles(["wave", "state", "maintained"]), &rows)?;
    let Cost {
        buffer_slot_hours,
        bound_slot_hours,
        moves,
    } = report.total();
    printer.line(&format!(
        "total: buffer cost {buffer_slot_hours:.3} idle slot-hours, lower bound {bound_slot_hours:.3}, \
         spares {:.3}; {moves} moves",
        report.spare_slot_hours,
    ))
}

fn titles<const N: usize>(first: [&'static str; N]) -> Vec<&'static str> {
    first.into_iter().chain(COST_TITLES).collect()
}

fn row<const N: usize>(first: [String; N], line: &Line) -> Vec<String> {
    let costs = costs(line.cost, line.rollout_seconds);
    first.into_iter().chain(costs).collect()
}

fn wave(wave: &Wave) -> Vec<String> {
    let first = [
        wave.id.to_string(),
        wave.state.to_string(),
        wave.maintained.to_string(),
    ];
    let costs = costs(wave.cost, wave.rollout_seconds);
    first.into_iter().chain(costs).collect()
}

fn costs(cost: Cost, rollout_seconds: f64) -> [String; 4] {
    [
        format!("{:.3}", cost.buffer_slot_hours),
        format!("{:.3}", cost.bound_slot_hours),
        cost.moves.to_string(),
        format!("{rollout_seconds:.1} s"),
    ]
}
