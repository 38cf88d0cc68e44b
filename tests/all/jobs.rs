//! Background jobs end to end, from the operator's command line to the platform's tasks.

use crate::{TIMEOUT, cases};
use clap::Parser;
use eyre::Result;
use primroseroute_api::{Cancel, Order, Spec, Submit};
use primroseroute_client::Error;
use primroseroute_ctl::{Cli, exit, run};
use primroseroute_domain::{change::Seq, id, outcome::Code};
use primroseroute_jobs::{Kind, State};
use primroseroute_platform::task::Resources;
use primroseroute_testbed::{
    Layout, OPERATOR_TOKEN, Site, platform,
    platform::task::{Ending, Script},
};
use serde_json::Value;
use std::{io::Write, time::Duration};
use tempfile::NamedTempFile;
use tokio::time::{Instant, sleep};

cases! {
    submitted_jobs_run_once_and_are_done => done();
    command_line_submits_lists_shows_and_cancels => command_line();
    invalid_orders_are_rejected_with_their_code => rejections();
    jobs_survive_a_controller_failure => controller_failure();
    failing_job_is_parked_and_released => parked();
    cancellation_by_kind_cancels_all_in_one_change => by_kind();
}

fn spec(name: &str, kind: &str) -> Result<Spec> {
    Ok(Spec {
        name: name.parse()?,
        account: "stay".parse()?,
        pool: "stay".parse()?,
        kind: Kind(kind.into()),
        declared: Resources {
            cores: 4.0,
            memory: 1e9,
            accelerators: 0.0,
        },
    })
}

fn specs(count: usize) -> Result<Vec<Spec>> {
    (0..count).map(|n| spec(&format!("j{n}"), "k")).collect()
}

fn script(millis: u64, ending: Ending) -> Script {
    Script {
        length: Duration::from_millis(millis),
        ending,
        ..Script::default()
    }
}

async fn site(millis: u64) -> Result<Site> {
    let options = platform::Options {
        script: script(millis, Ending::Done),
        ..platform::Options::default()
    };
    let mut site = Site::open(Layout::small(), options).await?;
    site.converge().await?;
    Ok(site)
}

async fn submit(site: &Site, jobs: Vec<Spec>) -> Result<()> {
    let reason = "test".into();
    site.any_entry()
        .admin
        .submit(&Submit { jobs, reason })
        .await?;
    Ok(())
}

/// Waits until exactly `count` jobs are in the state named `state`.
async fn wait_for_jobs(site: &Site, state: &str, count: usize) -> Result<()> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let jobs = site.any_entry().admin.jobs(None, None, Some(state)).await?;
        if jobs.len() == count {
            return Ok(());
        }
        let all = site.any_entry().admin.jobs(None, None, None).await?;
        eyre::ensure!(Instant::now() < deadline, "{count} {state}: {all:#?}");
        sleep(Duration::from_millis(20)).await;
    }
}

fn assert_no_overlap(site: &Site) {
    let overlaps = site.platform.tasks().overlaps();
    assert!(overlaps.is_empty(), "{overlaps:#?}");
}

async fn done() -> Result<()> {
    let site = site(200).await?;
    submit(&site, specs(20)?).await?;
    wait_for_jobs(&site, "done", 20).await?;
    assert_no_overlap(&site);
    assert_eq!(site.platform.tasks().runs().len(), 20);
    // A submission that is repeated, as after a lost response, must not run any job again.
    submit(&site, specs(20)?).await?;
    sleep(Duration::from_millis(500)).await;
    assert_eq!(site.platform.tasks().runs().len(), 20);
    let page = site
        .any_entry()
        .admin
        .audit(Seq(0), 1000, Some("operator:test"), Some("job/"));
    assert_eq!(page.await?.records.len(), 1, "one change per submission");
    Ok(())
}

/// Runs `primrosectl` against the site and returns its exit code and JSON output.
async fn ctl(site: &Site, args: &[&str]) -> Result<(u8, Value)> {
    let mut token = NamedTempFile::new()?;
    token.write_all(OPERATOR_TOKEN.as_bytes())?;
    let entry = site.any_entry().entry.admin().to_string();
    let token = token.path().to_string_lossy().into_owned();
    let target = [
        "primrosectl",
        "--output",
        "json",
        "--entry",
        &entry,
        "--token-file",
        &token,
    ];
    let cli = Cli::try_parse_from(target.iter().chain(args))?;
    let mut stdout = Vec::new();
    let code = run(cli, &mut stdout).await?;
    Ok((code, serde_json::from_slice(&stdout)?))
}

async fn command_line() -> Result<()> {
    let site = site(60_000).await?;
    let mut file = NamedTempFile::new()?;
    file.write_all(
        b"# two jobs\n- name: a\n  account: stay\n  pool: stay\n  kind: k\n  declared: {cores: 2, memory: 1e9, accelerators: 0}\n- name: b\n  account: stay\n  pool: stay\n  kind: k\n  declared: {cores: 2, memory: 1e9, accelerators: 0}\n",
    )?;
    let path = file.path().to_string_lossy().into_owned();
    let (code, _) = ctl(&site, &["job", "submit", &path]).await?;
    assert_eq!(code, exit::DONE);
    let one = ["--account", "stay", "--pool", "stay", "--kind", "other"];
    let args = [&["job", "submit", "--name", "c"], one.as_slice()].concat();
    let (code, _) = ctl(&site, &args).await?;
    assert_eq!(code, exit::DONE);
    wait_for_jobs(&site, "running", 3).await?;
    let (_, listed) = ctl(&site, &["job", "list", "--kind", "k"]).await?;
    assert_eq!(listed.as_array().map(Vec::len), Some(2));
    let (_, shown) = ctl(&site, &["job", "show", "c"]).await?;
    assert_eq!(shown["value"]["declared"]["cores"], 1.0);
    let (code, done) = ctl(&site, &["job", "cancel", "a", "c"]).await?;
    assert_eq!((code, &done["cancelled"]), (exit::DONE, &2.into()));
    wait_for_jobs(&site, "cancelled", 2).await?;
    let (code, problem) = ctl(&site, &["job", "release", "b"]).await?;
    assert_eq!(code, exit::REFUSED);
    assert_eq!(problem["code"], Code::JobStateForbids.number());
    assert_no_overlap(&site);
    Ok(())
}

