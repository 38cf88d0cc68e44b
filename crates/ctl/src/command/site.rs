//! The `site` commands, which read the store and the list of instances on the users' platform.

use crate::{
    cli::{Site, SiteCommand},
    exit,
    output::{Printable, Printer},
};
use eyre::{Result, WrapErr, eyre};
use primroseroute_adapter::{Client, Settings, Site as Adapter, Store};
use primroseroute_domain::work::JobId;
use primroseroute_inspect::{Account, JobDetails, Pool, Wave};
use std::time::Duration;

/// Default timeout of a platform call. It is short because an operator waits for the result.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Placeholder for a missing value.
const NONE: &str = "-";

pub(super) async fn run(options: &Site, printer: &mut Printer<'_>) -> Result<u8> {
    let settings =
        Settings::load(&options.settings).wrap_err("reading the platform's settings file")?;
    let client = Client::open(TIMEOUT);
    let store = Store::open(client.clone(), settings.store);
    let site = Adapter::open(client, store.clone(), settings.instances);
    match &options.command {
        SiteCommand::Pools => {
            show_pools(&primroseroute_inspect::pools(&store, &site).await?, printer)
        }
        SiteCommand::Accounts => {
            let accounts = primroseroute_inspect::accounts(&store, &site).await?;
            show_accounts(&accounts, printer)
        }
        SiteCommand::Waves => {
            show_waves(&primroseroute_inspect::waves(&store, &site).await?, printer)
        }
        SiteCommand::Job { id } => {
            let id = JobId::parse(id).ok_or_else(|| eyre!("a job id has 16 hexadecimal digits"))?;
            let Some(details) = primroseroute_inspect::job(&store, &id).await? else {
                eprintln!(
                    "primrosectl: no such job was accepted, or its rows have been deleted since"
                );
                return Ok(exit::FAILED);
            };
            show_job(&details, printer)
        }
    }
}

fn or_none<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| NONE.to_owned(), |value| value.to_string())
}

fn show_pools(pools: &Vec<Pool>, printer: &mut Printer<'_>) -> Result<u8> {
    let row = |pool: &Pool| {
        let queued = pool.queued.iter();
        let queued = queued.map(|(queue, jobs)| format!("{queue} {jobs}"));
        vec![
            pool.name.to_string(),
            if pool.standby { "off" } else { "serves" }.to_owned(),
            or_none(pool.owner.as_ref()),
            or_none(pool.wanted),
            or_none(pool.needed_now),
            or_none(pool.needed_late),
            pool.up.to_string(),
            pool.away.to_string(),
            queued.collect::<Vec<_>>().join(", "),
            or_none(pool.within_wait_ms),
            or_none(pool.beyond_wait_ms),
            or_none(pool.rate_cpu),
        ]
    };
    printer.print(&Printable {
        value: pools,
        titles: &[
            "pool",
            "state",
            "owner",
            "wants",
            "needs now",
            "late",
            "up",
            "away",
            "queued",
            "wait within ms",
            "wait beyond ms",
            "rate cpu",
        ],
        rows: pools.iter().map(row).collect(),
    })?;
    Ok(exit::DONE)
}

/// A limit on a processor share; 0 is none.
fn limit(cpu: u64) -> String {
    or_none((cpu > 0).then_some(cpu))
}

fn show_accounts(accounts: &Vec<Account>, printer: &mut Printer<'_>) -> Result<u8> {
    let row = |account: &Account| {
        let pools = account.pools.iter();
        let held = pools.clone().map(|(pool, holding)| {
            let wanted = holding.wanted.map(|wanted| format!(" of {}", wanted.cpu));
            format!("{pool} {}{}", holding.held.cpu, wanted.unwrap_or_default())
        });
        let waits = pools.filter(|(_pool, holding)| holding.wanted.is_some());
        let shares = account.within_permille.iter();
        let shares = shares.map(|(pool, permille)| format!("{pool} {permille}"));
        vec![
            account.name.to_string(),
            account.weight.to_string(),
            account.keys.to_string(),
            limit(account.maximum.cpu),
            or_none(account.in_force.map(|maximum| limit(maximum.cpu))),
            waits.count().to_string(),
            held.collect::<Vec<_>>().join(", "),
            shares.collect::<Vec<_>>().join(", "),
        ]
    };
    printer.print(&Printable {
        value: accounts,
        titles: &[
            "account",
            "weight",
            "keys",
            "maximum cpu",
            "in force",
            "pools that wait",
            "held cpu",
            "within permille",
        ],
        rows: accounts.iter().map(row).collect(),
    })?;
    Ok(exit::DONE)
}

fn show_waves(waves: &Vec<Wave>, printer: &mut Printer<'_>) -> Result<u8> {
    let row = |wave: &Wave| {
        vec![
            wave.number.to_string(),
            wave.maximum.to_string(),
            wave.active.len().to_string(),
            wave.done.len().to_string(),
            wave.waiting.len().to_string(),
        ]
    };
    printer.print(&Printable {
        value: waves,
        titles: &["wave", "at once", "active", "done", "waiting"],
        rows: waves.iter().map(row).collect(),
    })?;
    Ok(exit::DONE)
}

fn show_job(details: &JobDetails, printer: &mut Printer<'_>) -> Result<u8> {
    if printer.output == crate::cli::Output::Table {
        let ended = or_none(details.ended_ms);
        printer.line(&format!(
            "{} of {} on {} for {}: {:?}, accepted {}, objective {} ms, ended {ended}, cancelled {}",
            details.id,
            details.queue,
            details.pool,
            or_none(details.account.as_ref()),
            details.state,
            details.accepted_ms,
            details.objective_ms,
            details.cancelled
        ))?;
    }
    let row = |task: &primroseroute_inspect::Task| {
        vec![
            task.name.clone(),
            task.phase.to_owned(),
            or_none(task.worker.as_ref()),
            task.run.to_string(),
            task.failed.to_string(),
        ]
    };
    printer.print(&Printable {
        value: details,
        titles: &["task", "phase", "worker", "run", "failed runs"],
        rows: details.tasks.iter().map(row).collect(),
    })?;
    Ok(exit::DONE)
}
