//! Runs the commands.

mod account;
mod audit;
mod demo;
mod instance;
mod job;
mod list;
mod report;
mod site;
mod wave;

use crate::{
    cli::{Change, Cli, Command, Entry, Listing, Output, Target},
    exit,
    output::{Printable, Printer},
    wait,
};
use clap::CommandFactory;
use eyre::{Result, WrapErr, eyre};
use primroseroute_api::Accepted;
use primroseroute_client::{Admin, Error};
use primroseroute_domain::change::Seq;
use std::{env, fs, io::Write, time::Duration};

/// The environment variable that holds the operator's token.
const TOKEN_VARIABLE: &str = "PRIMROSE_TOKEN";

/// Runs one command, prints its result to `out`, and returns the exit code.
///
/// # Errors
/// Local failures. Errors of requests are printed and returned as exit codes.
pub async fn run(cli: Cli, out: &mut dyn Write) -> Result<u8> {
    let mut printer = Printer {
        output: cli.output,
        out,
    };
    let result = match cli.command {
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "primrosectl", printer.out);
            return Ok(exit::DONE);
        }
        Command::Demo(options) => return demo::run(&options, &mut printer).await,
        Command::Site(options) => return site::run(&options, &mut printer).await,
        command => execute(command, &new_client(&cli.target)?, &mut printer).await,
    };
    match result {
        Ok(code) => Ok(code),
        Err(report) => print_request_error(&report, &mut printer).ok_or(report),
    }
}

/// Prints the error of a failed request and returns its exit code; `None` for a local failure.
fn print_request_error(report: &eyre::Report, printer: &mut Printer<'_>) -> Option<u8> {
    let error = report.downcast_ref::<Error>()?;
    match (printer.output, error) {
        (Output::Json, Error::Refused(problem)) => printer.json(problem).ok()?,
        _ => eprintln!("primrosectl: {error}"),
    }
    Some(exit::from_error(error))
}

async fn execute(command: Command, admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    match command {
        Command::Account(command) => account::run(command, admin, printer).await,
        Command::Instance(command) => instance::run(command, admin, printer).await,
        Command::Job(command) => job::run(command, admin, printer).await,
        Command::Service(Listing::List) => list::services(admin, printer).await,
        Command::Pool(Listing::List) => list::pools(admin, printer).await,
        Command::Entry(Entry::Remove { name, change }) => {
            let order = instance::order(&change, false);
            let accepted = admin.remove(&name, &order).await?;
            print_accepted(accepted, &change, admin, printer).await
        }
        Command::Wave(command) => wave::run(command, admin, printer).await,
        Command::Status => list::status(admin, printer).await,
        Command::Audit(filter) => audit::run(filter, admin, printer).await,
        Command::Report(options) => report::run(&options, admin, printer).await,
        Command::Completions { .. } | Command::Demo(_) | Command::Site(_) => Ok(exit::DONE),
    }
}

fn new_client(target: &Target) -> Result<Admin> {
    let token = match &target.token_file {
        Some(file) => fs::read_to_string(file)
            .wrap_err_with(|| format!("reading the token from {}", file.display()))?,
        None => env::var(TOKEN_VARIABLE)
            .map_err(|_unset| eyre!("no operator token: set {TOKEN_VARIABLE} or --token-file"))?,
    };
    Ok(Admin::open(target.entry, token.trim()))
}

/// Prints an accepted change, after waiting until it is in effect if the operator asked for that.
async fn print_accepted(
    accepted: Accepted,
    change: &Change,
    admin: &Admin,
    printer: &mut Printer<'_>,
) -> Result<u8> {
    let in_effect = if change.wait {
        let limit = Duration::from_secs(change.wait_limit);
        Some(wait::until_in_effect(admin, accepted.version, limit).await?)
    } else {
        None
    };
    let text = match in_effect {
        None => "accepted",
        Some(true) => "in force at every registered entry",
        Some(false) => "accepted, not yet in force at every registered entry",
    };
    let rows = vec![vec![accepted.version.to_string(), text.to_owned()]];
    printer.print(&Printable {
        value: &accepted,
        titles: &["version", "state"],
        rows,
    })?;
    Ok(if in_effect == Some(false) {
        exit::NOT_YET_IN_EFFECT
    } else {
        exit::DONE
    })
}

fn if_version(change: &Change) -> Option<Seq> {
    change.if_version.map(Seq)
}