fn code<T: std::fmt::Debug>(result: Result<T, Error>) -> Option<Code> {
    result.expect_err("the request is rejected").code()
}

async fn rejections() -> Result<()> {
    let site = site(60_000).await?;
    let admin = site.any_entry().admin.clone();
    let order = |jobs| Submit {
        jobs,
        reason: "".into(),
    };
    let with = |change: fn(&mut Spec)| -> Result<Submit> {
        let mut one = spec("x", "k")?;
        change(&mut one);
        Ok(order(vec![one]))
    };
    let account = with(|spec| spec.account = "nobody".parse().expect("a name"))?;
    assert_eq!(code(admin.submit(&account).await), Some(Code::NotFound));
    let pool = with(|spec| spec.pool = "nowhere".parse().expect("a name"))?;
    assert_eq!(code(admin.submit(&pool).await), Some(Code::NotFound));
    let large = with(|spec| spec.declared.cores = 641.0)?;
    assert_eq!(code(admin.submit(&large).await), Some(Code::JobTooLarge));
    let gpu = with(|spec| spec.declared.accelerators = 1.0)?;
    assert_eq!(code(admin.submit(&gpu).await), Some(Code::JobTooLarge));
    let negative = with(|spec| spec.declared.memory = -1.0)?;
    assert_eq!(
        code(admin.submit(&negative).await),
        Some(Code::InvalidTemplate)
    );
    let unnamed = with(|spec| spec.kind = Kind("No Name".into()))?;
    assert_eq!(
        code(admin.submit(&unnamed).await),
        Some(Code::InvalidTemplate)
    );
    let twice = order(vec![spec("x", "k")?, spec("x", "k")?]);
    assert_eq!(
        code(admin.submit(&twice).await),
        Some(Code::MalformedRequest)
    );
    let many = order(specs(251)?);
    assert_eq!(
        code(admin.submit(&many).await),
        Some(Code::MalformedRequest)
    );

    submit(&site, vec![spec("x", "k")?]).await?;
    let other = with(|spec| spec.declared.cores = 5.0)?;
    assert_eq!(
        code(admin.submit(&other).await),
        Some(Code::JobStateForbids)
    );
    let nobody = Cancel {
        jobs: vec!["y".parse()?],
        ..Cancel::default()
    };
    assert_eq!(code(admin.cancel(&nobody).await), Some(Code::NotFound));
    let all = Cancel::default();
    assert_eq!(code(admin.cancel(&all).await), Some(Code::MalformedRequest));
    let release = Order {
        if_version: None,
        reason: "".into(),
        force: false,
    };
    let name: id::Job = "x".parse()?;
    assert_eq!(
        code(admin.release_job(&name, &release).await),
        Some(Code::JobStateForbids)
    );
    assert_eq!(admin.jobs(None, None, None).await?.len(), 1);
    Ok(())
}

/// The entry that holds the lease is killed while jobs run. The next lease holder must neither lose
/// nor restart them.
async fn controller_failure() -> Result<()> {
    let mut site = site(4000).await?;
    submit(&site, specs(6)?).await?;
    wait_for_jobs(&site, "running", 3).await?;
    let holder = site.any_entry().admin.status().await?.controller;
    let holder = holder.ok_or_else(|| eyre::eyre!("no entry holds the lease"))?;
    site.take_entry(holder.as_str()).entry.abort().await;
    wait_for_jobs(&site, "done", 6).await?;
    assert_no_overlap(&site);
    assert_eq!(site.platform.tasks().runs().len(), 6);
    Ok(())
}

async fn parked() -> Result<()> {
    let site = site(100).await?;
    let name: id::Job = "j0".parse()?;
    let tasks = site.platform.tasks();
    tasks.script_job(name.clone(), script(100, Ending::Failed));
    submit(&site, specs(4)?).await?;
    wait_for_jobs(&site, "parked", 1).await?;
    wait_for_jobs(&site, "done", 3).await?;
    let found = site.any_entry().admin.job(&name).await?.value;
    assert!(found.failures <= 6, "{found:?}");
    assert!(matches!(found.state, State::Parked(_)), "{found:?}");
    tasks.script_job(name.clone(), script(100, Ending::Done));
    let order = Order {
        if_version: None,
        reason: "mended".into(),
        force: false,
    };
    site.any_entry().admin.release_job(&name, &order).await?;
    wait_for_jobs(&site, "done", 4).await?;
    assert_no_overlap(&site);
    Ok(())
}

async fn by_kind() -> Result<()> {
    let site = site(60_000).await?;
    submit(&site, specs(40)?).await?;
    submit(&site, vec![spec("other", "l")?]).await?;
    wait_for_jobs(&site, "running", 4).await?;
    let order = Cancel {
        kind: Some(Kind("k".into())),
        ..Cancel::default()
    };
    let done = site.any_entry().admin.cancel(&order).await?;
    assert_eq!((done.cancelled, done.left), (40, 0));
    wait_for_jobs(&site, "cancelled", 40).await?;
    wait_for_jobs(&site, "running", 1).await?;
    assert_no_overlap(&site);
    Ok(())
}
