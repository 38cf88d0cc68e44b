//! Reports of a running site: on a wave, and across the table and the archive of the audit trail.

use crate::cases;
use clap::Parser;
use eyre::{Result, WrapErr, ensure};
use primroseroute_api::Start;
use primroseroute_audit::{Keep, archive_batch};
use primroseroute_ctl::{Cli, exit, run};
use primroseroute_domain::{
    change::{Record, Seq},
    time::{Clock, SystemClock},
};
use primroseroute_fleet::{
    measure::rollout_duration,
    wave::{Limits, Order, Scope, State, Window},
};
use primroseroute_ledger::key;
use primroseroute_platform::table::Condition;
use primroseroute_report::Report;
use primroseroute_testbed::{Layout, OPERATOR_TOKEN, Site, platform};
use std::{fs, path::Path, time::Duration};
use tempfile::TempDir;

cases! {
    report_of_a_wave_is_the_same_from_the_table_and_the_archive => wave();
    period_that_ends_before_it_starts_is_rejected => reversed_period();
}

const REBOOT: Duration = Duration::from_millis(150);

/// Small archive objects, so that a short trail fills several.
const RETENTION: Keep = Keep {
    newest: 3,
    batch: 5,
};

/// Two entries, and pools `stay` of four workers and `rest` of three.
async fn site() -> Result<Site> {
    let layout = Layout {
        pools: vec![("stay".to_owned(), 4), ("rest".to_owned(), 3)],
        ..Layout::small()
    };
    let options = platform::Options {
        reboot: REBOOT,
        ..platform::Options::default()
    };
    let mut site = Site::open(layout, options).await?;
    site.converge().await?;
    Ok(site)
}

async fn report(site: &Site, folder: &Path, args: &[&str]) -> Result<(u8, String)> {
    let token = folder.join("token");
    fs::write(&token, OPERATOR_TOKEN)?;
    let entry = site.any_entry().entry.admin().to_string();
    let token = token.to_string_lossy();
    let target = ["primrosectl", "--entry", &entry, "--token-file", &token];
    let args = target.iter().chain(&["report"]).chain(args);
    let cli = Cli::try_parse_from(args)?;
    let mut printed = Vec::new();
    let code = run(cli, &mut printed).await?;
    Ok((code, String::from_utf8(printed)?))
}

/// Starts a wave over the pool `stay` and waits until it is done.
async fn roll_out(site: &Site) -> Result<()> {
    let order = Order {
        id: "w".parse()?,
        scope: Scope {
            pools: ["stay".parse()?].into(),
            ..Scope::default()
        },
        window: Window::default(),
        limits: Limits::default(),
    };
    let start = Start {
        order,
        reason: "test".into(),
    };
    let admin = &site.any_entry().admin;
    admin.start_wave(&start).await?;
    let deadline = tokio::time::Instant::now() + crate::TIMEOUT;
    loop {
        let waves = admin.waves().await?;
        if waves.iter().all(|wave| wave.row.value.state == State::Done) {
            return Ok(());
        }
        ensure!(
            tokio::time::Instant::now() < deadline,
            "the wave is not done: {waves:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The time between the first and the last record of the wave.
fn wave_duration(records: &[Record]) -> Duration {
    let of_wave = |record: &&Record| record.edits.iter().any(|edit| &*edit.key == "wave/w");
    let mut records = records.iter().filter(of_wave);
    let first = records.next().expect("the wave has a first record");
    records
        .next_back()
        .expect("the wave has a last record")
        .at
        .since(first.at)
}

/// The current time as a command line argument, rounded up to the next millisecond.
fn now() -> Result<String> {
    let millis = i64::try_from(SystemClock.now().0)? + 1;
    let at = jiff::Timestamp::from_millisecond(millis)?;
    Ok(at.to_string())
}

/// The report is generated while all records are in the table, and again after all but a few have
/// been archived. All figures must be the same, and those known from elsewhere must match.
async fn wave() -> Result<()> {
    let site = site().await?;
    let folder = TempDir::new()?;
    roll_out(&site).await?;
    let to = now()?;
    let plot = folder.path().join("plot.svg");
    let plot_name = plot.to_string_lossy();
    let args = ["--to", &to, "--output", "json", "--plot", &plot_name];
    let (code, first) = report(&site, folder.path(), &args).await?;
    assert_eq!(code, exit::DONE);
    let found: Report = serde_json::from_str(&first).wrap_err(first.clone())?;
    let [wave] = &*found.waves else {
        eyre::bail!("{found:?}");
    };
    assert_eq!((wave.state, wave.maintained), (State::Done, 4));
    assert_eq!(wave.pools, ["stay".parse()?].into());
    let known = site.any_entry().admin.waves().await?.remove(0).row.value;
    assert_eq!((wave.started, wave.ended), (known.started, known.ended));
    let took = rollout_duration(&known, known.started).as_secs_f64();
    assert!((wave.rollout_seconds - took).abs() < 1e-9, "{wave:?}");
    let stay = found.pools[&"stay".parse()?];
    let rest = found.pools[&"rest".parse()?];
    assert_eq!((found.total().moves, rest.rollout_seconds), (0, 0.0));
    let records = site.ledger().records_after(Seq(0), 1_000).await?;
    let wave_duration = wave_duration(&records).as_secs_f64();
    assert!(
        (stay.rollout_seconds - wave_duration).abs() < 1e-9,
        "{stay:?}, {wave_duration}"
    );
    // Both pools hold one instance more than they promise from the same change on.
    assert!(stay.cost.buffer_slot_hours > 0.0, "{stay:?}");
    assert!((stay.cost.buffer_slot_hours - rest.cost.buffer_slot_hours).abs() < 1e-9);
    let drawn = fs::read_to_string(&plot)?;
    assert_eq!(drawn.matches("\nw\n").count(), 1, "{drawn}");

    let guard = || Condition::Absent("epoch/none".into());
    while archive_batch(
        &site.ledger(),
        &site.platform.client("onlooker"),
        guard(),
        RETENTION,
    )
    .await?
        > 0
    {}
    let left = site.ledger().records_after(Seq(0), 1_000).await?;
    assert!(
        left.first().is_some_and(|record| record.seq.0 > 1),
        "{left:?}"
    );
    assert!(
        site.ledger()
            .table()
            .read(&key::change(Seq(1)))
            .await?
            .is_none()
    );
    let (code, second) = report(&site, folder.path(), &args).await?;
    assert_eq!((code, second), (exit::DONE, first));

    let (code, table) = report(&site, folder.path(), &["--to", &to]).await?;
    assert_eq!(code, exit::DONE);
    for part in ["lower bound", "roll-out", "rest", "w ", "0 moves"] {
        assert!(table.contains(part), "{part}: {table}");
    }
    Ok(())
}

async fn reversed_period() -> Result<()> {
    let site = site().await?;
    let folder = TempDir::new()?;
    let args = [
        "--from",
        "2026-12-02T10:00:00Z",
        "--to",
        "2026-12-02T09:00:00Z",
    ];
    let refused = report(&site, folder.path(), &args).await;
    let error = refused.expect_err("the period is empty");
    assert!(error.to_string().contains("not after its start"), "{error}");
    Ok(())
}
