//! The `wave` commands.

use super::{audit::time, instance::order, print_accepted};
use crate::{
    cli::{Output, Wave, WaveOrder},
    exit,
    output::{Printable, Printer},
};
use eyre::Result;
use jiff::Timestamp;
use primroseroute_api::{Start, Wave as WaveStatus};
use primroseroute_client::Admin;
use primroseroute_domain::{id, time::Instant};
use primroseroute_fleet::wave::{self, Command, Limits, Plan, Scope, State, Window};
use std::time::Duration;
use tokio::time::sleep;

/// Interval between status requests while watching a wave. Instances take minutes, and operators react
/// within seconds.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

pub(super) async fn run(command: Wave, admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    let (name, verb, change) = match command {
        Wave::Plan { order } => return plan(&order, admin, printer).await,
        Wave::List => return list(admin, printer).await,
        Wave::Status { name, watch } => return status(&name, watch, admin, printer).await,
        Wave::Start { order, change } => {
            let start = Start {
                order: wave_order(&order),
                reason: change.reason.as_str().into(),
            };
            let accepted = admin.start_wave(&start).await?;
            return print_accepted(accepted, &change, admin, printer).await;
        }
        Wave::Pause { name, change } => (name, Command::Pause, change),
        Wave::Resume { name, change } => (name, Command::Resume, change),
        Wave::Abort { name, change } => (name, Command::Abort, change),
    };
    let accepted = admin
        .command_wave(&name, verb, &order(&change, false))
        .await?;
    print_accepted(accepted, &change, admin, printer).await
}

fn instant(at: Timestamp) -> Instant {
    Instant(u64::try_from(at.as_millisecond()).unwrap_or(0))
}

fn wave_order(options: &WaveOrder) -> wave::Order {
    let defaults = Limits::default();
    wave::Order {
        id: options.name.clone(),
        scope: Scope {
            pools: options.pools.iter().cloned().collect(),
            zones: options.zones.iter().cloned().collect(),
            racks: options.racks.iter().cloned().collect(),
        },
        window: Window {
            opens: options.opens.map(instant),
            closes: options.closes.map(instant),
        },
        limits: Limits {
            max_out: options.max_out,
            reboot_seconds: options.reboot.unwrap_or(defaults.reboot_seconds),
            ..defaults
        },
    }
}

async fn plan(options: &WaveOrder, admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    let plan = admin.plan_wave(&wave_order(options)).await?;
    match printer.output {
        Output::Json => printer.json(&plan)?,
        Output::Table => print_plan(&plan, printer)?,
    }
    Ok(exit::DONE)
}

fn print_plan(plan: &Plan, printer: &mut Printer<'_>) -> Result<()> {
    let row = |batch: &wave::Batch| {
        let names: Vec<String> = batch.instances.keys().map(ToString::to_string).collect();
        vec![
            format!("{} s", batch.after_seconds),
            names.len().to_string(),
            names.join(" "),
        ]
    };
    let rows: Vec<_> = plan.batches.iter().map(row).collect();
    printer.table(&["after", "instances", "names"], &rows)?;
    let fits = if plan.fits_window {
        "within its window"
    } else {
        "NOT within its window"
    };
    printer.line(&format!(
        "roll-out {} s, {fits}; buffer cost {:.1} idle slot-hours; {} moves first",
        plan.rollout_seconds, plan.buffer_slot_hours, plan.moves,
    ))
}

fn row(found: &WaveStatus) -> Vec<String> {
    let wave = &found.row.value;
    let progress = &found.progress;
    vec![
        wave.id().to_string(),
        wave.state.to_string(),
        progress.done.to_string(),
        progress.out.to_string(),
        progress.pending.to_string(),
        progress.failed.to_string(),
        format!("{:.1}/h", found.rate),
        found.ends.map_or_else(|| "-".to_owned(), time),
        wave.reason.as_deref().unwrap_or("").to_owned(),
    ]
}

const TITLES: [&str; 9] = [
    "wave", "state", "done", "out", "pending", "failed", "rate", "ends", "reason",
];

async fn list(admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    let waves = admin.waves().await?;
    let rows = waves.iter().map(row).collect();
    printer.print(&Printable {
        value: &waves,
        titles: &TITLES,
        rows,
    })?;
    Ok(exit::DONE)
}

async fn status(
    name: &id::Wave,
    watch: bool,
    admin: &Admin,
    printer: &mut Printer<'_>,
) -> Result<u8> {
    loop {
        let waves = admin.waves().await?;
        let found: Vec<WaveStatus> = waves
            .into_iter()
            .filter(|wave| wave.row.value.id() == name)
            .collect();
        let rows = found.iter().map(row).collect();
        printer.print(&Printable {
            value: &found,
            titles: &TITLES,
            rows,
        })?;
        let Some(wave) = found.first() else {
            return Ok(exit::REFUSED);
        };
        if !watch || wave.row.value.state != State::Running {
            return Ok(exit::DONE);
        }
        sleep(POLL_INTERVAL).await;
    }
}
