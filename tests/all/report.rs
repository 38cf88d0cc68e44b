//! Reports over whole sites: from a wave's trail, and across the archive.

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
    period_that_ends_before_it_starts_is_a_failure_of_the_operator => backwards();
}

const REBOOT: Duration = Duration::from_millis(150);

/// Records of one archived object; few, so that a short trail fills several.
const KEEP: Keep = Keep {
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

async fn report(site: &Site, folder: &Path, words: &[&str]) -> Result<(u8, String)> {
    let token = folder.join("token");
    fs::write(&token, OPERATOR_TOKEN)?;
    let entry = site.any().entry.admin().to_string();
    let token = token.to_string_lossy();
    let target = ["primrosectl", "--entry", &entry, "--token-file", &token];
    let words = target.iter().chain(&["report"]).chain(words);
    let cli = Cli::try_parse_from(words)?;
    let mut printed = Vec::new();
    let code = run(cli, &mut printed).await?;
    Ok((code, String::from_utf8(printed)?))
}

/// Rolls a wave out over `stay`.
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
    let admin = &site.any().admin;
    admin.start_wave(&start).await?;
    let give_up = tokio::time::Instant::now() + crate::LIMIT;
    loop {
        let waves = admin.waves().await?;
        if waves.iter().all(|wave| wave.row.value.state == State::Done) {
            return Ok(());
        }
        ensure!(tokio::time::Instant::now() < give_up, "it stays {waves:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// From the record that began the wave to the one that ended it.
fn covered(records: &[Record]) -> Duration {
    let of_wave = |record: &&Record| record.edits.iter().any(|edit| &*edit.key == "wave/w");
    let mut records = records.iter().filter(of_wave);
    let first = records.next().expect("it began");
    records.next_back().expect("it ended").at.since(first.at)
}

/// The end of the period, as the command line takes it: now, to the millisecond above.
fn now() -> Result<String> {
    let millis = i64::try_from(SystemClock.now().0)? + 1;
    let at = jiff::Timestamp::from_millisecond(millis)?;
    Ok(at.to_string())
}

/// The report is read while all records are in the table, and again when all but a few have gone
/// to the archive. Every figure must be the same, and those that are known must be right.
async fn wave() -> Result<()> {
    let site = site().await?;
    let folder = TempDir::new()?;
    roll_out(&site).await?;
    let to = now()?;
    let plot = folder.path().join("plot.svg");
    let plot_name = plot.to_string_lossy();
    let words = ["--to", &to, "--output", "json", "--plot", &plot_name];
    let (code, first) = report(&site, folder.path(), &words).await?;
    assert_eq!(code, exit::DONE);
    let found: Report = serde_json::from_str(&first).wrap_err(first.clone())?;
    let [wave] = &*found.waves else {
        eyre::bail!("{found:?}");
    };
    assert_eq!((wave.state, wave.maintained), (State::Done, 4));
    assert_eq!(wave.pools, ["stay".parse()?].into());
    let known = site.any().admin.waves().await?.remove(0).row.value;
    assert_eq!((wave.started, wave.ended), (known.started, known.ended));
    let took = rollout_duration(&known, known.started).as_secs_f64();
    assert!((wave.rollout_seconds - took).abs() < 1e-9, "{wave:?}");
    let stay = found.pools[&"stay".parse()?];
    let rest = found.pools[&"rest".parse()?];
    assert_eq!((found.total().moves, rest.rollout_seconds), (0, 0.0));
    let records = site.ledger().records_after(Seq(0), 1_000).await?;
    let covered = covered(&records).as_secs_f64();
    assert!(
        (stay.rollout_seconds - covered).abs() < 1e-9,
        "{stay:?}, {covered}"
    );
    // Both pools hold one more than they promise from the same change on.
    assert!(stay.cost.buffer_slot_hours > 0.0, "{stay:?}");
    assert!((stay.cost.buffer_slot_hours - rest.cost.buffer_slot_hours).abs() < 1e-9);
    let drawn = fs::read_to_string(&plot)?;
    assert_eq!(drawn.matches("\nw\n").count(), 1, "{drawn}");

    let guard = || Condition::Absent("epoch/none".into());
    while archive_batch(
        &site.ledger(),
        &site.platform.client("onlooker"),
        guard(),
        KEEP,
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
    let (code, second) = report(&site, folder.path(), &words).await?;
    assert_eq!((code, second), (exit::DONE, first));

    let (code, table) = report(&site, folder.path(), &["--to", &to]).await?;
    assert_eq!(code, exit::DONE);
    for part in ["lower bound", "roll-out", "rest", "w ", "0 moves"] {
        assert!(table.contains(part), "{part}: {table}");
    }
    Ok(())
}

async fn backwards() -> Result<()> {
    let site = site().await?;
    let folder = TempDir::new()?;
    let words = [
        "--from",
        "2026-12-02T10:00:00Z",
        "--to",
        "2026-12-02T09:00:00Z",
    ];
    let refused = report(&site, folder.path(), &words).await;
    let error = refused.expect_err("it has no time in it");
    assert!(error.to_string().contains("not after its start"), "{error}");
    Ok(())
}
