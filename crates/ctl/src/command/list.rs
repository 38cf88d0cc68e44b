//! The `list` commands of services, pools and instances, and the `status` command.

use crate::{
    cli::Output,
    exit,
    output::{Printable, Printer},
};
use eyre::Result;
use primroseroute_api::{Pool, Status};
use primroseroute_client::Admin;
use std::time::Duration;

const NONE: &str = "-";

fn or_none<T: ToString>(value: Option<&T>) -> String {
    value.map_or_else(|| NONE.to_owned(), ToString::to_string)
}

fn seconds(age: Option<Duration>) -> String {
    age.map_or_else(
        || NONE.to_owned(),
        |age| format!("{:.1} s", age.as_secs_f64()),
    )
}

pub(super) async fn services(admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    let services = admin.services().await?;
    let row = |service: &primroseroute_api::Service| {
        vec![
            service.name.to_string(),
            service.account.to_string(),
            service.pool.to_string(),
            service.hosts.join(" "),
            or_none(service.path_prefix.as_ref()),
        ]
    };
    let rows = services.iter().map(row).collect();
    let titles = ["service", "account", "pool", "hosts", "path prefix"];
    printer.print(&Printable {
        value: &services,
        titles: &titles,
        rows,
    })?;
    Ok(exit::DONE)
}

const POOL_TITLES: [&str; 5] = ["pool", "account", "promised", "serving", "instances"];

fn pool_row(pool: &Pool) -> Vec<String> {
    vec![
        pool.name.to_string(),
        pool.account.to_string(),
        pool.promised.to_string(),
        pool.serving.to_string(),
        pool.members.to_string(),
    ]
}

pub(super) async fn pools(admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    let pools = admin.pools().await?;
    let rows = pools.iter().map(pool_row).collect();
    printer.print(&Printable {
        value: &pools,
        titles: &POOL_TITLES,
        rows,
    })?;
    Ok(exit::DONE)
}

pub(super) async fn instances(admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    let instances = admin.instances().await?;
    let row = |instance: &primroseroute_api::Instance| {
        let row = &instance.row.value;
        vec![
            row.id.to_string(),
            or_none(row.pool.as_ref()),
            row.state.to_string(),
            row.zone.to_string(),
            row.rack.to_string(),
            instance.in_flight.to_string(),
            instance.row.version.to_string(),
        ]
    };
    let rows = instances.iter().map(row).collect();
    let titles = [
        "instance",
        "pool",
        "state",
        "zone",
        "rack",
        "in flight here",
        "version",
    ];
    printer.print(&Printable {
        value: &instances,
        titles: &titles,
        rows,
    })?;
    Ok(exit::DONE)
}

pub(super) async fn status(admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    let status = admin.status().await?;
    match printer.output {
        Output::Json => printer.json(&status)?,
        Output::Table => print_status(&status, printer)?,
    }
    Ok(exit::DONE)
}

fn print_status(status: &Status, printer: &mut Printer<'_>) -> Result<()> {
    printer.line(&format!(
        "entry {}: version {} in force, confirmed by the store {} ago, controller {}",
        status.entry,
        status.seq,
        seconds(status.confirmed),
        or_none(status.controller.as_ref()),
    ))?;
    let by_state: Vec<String> = status
        .instances
        .iter()
        .map(|(state, count)| format!("{count} {state}"))
        .collect();
    printer.line(&format!("instances: {}", by_state.join(", ")))?;
    let row = |entry: &primroseroute_api::Entry| {
        vec![
            entry.name.to_string(),
            entry.seq.to_string(),
            seconds(entry.heard),
        ]
    };
    if !status.complete {
        printer.line("the store did not respond: recently registered entries may be missing")?;
    }
    let rows = status.entries.iter().map(row).collect();
    let titles = ["entry", "version in force", "heard"];
    printer.print(&Printable {
        value: &status.entries,
        titles: &titles,
        rows,
    })?;
    let rows = status.pools.iter().map(pool_row).collect();
    printer.print(&Printable {
        value: &status.pools,
        titles: &POOL_TITLES,
        rows,
    })
}
